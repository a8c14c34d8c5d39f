use serde::Serialize;

use crate::MonotonicTime;

/// What came of a replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplayReport {
    /// The file.
    pub file: String,
    /// Name of the trace.
    pub name: String,
    /// Lines after the first.
    pub events: usize,
    /// Outcomes that the trace states.
    pub outcomes: usize,
    /// The first event at which the policy disagrees with the trace.
    pub disagreement: Option<Disagreement>,
}

/// Where a policy does otherwise than the trace states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// The line of the file, from 1.
    pub line: usize,
    /// Time of the event.
    pub at: MonotonicTime,
    /// What the trace states.
    pub expected: String,
    /// What the policy did.
    pub got: String,
}
