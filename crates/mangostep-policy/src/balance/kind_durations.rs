use std::time::Duration;

use mangostep_objects::RequestKind;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean duration of a service's requests, by kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindDurations {
    idempotent: Option<Duration>,
    non_idempotent: Option<Duration>,
}

impl KindDurations {
    /// Adds a sample.
    pub(crate) fn record(&mut self, kind: RequestKind, duration: Duration) {
        let mean = match kind {
            RequestKind::Idempotent => &mut self.idempotent,
            RequestKind::NonIdempotent => &mut self.non_idempotent,
        };
        *mean = Some(mean.map_or(duration, |mean| {
            mean.mul_f64(1.0 - SAMPLE_WEIGHT) + duration.mul_f64(SAMPLE_WEIGHT)
        }));
    }

    /// Mean duration of the requests of a kind; `None` before the first
    /// sample.
    pub(crate) fn mean(&self, kind: RequestKind) -> Option<Duration> {
        match kind {
            RequestKind::Idempotent => self.idempotent,
            RequestKind::NonIdempotent => self.non_idempotent,
        }
    }
}
