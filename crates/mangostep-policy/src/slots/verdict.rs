use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// How a request ended at its backend server.
///
/// The variants match the outcomes of the protocol between entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// A complete response.
    Answered,
    /// A complete response with a 5xx status code.
    ServerError,
    /// The server reported that it did not run the request.
    Refused,
    /// The server reported that it is draining.
    Draining,
    /// No connection could be established.
    ConnectFailed,
    /// The response was truncated.
    CutAnswer,
    /// No complete response arrived before the timeout.
    Timeout,
    /// The response carried the id of another request.
    WrongAnswer,
    /// The caller disconnected before the response was complete.
    CallerGone,
    /// The server reported that it is in cold start.
    Cold,
    /// No byte of the request was sent.
    Unused,
}

/// The outcome of one request to, or probe of, a backend server.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeSample<'s> {
    /// Name of the backend server.
    pub server: &'s str,
    /// Name of the entry host that sent the request; empty for a probe.
    pub source: &'s str,
    /// How the request or probe ended.
    pub outcome: OutcomeKind,
    /// Time to the response head; zero without a response.
    pub header: Duration,
    /// Time to the last byte of the response, or to the failure.
    pub total: Duration,
    /// Whether this was a probe, not a request of a caller.
    pub is_probe: bool,
}

/// What a detector wants done with a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAction {
    /// Reduce its share of the requests without an ejection.
    Suspect {
        /// Share of a healthy server's requests that it still gets, 0 to 1.
        weight: f64,
    },
    /// Send it no requests, as far as the ejection floor allows.
    Eject {
        /// Time until the server gets requests again.
        hold: Duration,
    },
    /// Restore its full share of the requests.
    Readmit,
}

/// A detector's judgement of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerVerdict {
    /// Name of the backend server.
    pub server: String,
    /// The action that the detector wants.
    pub action: ServerAction,
    /// Why; one of a fixed set of words, since it is also a metric label.
    pub reason: &'static str,
}

/// Detects failing backend servers of one cell from the pooled outcomes of all
/// entry hosts.
///
/// A verdict holds until the next one about the same server. An ejection is
/// carried out only within the ejection floor of the service.
pub trait ServerDetector {
    /// Records one outcome.
    fn observe(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>);

    /// Appends the verdicts reached since the last call.
    fn verdicts(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>);

    /// Removes the state of a server that the directory no longer lists.
    fn forget(&mut self, server: &str);

    /// Sets the availability zone of an entry host.
    fn set_source_zone(&mut self, _source: &str, _zone: &str) {}

    /// Whether the path from entry host `source` to a server fails while other
    /// hosts reach that server.
    fn is_path_failing(&self, _now: MonotonicTime, _server: &str, _source: &str) -> bool {
        false
    }
}
