use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// Why a host asks a backend server whether it is in cold start before it sends
/// a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckReason {
    /// The server may have restarted since it last stated anything.
    Restarted,
    /// The host's copy of the entries is not confirmed: neither the store nor a
    /// peer told it of changes.
    OutOfContact,
    /// The host has just read the entries for the first time, and they may be
    /// older than the server's cold start.
    Joining,
}

impl CheckReason {
    /// Label of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            CheckReason::Restarted => "restarted",
            CheckReason::OutOfContact => "out-of-contact",
            CheckReason::Joining => "joining",
        }
    }
}

/// What a backend server answered to the check of one host, as that host reports
/// it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    /// Id of the server.
    pub server: String,
    /// Start of the server's process, in milliseconds since the Unix epoch by
    /// its own clock.
    pub started_ms: u64,
    /// Remaining time in cold start, in milliseconds.
    pub cold_left_ms: u32,
}

/// When a backend server last stated whether it is in cold start, and when it
/// may have restarted since.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CheckRecord {
    stated: Option<MonotonicTime>,
    restarted: Option<MonotonicTime>,
    /// Time until which this host waits for the answer to a check.
    pending_until: MonotonicTime,
}

impl CheckRecord {
    /// Records that the server stated the remaining time of its cold start.
    pub(super) fn record_stated(&mut self, now: MonotonicTime) {
        self.stated = Some(now);
    }

    /// Records that the server may have restarted.
    pub(super) fn record_restart(&mut self, now: MonotonicTime) {
        self.restarted = Some(now);
    }

    /// Records that an entry announced the cold start of a restarted server.
    pub(super) fn clear_restart(&mut self) {
        self.restarted = None;
    }

    pub(super) fn begin(&mut self, until: MonotonicTime) {
        self.pending_until = until;
    }

    pub(super) fn end(&mut self) {
        self.pending_until = MonotonicTime::ZERO;
    }

    /// Time until a pending check ends; zero if there is none.
    pub(super) fn pending_for(&self, now: MonotonicTime) -> Duration {
        self.pending_until.since(now)
    }

    /// Whether the server may have restarted since its last statement.
    pub(super) fn may_have_restarted(&self) -> bool {
        let is_later = |at: MonotonicTime| self.stated.is_none_or(|stated| stated <= at);
        self.restarted.is_some_and(is_later)
    }

    /// Whether the server stated anything within `span`.
    pub(super) fn has_stated_within(&self, span: Duration, now: MonotonicTime) -> bool {
        self.stated.is_some_and(|stated| now.since(stated) < span)
    }
}
