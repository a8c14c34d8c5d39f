use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;

use crate::load::LoadRequest;

/// Largest latency that the histogram can record, in microseconds.
const LATENCY_US_MAX: u64 = 120_000_000;

/// How a request ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// A whole answer of a backend server.
    Answered {
        /// HTTP code.
        status: u16,
    },
    /// A whole answer of a backend server to another request.
    Crossed {
        /// HTTP code.
        status: u16,
    },
    /// The entry host reports that it did not run.
    NotRun {
        /// HTTP code.
        status: u16,
        /// Why.
        reason: String,
    },
    /// The entry host does not know whether it ran.
    Unknown {
        /// HTTP code.
        status: u16,
        /// Why.
        reason: String,
    },
    /// No whole answer came; it may have run.
    Lost(String),
    /// No entry host could be connected to.
    NotSent,
}

/// One request of a load.
#[derive(Clone, Debug)]
pub struct OperationRecord {
    /// Its own id, sent as `x-operation`.
    pub operation: String,
    /// Index of its kind in the settings.
    pub kind: usize,
    /// When it was due, in microseconds since 1970.
    pub due_us: u64,
    /// Time from when it was due to its end.
    pub latency: Duration,
    /// The entry host that it was sent to.
    pub entry: Option<SocketAddr>,
    /// How it ended.
    pub outcome: OperationOutcome,
}

/// Outcomes of the requests of one kind, or of all kinds.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// Name of the kind.
    pub name: String,
    /// Requests that were due.
    pub sent: u64,
    /// Whole answers of backend servers with a code under 400.
    pub served: u64,
    /// Whole answers to another request.
    pub crossed: u64,
    /// Requests that the entry host reported as not run.
    pub not_run: u64,
    /// Requests that the entry host reported as unknown.
    pub unknown: u64,
    /// Requests without a whole answer.
    pub lost: u64,
    /// Requests that found no entry host.
    pub not_sent: u64,
    /// Whole answers by code, those of the entry hosts included.
    pub statuses: BTreeMap<u16, u64>,
    /// Refusals and losses by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latencies of all requests that were served, in microseconds.
    pub latency: Histogram<u64>,
}

impl RequestReport {
    fn new(name: &str) -> Self {
        RequestReport {
            name: name.to_owned(),
            sent: 0,
            served: 0,
            crossed: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            not_sent: 0,
            statuses: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latency: new_histogram(),
        }
    }

    fn push(&mut self, record: &OperationRecord) {
        self.sent += 1;
        match &record.outcome {
            OperationOutcome::Answered { status } => {
                *self.statuses.entry(*status).or_default() += 1;
                if *status < 400 {
                    self.served += 1;
                    let latency_us = record.latency.as_micros() as u64;
                    self.latency.saturating_record(latency_us);
                }
            }
            OperationOutcome::Crossed { status } => {
                self.crossed += 1;
                *self.statuses.entry(*status).or_default() += 1;
            }
            OperationOutcome::NotRun { status, reason } => {
                self.not_run += 1;
                *self.statuses.entry(*status).or_default() += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            OperationOutcome::Unknown { status, reason } => {
                self.unknown += 1;
                *self.statuses.entry(*status).or_default() += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            OperationOutcome::Lost(reason) => {
                self.lost += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            OperationOutcome::NotSent => {
                self.not_sent += 1;
                *self.reasons.entry("not-sent".to_owned()).or_default() += 1;
            }
        }
    }

    /// A quantile of the served requests' latencies, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Served requests as a share of those that were due.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    /// Served requests within a time, as a share of those that were due.
    pub fn served_share_within(&self, limit: Duration) -> f64 {
        let within = self
            .latency
            .count_between(0, limit.as_micros().min(LATENCY_US_MAX as u128) as u64);
        within as f64 / self.sent.max(1) as f64
    }
}

/// Outcomes of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// All requests.
    pub total: RequestReport,
    /// By kind, in the order of the settings.
    pub kinds: Vec<RequestReport>,
    /// Every request, in the order of their ends.
    pub operations: Vec<OperationRecord>,
}

impl LoadReport {
    pub(crate) fn new(requests: &[LoadRequest]) -> Self {
        LoadReport {
            total: RequestReport::new("total"),
            kinds: requests
                .iter()
                .map(|request| RequestReport::new(&request.name))
                .collect(),
            operations: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, record: OperationRecord) {
        self.total.push(&record);
        self.kinds[record.kind].push(&record);
        self.operations.push(record);
    }

    /// Requests by the reason of their refusal or loss, as one line.
    pub fn reasons_line(&self) -> String {
        let reasons = self.total.reasons.iter();
        let words: Vec<String> = reasons
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        words.join(", ")
    }

    /// When and where requests were refused or lost: a line for each second
    /// of the load, entry host and reason.
    pub fn failures_by_second(&self) -> String {
        let start = self.operations.iter().map(|operation| operation.due_us);
        let start = start.min().unwrap_or(0);
        let mut counts: BTreeMap<(u64, String, String), u64> = BTreeMap::new();
        for operation in &self.operations {
            let reason = match &operation.outcome {
                OperationOutcome::NotRun { reason, .. }
                | OperationOutcome::Unknown { reason, .. } => reason.clone(),
                OperationOutcome::Lost(reason) => reason.clone(),
                OperationOutcome::NotSent => "not-sent".to_owned(),
                OperationOutcome::Answered { .. } | OperationOutcome::Crossed { .. } => continue,
            };
            let second = (operation.due_us - start) / 1_000_000;
            let entry = operation
                .entry
                .map_or_else(String::new, |entry| entry.to_string());
            *counts.entry((second, entry, reason)).or_default() += 1;
        }
        let lines = counts
            .iter()
            .map(|((second, entry, reason), count)| format!("{second} s {entry} {reason} {count}"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The report of a kind, by its name.
    pub fn kind(&self, name: &str) -> Option<&RequestReport> {
        self.kinds.iter().find(|kind| kind.name == name)
    }
}

/// An empty histogram of microseconds, with three significant digits.
pub(crate) fn new_histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, LATENCY_US_MAX, 3);
    // The bounds are constants that fit each other.
    histogram.unwrap_or_else(|err| unreachable!("{err}"))
}
