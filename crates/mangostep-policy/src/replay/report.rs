use serde::Serialize;

use crate::MonotonicTime;

/// Result of a replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplayReport {
    /// Name of the file, as in [`Trace::file`](crate::replay::Trace::file).
    pub file: String,
    /// Name of the trace, from its header.
    pub name: String,
    /// Number of events: the lines after the header.
    pub events: usize,
    /// Number of expected outcomes in the trace.
    pub outcomes: usize,
    /// First event at which the policy deviates from the trace; `None` if it
    /// agrees with the whole trace.
    pub disagreement: Option<Disagreement>,
}

/// Deviation of a policy from the expected outcome of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// Line number of the event in the file, from 1.
    pub line: usize,
    /// Time of the event, on the clock of the trace.
    pub at: MonotonicTime,
    /// Expected decision or verdict.
    pub expected: String,
    /// Actual decision or verdict of the policy.
    pub got: String,
}
