//! Open-loop load generator: callers send at a steady rate regardless of the
//! answers.
//!
//! Latencies count from the time at which a request was due, so that a slow
//! answer does not hide the ones that had to wait behind it.

mod audit;
mod lookup;
mod report;
mod sender;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    tokio::sync::mpsc,
};

use crate::{
    StandinError,
    backend::wall_us,
    load::sender::{DueRequest, RequestSender},
};

pub use crate::load::{
    audit::{RunAudit, audit_runs},
    lookup::{EntryAnswer, EntryLookup},
    report::{LoadReport, OperationOutcome, OperationRecord, RequestReport},
};

/// A kind of request, and its share of the load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: reqwest::Method,
    /// Path and query.
    pub path: String,
    /// Key to present; none when empty.
    pub key: String,
    /// Weight in the load, relative to the other kinds.
    pub weight: f64,
    /// Body of each request.
    pub body: bytes::Bytes,
}

impl Default for LoadRequest {
    fn default() -> Self {
        LoadRequest {
            name: "lookup".to_owned(),
            method: reqwest::Method::GET,
            path: "/lookup/1".to_owned(),
            key: String::new(),
            weight: 1.0,
            body: bytes::Bytes::new(),
        }
    }
}

impl LoadRequest {
    /// Requests by GET.
    pub fn get(name: &str, path: &str, key: &str) -> Self {
        LoadRequest {
            name: name.to_owned(),
            path: path.to_owned(),
            key: key.to_owned(),
            ..Default::default()
        }
    }

    /// Requests by POST.
    pub fn post(name: &str, path: &str, key: &str) -> Self {
        LoadRequest {
            method: reqwest::Method::POST,
            ..LoadRequest::get(name, path, key)
        }
    }

    /// Sets the weight relative to the other kinds.
    pub fn with_weight(self, weight: f64) -> Self {
        LoadRequest { weight, ..self }
    }
}

/// How a load is sent.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses that callers know at their start.
    pub entries: Vec<SocketAddr>,
    /// Whether callers look up which addresses to use; otherwise they use
    /// only `entries`.
    pub look_up: bool,
    /// Key sent with look-ups; none when empty.
    pub look_up_key: String,
    /// Whether callers without look-ups start at different entries.
    pub rotate_entries: bool,
    /// Source IP address that connections start from; the system's choice when
    /// absent.
    pub source: Option<IpAddr>,
    /// Callers, each with connections and a cached look-up of its own.
    pub callers: usize,
    /// Requests a second, of all callers together.
    pub rate_per_s: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Kinds of requests.
    pub requests: Vec<LoadRequest>,
    /// Seed of the times and kinds of requests.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings {
            entries: Vec::new(),
            look_up: true,
            look_up_key: String::new(),
            rotate_entries: false,
            source: None,
            callers: 8,
            rate_per_s: 100.0,
            duration: Duration::from_secs(5),
            timeout: Duration::from_secs(10),
            requests: vec![LoadRequest::default()],
            seed: 1,
        }
    }
}

/// Sends a load and reports the outcomes.
///
/// Requests are due at random times that are independent of each other and
/// of the answers.
///
/// # Errors
///
/// Fails when the HTTP library cannot be set up or there is nothing to send.
pub async fn run_load(settings: LoadSettings) -> Result<LoadReport, StandinError> {
    if settings.requests.is_empty() || settings.entries.is_empty() || settings.callers == 0 {
        let message = "a load needs requests, entries and callers";
        return Err(StandinError::new("start load", "load caller", message));
    }
    let settings = Arc::new(settings);
    let senders = (0..settings.callers)
        .map(|number| RequestSender::open(settings.clone(), number).map(Arc::new))
        .collect::<Result<Vec<_>, _>>()?;
    let (reports, mut ended) = mpsc::unbounded_channel();
    let mut due_requests = spawn_pacer(settings.clone());
    while let Some(request) = due_requests.recv().await {
        let sender = senders[request.number % senders.len()].clone();
        let reports = reports.clone();
        tokio::spawn(async move {
            // The receiver lives until all requests ended.
            let _ = reports.send(sender.send(request).await);
        });
    }
    drop(reports);
    let mut report = LoadReport::new(&settings.requests);
    while let Some(record) = ended.recv().await {
        report.push(record);
    }
    Ok(report)
}

/// Starts a thread that emits each request when it is due.
///
/// It is a thread of its own, since the runtime's timers have a resolution
/// of one millisecond.
fn spawn_pacer(settings: Arc<LoadSettings>) -> mpsc::UnboundedReceiver<DueRequest> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let start = Instant::now();
        let start_us = wall_us();
        let mut due = Duration::ZERO;
        for number in 0.. {
            if due >= settings.duration {
                break;
            }
            std::thread::sleep((start + due).saturating_duration_since(Instant::now()));
            let request = DueRequest {
                number,
                kind: draw_kind(&settings.requests, &mut random),
                due: start + due,
                due_us: start_us + due.as_micros() as u64,
            };
            // A closed receiver means that the load was abandoned.
            if sender.send(request).is_err() {
                break;
            }
            let gap = -(1.0 - random.random::<f64>()).ln() / settings.rate_per_s;
            due += Duration::from_secs_f64(gap);
        }
    });
    receiver
}

fn draw_kind(requests: &[LoadRequest], random: &mut SmallRng) -> usize {
    let sum: f64 = requests.iter().map(|request| request.weight).sum();
    let mut at = random.random::<f64>() * sum;
    for (index, request) in requests.iter().enumerate() {
        at -= request.weight;
        if at < 0.0 {
            return index;
        }
    }
    requests.len() - 1
}
