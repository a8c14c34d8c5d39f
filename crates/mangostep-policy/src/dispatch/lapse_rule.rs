use std::time::Duration;

use crate::MonotonicTime;

/// Times of a [`LapseRule`].
#[derive(Clone, Debug, PartialEq)]
pub struct LapseSettings {
    /// Time after a failure of the store in which removals are in doubt. The
    /// platform calls a host in touch again after this time.
    pub doubt: Duration,
    /// Time for which a removed entry stays in use while in doubt. Entries
    /// that lapsed during an outage are back within two seconds.
    pub hold: Duration,
    /// Share of a service's entries that, removed at once, puts the removal
    /// in doubt by itself; planned work removes fewer at a time.
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

/// Tells whether a removed entry lapsed because of an outage of the store.
///
/// Entries lapse when their servers cannot renew them. After an outage of
/// the store that says nothing about the servers, which write their entries
/// again shortly after.
#[derive(Clone, Debug, Default)]
pub struct LapseRule {
    settings: LapseSettings,
    last_failure: Option<MonotonicTime>,
}

impl LapseRule {
    /// Opens a rule without failures.
    pub fn open(settings: LapseSettings) -> Self {
        LapseRule {
            settings,
            last_failure: None,
        }
    }

    /// Takes note of a call to the store that failed.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.last_failure = Some(now);
    }

    /// Time until which entries that were removed now stay in use; none when
    /// they are gone at once.
    pub fn hold_until(
        &self,
        now: MonotonicTime,
        removed: usize,
        total: usize,
    ) -> Option<MonotonicTime> {
        let doubted = self
            .last_failure
            .is_some_and(|failed| now.since(failed) < self.settings.doubt);
        let is_mass = removed > 2 && removed as f64 >= total as f64 * self.settings.mass_share;
        (doubted || is_mass).then(|| now + self.settings.hold)
    }
}
