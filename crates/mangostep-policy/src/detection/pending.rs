use std::time::Duration;

use crate::{
    MonotonicTime, OutcomeKind,
    detection::{
        DetectionSettings,
        evidence::{FaultKind, SampleClass, ScoredSample},
        reference::AnswerLatency,
    },
};

/// A request that has ended and is not scored yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingSample {
    pub(crate) ended: MonotonicTime,
    pub(crate) source: String,
    pub(crate) outcome: OutcomeKind,
    pub(crate) latency: AnswerLatency,
}

impl PendingSample {
    pub(crate) fn to_scored(&self, class: SampleClass) -> ScoredSample<'_> {
        ScoredSample {
            source: &self.source,
            class,
            began: self.ended - self.latency.total,
        }
    }

    pub(crate) fn failure_class(&self) -> SampleClass {
        match FaultKind::of(self.outcome) {
            Some(kind) => SampleClass::Bad(kind),
            None if self.outcome == OutcomeKind::Answered => SampleClass::Good,
            None => SampleClass::Neutral,
        }
    }

    /// Compares the latency with that of the cell's other servers.
    ///
    /// A request that timed out or whose caller disconnected counts as a slow
    /// answer if it ran for long enough, and is neutral otherwise.
    pub(crate) fn slowness_class(
        &self,
        reference: Option<AnswerLatency>,
        settings: &DetectionSettings,
    ) -> SampleClass {
        let Some(reference) = reference else {
            return SampleClass::Neutral;
        };
        let exceeds = |ratio: f64| {
            let limit = |percentile: Duration| {
                percentile
                    .mul_f64(ratio)
                    .max(percentile + settings.slow_excess)
            };
            self.latency.header > limit(reference.header)
                || self.latency.total > limit(reference.total)
        };
        match self.outcome {
            OutcomeKind::Answered | OutcomeKind::CallerGone | OutcomeKind::Timeout => {}
            _ => return SampleClass::Neutral,
        }
        if exceeds(settings.very_slow_ratio) {
            return SampleClass::Bad(FaultKind::VerySlow);
        }
        if exceeds(settings.slow_ratio) {
            return SampleClass::Bad(FaultKind::Slow);
        }
        match self.outcome {
            OutcomeKind::Answered => SampleClass::Good,
            _ => SampleClass::Neutral,
        }
    }
}
