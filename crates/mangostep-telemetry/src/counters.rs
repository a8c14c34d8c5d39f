use std::time::Duration;

use {
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

use crate::TelemetryError;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 15] = [
    0.0005, 0.001, 0.0018, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 30.0,
];

/// The name and value of a label. Values must come from a bounded set.
pub type CounterLabel<'l> = (&'static str, &'l str);

/// The counters and histograms of an entry host.
///
/// Label values come from bounded sets: names of services, availability zones
/// and rate limits, and fixed strings. API keys, paths and workspaces are
/// never used as labels; a workspace is represented by its rate limit.
#[derive(Debug)]
pub struct HostCounters {
    registry: Registry,
    provider: SdkMeterProvider,
    /// Requests by `service`, `limit`, `outcome` and `reason`.
    requests: Counter<u64>,
    /// Time from the arrival of a request to the response head, by `service`.
    latency: Histogram<f64>,
    /// Time that requests waited for a slot, by `service` and `zone`.
    slot_wait: Histogram<f64>,
    /// Time that requests waited for a token, by the `place` of the limit home
    /// that was asked first.
    token_wait: Histogram<f64>,
    /// Time since a limit home last responded, when a host decides on a token.
    limit_answer_age: Histogram<f64>,
    /// Duration of one attempt at a backend server, by `service` and `end`.
    attempt: Histogram<f64>,
    /// Duration of one call to the platform's store, by `call`, `table` and
    /// `end`.
    store_call: Histogram<f64>,
    /// Time since the host's copy of a table was last known to be current, by
    /// `table`.
    table_age: Histogram<f64>,
    /// Time between successive reports of one peer.
    report_gap: Histogram<f64>,
    /// Number of backend servers by `state`, which they stated themselves.
    stated_servers: Gauge<u64>,
    /// Number of other events, by `kind` and further labels.
    events: Counter<u64>,
}

impl HostCounters {
    /// Creates all instruments and their registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn open() -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|err| TelemetryError::new("set up exporter", err))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangostep");
        Ok(HostCounters {
            requests: meter.u64_counter("mangostep_requests").build(),
            latency: latency_histogram(&meter, "mangostep_answer_latency"),
            slot_wait: latency_histogram(&meter, "mangostep_slot_wait"),
            token_wait: latency_histogram(&meter, "mangostep_token_wait"),
            limit_answer_age: latency_histogram(&meter, "mangostep_limit_answer_age"),
            attempt: latency_histogram(&meter, "mangostep_attempt"),
            store_call: latency_histogram(&meter, "mangostep_store_call"),
            table_age: latency_histogram(&meter, "mangostep_table_age"),
            report_gap: latency_histogram(&meter, "mangostep_report_gap"),
            stated_servers: meter.u64_gauge("mangostep_stated_servers").build(),
            events: meter.u64_counter("mangostep_events").build(),
            registry,
            provider,
        })
    }

    /// Counts a request once it is answered or refused.
    pub fn count_request(&self, labels: &[CounterLabel<'_>]) {
        self.requests.add(1, &key_values(labels));
    }

    /// Records the time from a request's arrival to its response head.
    pub fn record_latency(&self, service: &str, latency: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Records the time that a request waited for a slot.
    pub fn record_slot_wait(&self, service: &str, zone: &str, wait: Duration) {
        let labels = key_values(&[("service", service), ("zone", zone)]);
        self.slot_wait.record(wait.as_secs_f64(), &labels);
    }

    /// Records the time that a request waited for a token.
    ///
    /// `place` is `local` when this host is the limit home that was asked
    /// first, otherwise `remote`.
    pub fn record_token_wait(&self, place: &'static str, wait: Duration) {
        let labels = [KeyValue::new("place", place)];
        self.token_wait.record(wait.as_secs_f64(), &labels);
    }

    /// Records the time since a limit home last responded, when a host decides
    /// on a token.
    pub fn record_limit_answer_age(&self, age: Duration) {
        self.limit_answer_age.record(age.as_secs_f64(), &[]);
    }

    /// Records the duration of one attempt at a backend server; `end` is its
    /// outcome.
    pub fn record_attempt(&self, service: &str, end: &'static str, time: Duration) {
        let labels = key_values(&[("service", service), ("end", end)]);
        self.attempt.record(time.as_secs_f64(), &labels);
    }

    /// Records the duration of one call to the platform's store; `end` is its
    /// outcome.
    pub fn record_store_call(
        &self,
        call: &'static str,
        table: &'static str,
        end: &'static str,
        time: Duration,
    ) {
        let labels = key_values(&[("call", call), ("table", table), ("end", end)]);
        self.store_call.record(time.as_secs_f64(), &labels);
    }

    /// Records the time since the copy of a table was last known to be
    /// current.
    pub fn record_table_age(&self, table: &'static str, age: Duration) {
        let labels = [KeyValue::new("table", table)];
        self.table_age.record(age.as_secs_f64(), &labels);
    }

    /// Records the time between two successive reports of one peer.
    pub fn record_report_gap(&self, gap: Duration) {
        self.report_gap.record(gap.as_secs_f64(), &[]);
    }

    /// Records how many backend servers are in a state that they stated
    /// themselves, such as `leaving`.
    pub fn record_stated_servers(&self, state: &'static str, count: u64) {
        self.stated_servers
            .record(count, &[KeyValue::new("state", state)]);
    }

    /// Counts one event of a fixed kind, such as `ejection-granted`.
    pub fn count(&self, kind: &'static str, labels: &[CounterLabel<'_>]) {
        self.add(kind, 1, labels);
    }

    /// Counts `amount` events of a fixed kind.
    pub fn add(&self, kind: &'static str, amount: u64, labels: &[CounterLabel<'_>]) {
        let mut all_labels = key_values(labels);
        all_labels.push(KeyValue::new("kind", kind));
        self.events.add(amount, &all_labels);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be gathered.
    pub fn scrape(&self) -> Result<String, TelemetryError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|err| TelemetryError::new("gather metrics", err))
    }

    /// Shuts down the metrics pipeline.
    ///
    /// # Errors
    ///
    /// Fails when the pipeline is already shut down.
    pub fn close(self) -> Result<(), TelemetryError> {
        self.provider
            .shutdown()
            .map_err(|err| TelemetryError::new("shut down metrics", err))
    }
}

fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(LATENCY_BUCKETS_S.to_vec())
        .build()
}

fn key_values(labels: &[CounterLabel<'_>]) -> Vec<KeyValue> {
    labels
        .iter()
        .map(|(name, value)| KeyValue::new(*name, (*value).to_owned()))
        .collect()
}
