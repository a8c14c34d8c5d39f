use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// What a backend server states about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatement {
    /// Requests per second that the server takes from all hosts together;
    /// `None` if it states no limit.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the server is leaving and takes no new requests.
    pub is_leaving: bool,
}

/// The statement of a backend server as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementReport {
    /// Id of the server.
    pub server: String,
    /// Start of the server's process, in milliseconds since the Unix epoch by
    /// its own clock.
    pub started_ms: u64,
    /// What the server stated.
    pub statement: ServerStatement,
    /// Time since the response with the statement, in milliseconds.
    pub age_ms: u32,
}

/// Number of backend servers by what they state about themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementCounts {
    /// Servers that state a rate limit.
    pub limited: u64,
    /// Servers that state that they leave.
    pub leaving: u64,
    /// Servers that stated a wait to this host that has not ended.
    pub waiting: u64,
}

/// The rate limit of a backend server over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket from which each request takes one token.
    pub burst: f64,
}

impl StatedLimit {
    /// The limit of a server that takes `rate_per_s` requests per second.
    pub(super) fn of(rate_per_s: f64) -> Self {
        let rate_per_s = rate_per_s.max(RATE_LIMIT_MIN_PER_S);
        StatedLimit {
            rate_per_s,
            burst: 1.0 + rate_per_s * BURST_S,
        }
    }
}

/// Lowest rate limit that is applied, in requests per second. Some requests
/// must reach the server, since only its responses withdraw the limit.
const RATE_LIMIT_MIN_PER_S: f64 = 0.1;

/// Time for which hosts report that a server withdrew its statement: several
/// reports to each peer.
const WITHDRAWAL_REPORT_TIME: Duration = Duration::from_secs(10);

/// Part of a second for which the bucket of a rate limit holds tokens, in
/// addition to one token.
const BURST_S: f64 = 0.25;

/// The latest statement of one backend server, received by any host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatementRecord {
    latest: ServerStatement,
    /// Time of the response with the latest statement. `None` if the server
    /// never stated anything.
    stated: Option<MonotonicTime>,
    changed: MonotonicTime,
    /// Whether this host received the latest statement from the server itself.
    is_own: bool,
    /// Time until which this host has no token for the server.
    denied_until: MonotonicTime,
}

impl StatementRecord {
    /// The record of a server that stated at `stated` that it leaves.
    pub(super) fn leaving(stated: MonotonicTime, now: MonotonicTime) -> Self {
        let mut record = StatementRecord::default();
        let statement = ServerStatement {
            is_leaving: true,
            ..Default::default()
        };
        record.record(statement, stated, false, now);
        record
    }

    /// Records a statement that was made at `stated`. Returns whether the
    /// latest statement changed. An older one than that is ignored, but a
    /// server that leaves does so until its process ends.
    pub(super) fn record(
        &mut self,
        statement: ServerStatement,
        stated: MonotonicTime,
        is_own: bool,
        now: MonotonicTime,
    ) -> bool {
        let is_first = self.stated.is_none();
        if is_first && statement == ServerStatement::default() {
            return false;
        }
        let is_latest = self.stated.is_none_or(|latest| latest <= stated);
        let rate_limit_per_s = match is_latest {
            true => statement.rate_limit_per_s,
            false => self.latest.rate_limit_per_s,
        };
        if is_latest {
            self.stated = Some(stated);
            self.is_own = is_own;
        }
        let latest = ServerStatement {
            rate_limit_per_s,
            is_leaving: self.latest.is_leaving || statement.is_leaving,
        };
        let has_changed = latest != self.latest;
        if has_changed {
            self.latest = latest;
            self.changed = now;
        }
        has_changed
    }

    /// Whether the server stated that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.latest.is_leaving
    }

    /// Rate limit of the server over all hosts.
    pub(super) fn rate_limit(&self) -> Option<StatedLimit> {
        let rate_per_s = self.latest.rate_limit_per_s?;
        Some(StatedLimit::of(rate_per_s))
    }

    /// Records that there is no token for the server before `until`.
    pub(super) fn record_denial(&mut self, until: MonotonicTime) {
        self.denied_until = until;
    }

    /// Time until this host may ask for a token again; zero if it may now.
    pub(super) fn denied_for(&self, now: MonotonicTime) -> Duration {
        self.denied_until.since(now)
    }

    /// The latest statement and its time, if peers should learn it: a watcher
    /// passes on all statements, other hosts those that they received from the
    /// server. With `recent`, only statements that changed within that time
    /// count. A server that states nothing any more is reported for some time.
    pub(super) fn to_report(
        self,
        is_watcher: bool,
        recent: Option<Duration>,
        now: MonotonicTime,
    ) -> Option<(ServerStatement, MonotonicTime)> {
        let is_withdrawn = self.latest == ServerStatement::default();
        let span = recent.or(is_withdrawn.then_some(WITHDRAWAL_REPORT_TIME));
        let is_recent = span.is_none_or(|span| now.since(self.changed) < span);
        let stated = self.stated.filter(|_| is_recent);
        stated
            .filter(|_| self.is_own || is_watcher)
            .map(|stated| (self.latest, stated))
    }
}
