use std::time::Duration;

use crate::MonotonicTime;

/// Settings of a [`LapseRule`].
#[derive(Clone, Debug, PartialEq)]
pub struct LapseSettings {
    /// Time after a failed call to the store in which removals are in doubt.
    /// The platform counts a host as connected again after this time.
    pub doubt: Duration,
    /// Time for which a removed entry stays in use while in doubt. Entries
    /// that lapsed during an outage are written again within two seconds.
    pub hold: Duration,
    /// Share of a service's entries whose simultaneous removal is in doubt
    /// even without a failed call. Planned work removes fewer at a time.
    pub mass_share: f64,
}

impl Default for LapseSettings {
    fn default() -> Self {
        LapseSettings {
            doubt: Duration::from_secs(3),
            hold: Duration::from_millis(2_200),
            mass_share: 0.4,
        }
    }
}

/// Decides whether a removed entry may have lapsed because of a store outage.
///
/// An entry lapses when its server cannot renew it. After a store outage this
/// is no evidence against the servers, which write their entries again shortly
/// afterwards.
#[derive(Clone, Debug, Default)]
pub struct LapseRule {
    settings: LapseSettings,
    last_failure: Option<MonotonicTime>,
}

impl LapseRule {
    /// Creates a rule that has seen no failed call.
    pub fn open(settings: LapseSettings) -> Self {
        LapseRule {
            settings,
            last_failure: None,
        }
    }

    /// Records a failed call to the store.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.last_failure = Some(now);
    }

    /// Time since the last failed call to the store.
    pub fn failure_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.last_failure.map(|failed| now.since(failed))
    }

    /// Returns the time until which entries that were removed now stay in use,
    /// or `None` if they are removed at once. `removed` of the service's
    /// `total` entries disappeared together.
    pub fn hold_until(
        &self,
        now: MonotonicTime,
        removed: usize,
        total: usize,
    ) -> Option<MonotonicTime> {
        let is_after_failure = self
            .last_failure
            .is_some_and(|failed| now.since(failed) < self.settings.doubt);
        let is_mass = removed > 2 && removed as f64 >= total as f64 * self.settings.mass_share;
        (is_after_failure || is_mass).then(|| now + self.settings.hold)
    }
}
