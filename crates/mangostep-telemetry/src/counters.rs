use std::time::Duration;

use {
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, Meter, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

use crate::TelemetryError;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 15] = [
    0.0005, 0.001, 0.0018, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 30.0,
];

/// A label: its name and its value, from a bounded set.
pub type CounterLabel<'l> = (&'static str, &'l str);

/// The counters and histograms of an entry host.
///
/// Every label takes its values from a bounded set: names of services and
/// availability zones, limits in place of workspaces, and fixed words. Keys,
/// paths and workspaces are never labels.
#[derive(Debug)]
pub struct HostCounters {
    registry: Registry,
    provider: SdkMeterProvider,
    /// Requests by `service`, `limit`, `outcome` and `reason`.
    requests: Counter<u64>,
    /// Time from arrival to the head of the answer, by `service`.
    latency: Histogram<f64>,
    /// Time that requests waited for a slot, by `service` and `zone`.
    slot_wait: Histogram<f64>,
    /// Time that requests waited for a token, by the `place` of the home that
    /// was asked first.
    token_wait: Histogram<f64>,
    /// Time of one send to a backend server, by `service` and `end`.
    attempt: Histogram<f64>,
    /// Time of one call to the platform's store, by `call`, `table` and `end`.
    store_call: Histogram<f64>,
    /// Time since a copy of a table was known to be current, by `table`.
    table_age: Histogram<f64>,
    /// Time between two reports of another host.
    report_gap: Histogram<f64>,
    /// Everything else, by `kind` and further labels.
    events: Counter<u64>,
}

impl HostCounters {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// Fails when the metrics library refuses a name.
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
            attempt: latency_histogram(&meter, "mangostep_attempt"),
            store_call: latency_histogram(&meter, "mangostep_store_call"),
            table_age: latency_histogram(&meter, "mangostep_table_age"),
            report_gap: latency_histogram(&meter, "mangostep_report_gap"),
            events: meter.u64_counter("mangostep_events").build(),
            registry,
            provider,
        })
    }

    /// Counts a request that was answered or refused.
    pub fn count_request(&self, labels: &[CounterLabel<'_>]) {
        self.requests.add(1, &key_values(labels));
    }

    /// Records the time to the head of an answer.
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
    /// `place` is `local` when this host is the home that was asked first,
    /// `remote` otherwise.
    pub fn record_token_wait(&self, place: &'static str, wait: Duration) {
        let labels = [KeyValue::new("place", place)];
        self.token_wait.record(wait.as_secs_f64(), &labels);
    }

    /// Records the time of one send to a backend server, and how it ended.
    pub fn record_attempt(&self, service: &str, end: &'static str, time: Duration) {
        let labels = key_values(&[("service", service), ("end", end)]);
        self.attempt.record(time.as_secs_f64(), &labels);
    }

    /// Records the time of one call to the platform's store, and how it ended.
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

    /// Records the time since the copy of a table was known to be current.
    pub fn record_table_age(&self, table: &'static str, age: Duration) {
        let labels = [KeyValue::new("table", table)];
        self.table_age.record(age.as_secs_f64(), &labels);
    }

    /// Records the time between two reports of another host.
    pub fn record_report_gap(&self, gap: Duration) {
        self.report_gap.record(gap.as_secs_f64(), &[]);
    }

    /// Counts something by a fixed kind, such as `ejection-granted`.
    pub fn count(&self, kind: &'static str, labels: &[CounterLabel<'_>]) {
        self.add(kind, 1, labels);
    }

    /// Adds to a count by a fixed kind.
    pub fn add(&self, kind: &'static str, amount: u64, labels: &[CounterLabel<'_>]) {
        let mut all = key_values(labels);
        all.push(KeyValue::new("kind", kind));
        self.events.add(amount, &all);
    }

    /// All metrics in the text format that scrapers read.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be gathered.
    pub fn scrape(&self) -> Result<String, TelemetryError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|err| TelemetryError::new("gather metrics", err))
    }

    /// Ends the metrics pipeline.
    ///
    /// # Errors
    ///
    /// Fails when the pipeline was ended before.
    pub fn close(self) -> Result<(), TelemetryError> {
        self.provider
            .shutdown()
            .map_err(|err| TelemetryError::new("end metrics", err))
    }
}

fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

fn key_values(labels: &[CounterLabel<'_>]) -> Vec<KeyValue> {
    labels
        .iter()
        .map(|(name, value)| KeyValue::new(*name, (*value).to_owned()))
        .collect()
}
