//! Replay of recorded traces: runs the events of a trace through a policy and
//! compares its decisions with the expected outcomes in the trace.

mod detector;
mod error;
mod recorder;
mod report;
mod retries;
mod trace;

pub use crate::replay::{
    error::TraceError,
    recorder::TraceRecorder,
    report::{Disagreement, ReplayReport},
    trace::{
        ExpectedOutcome, OutcomeRecord, RetryRecord, Trace, TraceEvent, TraceHeader, TraceLine,
        TracePolicy, TraceSource,
    },
};
