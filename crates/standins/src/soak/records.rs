use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::BackendLog;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerEnd {
    /// The caller received an answer.
    Answer {
        status: u16,
        is_signed: bool,
        /// Whether id and body of the answer match the request.
        is_own: bool,
    },
    /// The connection ended after the request was written.
    Closed,
    /// No answer came until well after the deadline.
    Unanswered,
    /// No connection was made, or the request could not be written.
    Unsent,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRecord {
    pub(crate) id: String,
    pub(crate) workspace: String,
    pub(crate) key: String,
    pub(crate) service: &'static str,
    pub(crate) is_repeatable: bool,
    /// Front address of the host.
    pub(crate) host: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: CallerEnd,
}

/// An event that affects what the hosts can guarantee.
///
/// The derived `Debug` text is written to the records of a soak.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Incident {
    /// A disturbance of one host began or ended.
    Host(SocketAddr),
    /// A disturbance of the store for all hosts began or ended.
    Store,
    /// A planned stop of a host began.
    Stop(SocketAddr),
    /// A key was revoked in the store.
    Revoked(String),
    /// The entry of a server was set to draining or removed in the store.
    Left(String),
    /// A server began to state a rate limit, or no longer states it.
    Limited(String, Option<f64>),
    /// A server began to state that it leaves.
    Leaving(String),
    /// A server began a cold start.
    Cold(String),
    /// A server began to state a wait whenever it sheds, or no longer does.
    Waits(String, Option<Duration>),
    /// A host was still running at the end of its stop grace period.
    Outlived(SocketAddr),
    /// A host's process exited unexpectedly.
    EndedItself(SocketAddr),
    /// The beginning or the end of a fault, as text. The checks parse it.
    Note(String),
}

/// Records of a soak, shared by its callers and the fault runner.
#[derive(Clone, Debug)]
pub(crate) struct SoakRecords {
    pub(crate) opened: Instant,
    requests: Arc<Mutex<Vec<CallerRecord>>>,
    incidents: Arc<Mutex<Vec<(Instant, Incident)>>>,
    /// Keys that callers use, with their workspaces.
    keys: Arc<Mutex<Vec<(String, String)>>>,
}

impl SoakRecords {
    pub(crate) fn open() -> Self {
        SoakRecords {
            opened: Instant::now(),
            requests: Arc::default(),
            incidents: Arc::default(),
            keys: Arc::default(),
        }
    }

    pub(crate) fn requests(&self) -> MutexGuard<'_, Vec<CallerRecord>> {
        lock(&self.requests)
    }

    pub(crate) fn incidents(&self) -> MutexGuard<'_, Vec<(Instant, Incident)>> {
        lock(&self.incidents)
    }

    pub(crate) fn keys(&self) -> MutexGuard<'_, Vec<(String, String)>> {
        lock(&self.keys)
    }

    /// Records an incident with the current time.
    pub(crate) fn note(&self, incident: Incident) {
        self.incidents().push((Instant::now(), incident));
    }

    /// Formats all records, sorted by time.
    pub(crate) fn to_text(&self, log: &BackendLog) -> String {
        let mut lines: Vec<(Instant, String)> = Vec::new();
        for (at, incident) in self.incidents().iter() {
            lines.push((*at, format!("{incident:?}")));
        }
        for request in self.requests().iter() {
            lines.push((request.sent, format!("sent {request:?}")));
        }
        for arrival in log.arrivals().iter() {
            let id = arrival.id();
            let text = format!("{id} reached {} run={}", arrival.server, arrival.has_run);
            lines.push((arrival.at, text));
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let seconds = at.saturating_duration_since(self.opened).as_secs_f64();
            writeln!(text, "{seconds:.4} {line}").expect("writing to a string does not fail");
        }
        text
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
