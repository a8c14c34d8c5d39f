use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Counts of the judged responses of one software version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTally {
    /// Responses and failures of servers that had succeeded shortly before.
    pub ended: u32,
    /// Failures among them.
    pub failed: u32,
    /// Responses and failures of servers whose state was not known. Any version
    /// has servers that fail for reasons of their own.
    pub untried: u32,
    /// Failures among them.
    pub untried_failed: u32,
    /// Responses whose duration was compared.
    pub timed: u32,
    /// Those that took several times as long as the old version's mean.
    pub slow: u32,
    /// Sum of the compared durations, in milliseconds.
    pub total_ms: u64,
}

impl OutcomeTally {
    /// Mean duration, unless fewer than `least` were recorded.
    pub fn mean(&self, least: u32) -> Option<Duration> {
        let is_known = self.timed >= least.max(1);
        is_known.then(|| Duration::from_millis(self.total_ms) / self.timed)
    }

    /// Counts that were added since an earlier tally of the same process.
    pub fn since(&self, earlier: &Self) -> Self {
        OutcomeTally {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            untried: self.untried.saturating_sub(earlier.untried),
            untried_failed: self.untried_failed.saturating_sub(earlier.untried_failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
            total_ms: self.total_ms.saturating_sub(earlier.total_ms),
        }
    }
}

/// Outcomes of both versions on one route, counted since the order by one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route.
    pub route: String,
    /// Outcomes at servers of any other version than the target.
    pub old: OutcomeTally,
    /// Outcomes at servers of the target version.
    pub new: OutcomeTally,
}
