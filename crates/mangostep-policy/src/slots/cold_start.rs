use std::time::Duration;

use crate::MonotonicTime;

/// Concurrency of one backend server during and after its cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartSettings {
    /// Concurrent requests when warm.
    pub slots: u32,
    /// Concurrent requests at the beginning of the cold start.
    pub cold_slots: u32,
    /// Length of the warm-up, counted only while requests are in flight.
    pub warm_up: Duration,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings {
            slots: 2,
            cold_slots: 1,
            warm_up: Duration::from_secs(10),
        }
    }
}

/// Tracks the warm-up of one backend server.
///
/// Only time with at least one in-flight request counts, since an idle server
/// fills no caches.
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
    in_flight: u32,
    counted_until: MonotonicTime,
}

impl ColdStart {
    /// Starts at the beginning of the cold start, as for an unknown server.
    pub fn cold(settings: ColdStartSettings) -> Self {
        ColdStart {
            settings,
            warmed: Duration::ZERO,
            in_flight: 0,
            counted_until: MonotonicTime::ZERO,
        }
    }

    /// Starts with a completed warm-up.
    pub fn warm(settings: ColdStartSettings) -> Self {
        ColdStart {
            warmed: settings.warm_up,
            ..ColdStart::cold(settings)
        }
    }

    /// Sets the number of in-flight requests from `now` on.
    pub fn set_in_flight(&mut self, now: MonotonicTime, in_flight: u32) {
        self.warmed = self.warmed_at(now);
        self.counted_until = now;
        self.in_flight = in_flight;
    }

    /// Restarts the cold start, as after a restart of the server.
    pub fn reset(&mut self, now: MonotonicTime) {
        self.warmed = Duration::ZERO;
        self.counted_until = now;
    }

    /// Changes the settings; the warm-up time counted so far is kept.
    ///
    /// A warm server stays warm, also when the warm-up becomes longer.
    pub fn set_settings(&mut self, settings: ColdStartSettings) {
        if self.is_complete(self.warmed) {
            self.warmed = settings.warm_up;
        }
        self.settings = settings;
    }

    /// Whether the warm-up is complete at `now`.
    pub fn is_warm(&self, now: MonotonicTime) -> bool {
        self.is_complete(self.warmed_at(now))
    }

    /// Concurrent requests that the server can handle at `now`.
    ///
    /// The number grows linearly over the warm-up.
    pub fn slots(&self, now: MonotonicTime) -> u32 {
        let ColdStartSettings {
            slots, cold_slots, ..
        } = self.settings;
        let warmed = self.warmed_at(now);
        if self.is_complete(warmed) {
            return slots;
        }
        let cold_slots = cold_slots.min(slots);
        let progress = warmed.as_secs_f64() / self.settings.warm_up.as_secs_f64();
        cold_slots + (f64::from(slots - cold_slots) * progress) as u32
    }

    fn is_complete(&self, warmed: Duration) -> bool {
        warmed >= self.settings.warm_up
    }

    fn warmed_at(&self, now: MonotonicTime) -> Duration {
        if self.in_flight == 0 {
            return self.warmed;
        }
        (self.warmed + now.since(self.counted_until)).min(self.settings.warm_up)
    }
}
