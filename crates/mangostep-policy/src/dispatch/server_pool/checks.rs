//! Whether backend servers are in cold start, by their own statements.

use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{
        CheckReason, CheckReport, ServerKey, ServerPool, ServerSignal, StatedLimit,
        server_pool::ServerRecord,
    },
};

impl ServerPool {
    /// Records that the entries were known to be current at `at`.
    pub fn record_contact(&mut self, at: MonotonicTime) {
        self.contact = self.contact.max(Some(at));
    }

    /// Records that this host received a report of a peer.
    pub fn record_peer(&mut self, now: MonotonicTime) {
        self.heard = Some(now);
    }

    /// Whether this host no longer hears its peers, which would share what
    /// servers state to them.
    fn is_isolated(&self, now: MonotonicTime) -> bool {
        let timeout = self.settings.peer_timeout;
        self.heard.is_some_and(|at| now.since(at) >= timeout)
    }

    /// Records that this host read the entries for the first time, while the
    /// rest of the fleet was serving.
    pub fn record_joining(&mut self, now: MonotonicTime) {
        self.joined = Some(now);
    }

    /// Why this host must ask a server for the rest of its cold start before it
    /// sends a request; `None` if it knows enough.
    pub fn check_reason(&self, key: ServerKey, now: MonotonicTime) -> Option<CheckReason> {
        let record = self.servers.get(key)?;
        self.check_reason_of(record, now)
    }

    pub(super) fn check_reason_of(
        &self,
        record: &ServerRecord,
        now: MonotonicTime,
    ) -> Option<CheckReason> {
        // A server that is known to be cold gets only what it can handle.
        if record.cold_until > now {
            return None;
        }
        let settings = &self.settings;
        if record.check.may_have_restarted() {
            return Some(CheckReason::Restarted);
        }
        // Several isolated hosts may rely on the same server.
        let is_isolated = self.is_isolated(now);
        let ttl = match is_isolated {
            true => settings.isolated_check_ttl,
            false => settings.check_ttl,
        };
        if record.check.has_stated_within(ttl, now) {
            return None;
        }
        let delay = settings.entry_delay;
        if is_isolated || self.contact.is_none_or(|at| now.since(at) >= delay) {
            return Some(CheckReason::OutOfContact);
        }
        let is_joining = self.joined.is_some_and(|at| now.since(at) < delay);
        let has_stated = record.check.has_stated_within(delay, now);
        (is_joining && !has_stated).then_some(CheckReason::Joining)
    }

    /// Records that this host waits for a server's answer to a check. Until its
    /// end, other requests do not choose the server.
    pub fn begin_check(&mut self, key: ServerKey, now: MonotonicTime) {
        let until = now + self.settings.check_timeout;
        if let Some(record) = self.servers.get_mut(key) {
            record.check.begin(until);
        }
    }

    /// Records that a check ended, with or without an answer.
    pub fn end_check(&mut self, key: ServerKey) {
        if let Some(record) = self.servers.get_mut(key) {
            record.check.end();
        }
    }

    /// Maximum time for which a host waits for the answer to a check.
    pub fn check_timeout(&self) -> Duration {
        self.settings.check_timeout
    }

    /// Records the rest of its cold start that a server stated to this host;
    /// zero if it is warm. Returns the report for the peers, or `None` after the
    /// removal of the server.
    pub fn record_cold_left(
        &mut self,
        key: ServerKey,
        left: Duration,
        now: MonotonicTime,
    ) -> Option<CheckReport> {
        let record = self.servers.get_mut(key)?;
        record.check.record_stated(now);
        record.extend_cold(now + left, now);
        Some(CheckReport {
            server: record.entry.id.clone(),
            started_ms: record.entry.started_ms,
            cold_left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records what a server stated to a peer. Returns whether the peer learned
    /// of a cold start that this host did not know of.
    pub fn record_peer_check(&mut self, report: &CheckReport, now: MonotonicTime) -> bool {
        let Some(key) = self.find(&report.server) else {
            return false;
        };
        let record = &mut self.servers[key];
        if record.entry.started_ms != report.started_ms {
            return false;
        }
        let was_cold = record.cold_until > now;
        record.check.record_stated(now);
        let left = Duration::from_millis(report.cold_left_ms.into());
        record.extend_cold(now + left, now);
        !was_cold && record.cold_until > now
    }

    /// Records that a server may have restarted: its connections were closed, or
    /// it could not be reached.
    pub fn record_restart(&mut self, key: ServerKey, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.check.record_restart(now);
        }
    }

    /// Records whether the outcome of a request leaves open whether the server
    /// restarted. Failures that a peer reports often come from servers that run
    /// on, so that only this host's own count.
    pub(super) fn record_possible_restart(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        is_own: bool,
        now: MonotonicTime,
    ) {
        let is_possible = match signal {
            ServerSignal::Refused | ServerSignal::Unreachable => true,
            ServerSignal::Failure => is_own,
            _ => false,
        };
        if is_possible {
            self.record_restart(key, now);
        }
    }

    /// The rate limit of a server over all hosts: the one that it states, and
    /// while it is cold at most `cold_rate_per_s`, the rate that it can handle.
    /// Each request to the server takes a token from a bucket that all hosts
    /// share.
    pub fn rate_limit(
        &self,
        key: ServerKey,
        cold_rate_per_s: Option<f64>,
        now: MonotonicTime,
    ) -> Option<StatedLimit> {
        let record = self.servers.get(key)?;
        let stated = record.statements.rate_limit();
        let cold_rate = cold_rate_per_s.filter(|_| record.cold_until > now);
        let cold = cold_rate.map(|rate| StatedLimit::of(rate * self.settings.cold_rate_share));
        match (stated, cold) {
            (Some(stated), Some(cold)) if cold.rate_per_s < stated.rate_per_s => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }
}
