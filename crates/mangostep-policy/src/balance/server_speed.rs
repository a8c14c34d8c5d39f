use std::time::Duration;

use crate::{AgedFigure, FigureSource, MonotonicTime};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Bounds of a sample, so that one request with little or much work does not
/// decide.
const SAMPLE_MIN: f64 = 0.25;
const SAMPLE_MAX: f64 = 4.0;

/// How long a server takes for a request, relative to the mean of its service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerSpeed {
    factor: Option<AgedFigure<f64>>,
}

impl ServerSpeed {
    /// Adds the duration of a request that any host sent, where the mean of
    /// the service's requests was `mean`.
    pub(crate) fn record(
        &mut self,
        duration: Duration,
        mean: Duration,
        decay: Duration,
        now: MonotonicTime,
    ) {
        let sample = duration.as_secs_f64() / mean.as_secs_f64().max(f64::EPSILON);
        let sample = sample.clamp(SAMPLE_MIN, SAMPLE_MAX);
        let factor = self.factor(decay, now);
        let factor = factor + (sample - factor) * SAMPLE_WEIGHT;
        self.factor = Some(AgedFigure::new(factor, now, FigureSource::Own));
    }

    /// Duration of a request relative to the service's mean. It decays to 1.
    pub(crate) fn factor(&self, decay: Duration, now: MonotonicTime) -> f64 {
        self.factor
            .map_or(1.0, |factor| factor.decayed(1.0, decay, now))
    }
}
