use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// How a request ended at its backend server.
///
/// The list is that of the inner protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// A whole answer.
    Answered,
    /// A whole answer with a 5xx code.
    ServerError,
    /// The server said that it did not run the request.
    Refused,
    /// The server said that it leaves.
    Draining,
    /// No connection was made.
    ConnectFailed,
    /// The answer broke off.
    CutAnswer,
    /// No whole answer came in time.
    Timeout,
    /// The answer carried another request's id.
    WrongAnswer,
    /// The caller went away before the answer was whole.
    CallerGone,
    /// The server said that it is in cold start.
    Cold,
    /// No byte was sent.
    Unused,
}

/// One outcome of one request or probe at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeSample<'s> {
    /// Name of the backend server.
    pub server: &'s str,
    /// Name of the entry host that sent the request.
    pub source: &'s str,
    /// How it ended.
    pub outcome: OutcomeKind,
    /// Time to the head of the answer; zero without one.
    pub header: Duration,
    /// Time to the last byte, or to the failure.
    pub total: Duration,
    /// Whether it was a probe instead of real work.
    pub is_probe: bool,
}

/// What should happen to a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAction {
    /// Send it a share of the work between 0 and 1, without an ejection.
    Suspect {
        /// The share of what a healthy server would get.
        weight: f64,
    },
    /// Send it no work, as far as the floor allows.
    Eject {
        /// Time until the server is tried again.
        hold: Duration,
    },
    /// Send it work as before.
    Readmit,
}

/// A detector's judgement of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerVerdict {
    /// Name of the backend server.
    pub server: String,
    /// What should happen.
    pub action: ServerAction,
    /// Why; one of a bounded set of words, also a label of counters.
    pub reason: &'static str,
}

/// Tells bad backend servers of one cell from good ones by pooled outcomes.
///
/// A verdict holds until the next one about the same server. What the
/// detector wants is carried out only within the floor of the service.
pub trait ServerDetector {
    /// Takes note of one outcome.
    fn observe(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>);

    /// Appends the verdicts that are new since the last call.
    fn verdicts(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>);

    /// Forgets a server that left the directory.
    fn forget(&mut self, server: &str);

    /// Takes note of the availability zone of an entry host.
    fn set_source_zone(&mut self, _source: &str, _zone: &str) {}

    /// Whether the path from an entry host to a server fails though others
    /// reach that server.
    fn is_path_failing(&self, _now: MonotonicTime, _server: &str, _source: &str) -> bool {
        false
    }
}
