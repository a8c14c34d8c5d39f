use crate::{MonotonicTime, OutcomeSample, ServerDetector, ServerVerdict};

/// A detector that never reaches a verdict.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopDetector;

impl ServerDetector for NoopDetector {
    fn observe(&mut self, _now: MonotonicTime, _sample: OutcomeSample<'_>) {}

    fn verdicts(&mut self, _now: MonotonicTime, _verdicts: &mut Vec<ServerVerdict>) {}

    fn forget(&mut self, _server: &str) {}
}
