use std::time::Duration;

use crate::{
    MonotonicTime,
    slots::{ColdStart, ColdStartSettings},
};

/// Pause of new requests to a server that refused one.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(50);

/// Time for which a server that reported draining gets no requests while the
/// directory still lists it as live.
const DRAIN_DURATION: Duration = Duration::from_secs(60);

/// Consecutive failures after which a server is treated as cold: it has likely
/// been restarted.
const COLD_FAILURE_THRESHOLD: u32 = 3;

/// Interval between two requests for the same ejection.
const EJECTION_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the end of an ejection at which its renewal is requested.
const EJECTION_RENEWAL_LEAD: Duration = Duration::from_secs(3);

/// State of one backend server in the keeper of its cell.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) name: String,
    /// Slots in use.
    pub(crate) used: u32,
    /// Sequence number of the cell's latest grant at this server; zero before
    /// the first.
    pub(crate) last_grant: u64,
    pub(crate) is_listed: bool,
    pub(crate) cold_start: ColdStart,
    /// Share of a healthy server's requests that this server gets, 0 to 1.
    pub(crate) weight: f64,
    /// Fraction of a grant that a suspected server has accrued by its weight.
    /// It gets a request when the credit reaches 1.
    credit: f64,
    listed_as_leaving: bool,
    draining_until: Option<MonotonicTime>,
    paused_until: MonotonicTime,
    /// Failures since the last successful response.
    failures: u32,
    wanted_ejection: Option<WantedEjection>,
    ejected_until: Option<MonotonicTime>,
}

/// An ejection wanted by the detector, granted or not.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WantedEjection {
    until: MonotonicTime,
    next_request: MonotonicTime,
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
            listed_as_leaving: false,
            draining_until: None,
            paused_until: MonotonicTime::ZERO,
            failures: 0,
            wanted_ejection: None,
            ejected_until: None,
        }
    }

    /// Applies the directory's entry. A server that returns starts cold.
    pub(crate) fn update_listing(
        &mut self,
        now: MonotonicTime,
        is_leaving: bool,
        settings: ColdStartSettings,
    ) {
        let has_returned = !self.is_listed || (self.listed_as_leaving && !is_leaving);
        if has_returned {
            self.reset_cold_start(now);
            self.draining_until = None;
        }
        self.is_listed = true;
        self.listed_as_leaving = is_leaving;
        self.cold_start.set_settings(settings);
    }

    /// Whether the server may get new requests if it has a free slot.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.is_listed && !self.is_leaving(now) && !self.is_ejected(now)
    }

    pub(crate) fn is_leaving(&self, now: MonotonicTime) -> bool {
        self.listed_as_leaving || self.draining_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    pub(crate) fn is_suspected(&self) -> bool {
        self.weight < 1.0
    }

    pub(crate) fn set_used(&mut self, now: MonotonicTime, used: u32) {
        self.used = used;
        self.cold_start.set_in_flight(now, used);
    }

    pub(crate) fn reset_cold_start(&mut self, now: MonotonicTime) {
        self.cold_start.reset(now);
    }

    /// Records the outcome of a request, and restarts the cold start after
    /// [`COLD_FAILURE_THRESHOLD`] consecutive failures.
    pub(crate) fn record_outcome(&mut self, now: MonotonicTime, is_success: bool) {
        self.failures = if is_success { 0 } else { self.failures + 1 };
        if self.failures >= COLD_FAILURE_THRESHOLD {
            self.reset_cold_start(now);
        }
    }

    pub(crate) fn start_draining(&mut self, now: MonotonicTime) {
        self.draining_until = Some(now + DRAIN_DURATION);
    }

    pub(crate) fn pause(&mut self, now: MonotonicTime) {
        self.paused_until = now + PAUSE_AFTER_REFUSAL;
    }

    /// Accrues the server's weighted share of one grant of the cell.
    pub(crate) fn accrue_credit(&mut self, server_count: usize) {
        self.credit = (self.credit + self.weight / server_count as f64).min(1.0);
    }

    pub(crate) fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    pub(crate) fn spend_credit(&mut self) {
        self.credit = 0.0;
    }

    pub(crate) fn want_ejection(&mut self, now: MonotonicTime, hold: Duration) {
        self.wanted_ejection = Some(WantedEjection {
            until: now + hold,
            next_request: now,
        });
    }

    /// Cancels the wanted and the granted ejection. Unlike
    /// [`ServerState::expire_ejection`], this leaves the cold start as it is.
    pub(crate) fn cancel_ejection(&mut self) {
        self.wanted_ejection = None;
        self.ejected_until = None;
    }

    /// Returns the remaining length of the wanted ejection if a request for it
    /// is due.
    pub(crate) fn due_ejection_request(&mut self, now: MonotonicTime) -> Option<Duration> {
        let wanted = self.wanted_ejection.as_mut()?;
        if now < wanted.next_request || now >= wanted.until {
            return None;
        }
        wanted.next_request = now + EJECTION_REQUEST_INTERVAL;
        Some(wanted.until.since(now))
    }

    /// Applies a granted ejection, unless the detector no longer wants it.
    pub(crate) fn apply_ejection(&mut self, until: MonotonicTime) {
        if let Some(wanted) = &mut self.wanted_ejection {
            self.ejected_until = self.ejected_until.max(Some(until));
            wanted.next_request = until - EJECTION_RENEWAL_LEAD;
        }
    }

    /// Ends an ejection whose time has passed. The server returns cold.
    pub(crate) fn expire_ejection(&mut self, now: MonotonicTime) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
            self.reset_cold_start(now);
        }
        if self
            .wanted_ejection
            .is_some_and(|wanted| wanted.until <= now)
        {
            self.wanted_ejection = None;
            self.weight = 1.0;
        }
    }
}
