use std::time::Duration;

use crate::MonotonicTime;

/// Longest wait that is obeyed, so that no value takes a server away for good.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Largest part of the wait by which a host returns later than the server
/// stated, so that the hosts do not return together.
const RETURN_SPREAD: f64 = 0.3;

/// The wait that a backend server stated to this host when it shed a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerBackoff {
    until: MonotonicTime,
    /// Whether no request succeeded since the server stated a wait.
    is_returning: bool,
}

impl ServerBackoff {
    /// Records a wait. `spread` is random, from 0 to 1. Of several waits the
    /// one that ends last holds.
    pub(super) fn record(&mut self, wait: Duration, spread: f64, now: MonotonicTime) {
        let wait = wait.min(WAIT_MAX).mul_f64(1.0 + spread * RETURN_SPREAD);
        self.until = self.until.max(now + wait);
        self.is_returning = true;
    }

    /// Records that the server answered a request of this host with success.
    pub(super) fn record_success(&mut self, now: MonotonicTime) {
        self.is_returning &= self.until > now;
    }

    /// Time until the wait ends; zero if it has.
    pub(super) fn left(&self, now: MonotonicTime) -> Duration {
        self.until.since(now)
    }

    /// Whether this host may send a request beside those that it has in flight
    /// at the server. After a wait, the first one must succeed before others
    /// follow.
    pub(super) fn admits_beside(&self, own_in_flight: u32) -> bool {
        !self.is_returning || own_in_flight == 0
    }
}
