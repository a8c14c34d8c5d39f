use std::time::Duration;

use crate::MonotonicTime;

/// Events per second, averaged with weights that decay exponentially.
#[derive(Clone, Copy, Debug)]
pub struct RateMeter {
    time_constant: Duration,
    rate_per_s: f64,
    updated: MonotonicTime,
}

impl RateMeter {
    /// Creates a meter that has counted no events.
    pub fn open(time_constant: Duration) -> Self {
        RateMeter {
            time_constant,
            rate_per_s: 0.0,
            updated: MonotonicTime::ZERO,
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: MonotonicTime) {
        self.rate_per_s = self.rate(now) + 1.0 / self.time_constant.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Events per second.
    pub fn rate(&self, now: MonotonicTime) -> f64 {
        let decays = now.since(self.updated).as_secs_f64() / self.time_constant.as_secs_f64();
        self.rate_per_s * (-decays).exp()
    }
}
