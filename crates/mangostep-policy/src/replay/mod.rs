//! Runs recorded events through the policies and compares what comes of
//! them with the outcomes that the trace states.

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
