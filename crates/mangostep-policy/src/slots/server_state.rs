use std::time::Duration;

use crate::{
    MonotonicTime,
    slots::{ColdStart, ColdStartSettings},
};

/// Time for which a server that refused a request gets no other.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a server's word that it leaves stands against a directory
/// that still lists it as live.
const DRAIN_HOLD: Duration = Duration::from_secs(60);

/// Failures in a row from which a server counts as cold.
const FAILURES_OF_COLD: u32 = 3;

/// Time between two asks for the same ejection.
const EJECTION_ASK_EVERY: Duration = Duration::from_secs(1);

/// How long before its end an ejection is asked for again.
const EJECTION_RENEW_BEFORE: Duration = Duration::from_secs(3);

/// What the keeper of a cell knows of one backend server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) name: String,
    pub(crate) used: u32,
    pub(crate) last_grant: u64,
    pub(crate) is_listed: bool,
    pub(crate) cold_start: ColdStart,
    /// Share of the work of a healthy server.
    pub(crate) weight: f64,
    /// Grants that a suspect has earned by its weight.
    credit: f64,
    directory_leaving: bool,
    drained_until: Option<MonotonicTime>,
    paused_until: MonotonicTime,
    /// Failures since the last answer.
    failures: u32,
    wanted: Option<WantedEjection>,
    ejected_until: Option<MonotonicTime>,
}

/// An ejection that the detector wants.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WantedEjection {
    until: MonotonicTime,
    next_ask: MonotonicTime,
}

impl ServerState {
    pub(crate) fn new(name: &str, cold_start: ColdStart) -> Self {
        ServerState {
            name: name.to_owned(),
            used: 0,
            last_grant: 0,
            is_listed: true,
            cold_start,
            weight: 1.0,
            credit: 0.0,
            directory_leaving: false,
            drained_until: None,
            paused_until: MonotonicTime::ZERO,
            failures: 0,
            wanted: None,
            ejected_until: None,
        }
    }

    /// Takes over what the directory says.
    pub(crate) fn list(
        &mut self,
        now: MonotonicTime,
        is_leaving: bool,
        settings: ColdStartSettings,
    ) {
        let is_back = !self.is_listed || (self.directory_leaving && !is_leaving);
        if is_back {
            self.turn_cold(now);
            self.drained_until = None;
        }
        self.is_listed = true;
        self.directory_leaving = is_leaving;
        self.cold_start.set_settings(settings);
    }

    /// Whether the server takes new work, apart from its slots.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.is_listed && !self.is_leaving(now) && !self.is_ejected(now)
    }

    pub(crate) fn is_leaving(&self, now: MonotonicTime) -> bool {
        self.directory_leaving || self.drained_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.weight < 1.0
    }

    /// Changes how many requests run at the server.
    pub(crate) fn set_used(&mut self, now: MonotonicTime, used: u32) {
        self.used = used;
        self.cold_start.set_in_flight(now, used);
    }

    pub(crate) fn turn_cold(&mut self, now: MonotonicTime) {
        self.cold_start.turn_cold(now);
    }

    /// Takes note of an answer, or of its failure: a server that fails again
    /// and again has likely been restarted.
    pub(crate) fn note_answer(&mut self, now: MonotonicTime, is_good: bool) {
        self.failures = if is_good { 0 } else { self.failures + 1 };
        if self.failures >= FAILURES_OF_COLD {
            self.turn_cold(now);
        }
    }

    pub(crate) fn drain(&mut self, now: MonotonicTime) {
        self.drained_until = Some(now + DRAIN_HOLD);
    }

    pub(crate) fn pause(&mut self, now: MonotonicTime) {
        self.paused_until = now + REFUSED_PAUSE;
    }

    /// Lets a suspect earn its share of one grant of the cell.
    pub(crate) fn earn_credit(&mut self, servers: usize) {
        self.credit = (self.credit + self.weight / servers as f64).min(1.0);
    }

    pub(crate) fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    pub(crate) fn spend_credit(&mut self) {
        self.credit = 0.0;
    }

    pub(crate) fn want_ejection(&mut self, now: MonotonicTime, hold: Duration) {
        self.wanted = Some(WantedEjection {
            until: now + hold,
            next_ask: now,
        });
    }

    /// Ends an ejection, wanted or held, and keeps the server's warmth.
    pub(crate) fn drop_ejection(&mut self) {
        self.wanted = None;
        self.ejected_until = None;
    }

    /// The hold time of an ejection that is to be asked for now.
    pub(crate) fn due_ejection(&mut self, now: MonotonicTime) -> Option<Duration> {
        let wanted = self.wanted.as_mut()?;
        if now < wanted.next_ask || now >= wanted.until {
            return None;
        }
        wanted.next_ask = now + EJECTION_ASK_EVERY;
        Some(wanted.until.since(now))
    }

    /// Takes over a granted ejection, unless it is no longer wanted.
    pub(crate) fn hold_ejection(&mut self, until: MonotonicTime) {
        if let Some(wanted) = &mut self.wanted {
            self.ejected_until = self.ejected_until.max(Some(until));
            wanted.next_ask = until - EJECTION_RENEW_BEFORE;
        }
    }

    /// Ends an ejection whose time is over; the server returns cold.
    pub(crate) fn end_ejection(&mut self, now: MonotonicTime) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
            self.turn_cold(now);
        }
        if self.wanted.is_some_and(|wanted| wanted.until <= now) {
            self.wanted = None;
            self.weight = 1.0;
        }
    }
}
