use std::time::Duration;

use crate::MonotonicTime;

/// What one backend server bears, cold and warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartSettings {
    /// Requests at once when warm.
    pub slots: u32,
    /// Requests at once when cold.
    pub cold_slots: u32,
    /// Time under load from cold to warm.
    pub ramp: Duration,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings {
            slots: 2,
            cold_slots: 1,
            ramp: Duration::from_secs(10),
        }
    }
}

/// Counts how warm one backend server is.
///
/// Only time with at least one running request warms a server up, since an
/// idle one fills no cache.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{ColdStart, ColdStartSettings, MonotonicTime};
///
/// let settings = ColdStartSettings { slots: 4, ..Default::default() };
/// let mut start = ColdStart::cold(settings);
/// let now = MonotonicTime::ZERO;
/// start.set_in_flight(now, 1);
/// assert_eq!(start.slots(now), 1);
/// assert_eq!(start.slots(now + Duration::from_secs(10)), 4);
/// ```
#[derive(Clone, Debug)]
pub struct ColdStart {
    settings: ColdStartSettings,
    warmed: Duration,
    running: u32,
    counted: MonotonicTime,
}

impl ColdStart {
    /// A server of which nothing is known.
    pub fn cold(settings: ColdStartSettings) -> Self {
        ColdStart {
            settings,
            warmed: Duration::ZERO,
            running: 0,
            counted: MonotonicTime::ZERO,
        }
    }

    /// A server that is known to be warm.
    pub fn warm(settings: ColdStartSettings) -> Self {
        ColdStart {
            warmed: settings.ramp,
            ..ColdStart::cold(settings)
        }
    }

    /// Takes note of how many requests run at the server from `now` on.
    pub fn set_in_flight(&mut self, now: MonotonicTime, running: u32) {
        self.warmed = self.warmed_at(now);
        self.counted = now;
        self.running = running;
    }

    /// Starts again from cold.
    pub fn turn_cold(&mut self, now: MonotonicTime) {
        self.warmed = Duration::ZERO;
        self.counted = now;
    }

    /// Takes over new settings; the time under load counts on.
    pub fn set_settings(&mut self, settings: ColdStartSettings) {
        if self.is_full(self.warmed) {
            self.warmed = settings.ramp;
        }
        self.settings = settings;
    }

    /// Whether the server is warm at `now`.
    pub fn is_warm(&self, now: MonotonicTime) -> bool {
        self.is_full(self.warmed_at(now))
    }

    /// Requests that the server bears at once at `now`.
    pub fn slots(&self, now: MonotonicTime) -> u32 {
        let ColdStartSettings {
            slots, cold_slots, ..
        } = self.settings;
        let warmed = self.warmed_at(now);
        if self.is_full(warmed) {
            return slots;
        }
        let cold_slots = cold_slots.min(slots);
        let part = warmed.as_secs_f64() / self.settings.ramp.as_secs_f64();
        cold_slots + (f64::from(slots - cold_slots) * part) as u32
    }

    fn is_full(&self, warmed: Duration) -> bool {
        warmed >= self.settings.ramp
    }

    fn warmed_at(&self, now: MonotonicTime) -> Duration {
        if self.running == 0 {
            return self.warmed;
        }
        (self.warmed + now.since(self.counted)).min(self.settings.ramp)
    }
}
