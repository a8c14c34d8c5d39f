//! What backend servers state about themselves.

use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{
        ChoiceRefusal, ChoiceRequest, ServerEntry, ServerKey, ServerPool, ServerStatement,
        StatementCounts, StatementReport, server_pool::ServerRecord,
        server_statement::StatementRecord,
    },
};

/// Time for which a statement that a server leaves is remembered; longer than
/// any planned shutdown.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

impl ServerPool {
    /// What is known of a new server's statements.
    pub(super) fn known_statements(
        &self,
        entry: &ServerEntry,
        now: MonotonicTime,
    ) -> StatementRecord {
        match self.leaving.get(&entry.id) {
            Some((started_ms, stated)) if *started_ms == entry.started_ms => {
                StatementRecord::leaving(*stated, now)
            }
            _ => StatementRecord::default(),
        }
    }

    /// Records what a server stated in a response to this host. Returns whether
    /// that differs from its latest statement. A server that leaves is
    /// remembered even if its entry was removed before the response arrived:
    /// the entry may return.
    pub fn record_own_statement(
        &mut self,
        key: ServerKey,
        server: &ServerEntry,
        statement: ServerStatement,
        now: MonotonicTime,
    ) -> bool {
        if statement.is_leaving {
            self.record_leaving(&server.id, server.started_ms, now, now);
        }
        let record = self.servers.get_mut(key);
        record.is_some_and(|record| record.statements.record(statement, now, true, now))
    }

    /// Records that a server leaves, unless that is known or a later process of
    /// the same id leaves too. Forgets servers that stated so long ago that
    /// their processes have ended.
    fn record_leaving(
        &mut self,
        id: &str,
        started_ms: u64,
        stated: MonotonicTime,
        now: MonotonicTime,
    ) {
        let is_known = self
            .leaving
            .get(id)
            .is_some_and(|(known_start, known)| *known_start == started_ms || *known >= stated);
        if is_known {
            return;
        }
        self.leaving
            .retain(|_, (_, stated)| now.since(*stated) < LEAVING_MEMORY);
        self.leaving.insert(id.to_owned(), (started_ms, stated));
    }

    /// Records that a server shed a request of this host and stated for how
    /// long it wants none. `spread` is random, from 0 to 1, and differs between
    /// hosts.
    pub fn record_wait(&mut self, key: ServerKey, wait: Duration, spread: f64, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.backoff.record(wait, spread, now);
        }
    }

    /// Records what a server stated in a response to a peer. Returns whether
    /// that is newer than its latest statement and differs from it.
    pub fn record_peer_statement(&mut self, report: &StatementReport, now: MonotonicTime) -> bool {
        let stated = now - Duration::from_millis(report.age_ms.into());
        if report.statement.is_leaving {
            self.record_leaving(&report.server, report.started_ms, stated, now);
        }
        let key = self.by_id.get(&report.server).copied();
        let Some(record) = key.and_then(|key| self.servers.get_mut(key)) else {
            return false;
        };
        record.entry.started_ms == report.started_ms
            && record
                .statements
                .record(report.statement, stated, false, now)
    }

    /// The statements that this host reports to its peers: a watcher passes on
    /// all that it knows, other hosts those that servers made to them. With
    /// `recent`, only statements that changed within that time count.
    pub fn statement_reports(
        &self,
        is_watcher: bool,
        recent: Option<Duration>,
        now: MonotonicTime,
    ) -> impl Iterator<Item = StatementReport> {
        self.servers.values().filter_map(move |record| {
            let (statement, stated) = record.statements.to_report(is_watcher, recent, now)?;
            Some(StatementReport {
                server: record.entry.id.clone(),
                started_ms: record.entry.started_ms,
                statement,
                age_ms: u32::try_from(now.since(stated).as_millis()).unwrap_or(u32::MAX),
            })
        })
    }

    /// Number of servers by what they state about themselves.
    pub fn statement_counts(&self, now: MonotonicTime) -> StatementCounts {
        let mut counts = StatementCounts::default();
        for record in self.servers.values() {
            counts.limited += u64::from(record.statements.rate_limit().is_some());
            counts.leaving += u64::from(record.statements.is_leaving());
            counts.waiting += u64::from(!record.backoff.left(now).is_zero());
        }
        counts
    }

    /// Records that this host gets no token for a server before `until`.
    pub fn record_denial(&mut self, key: ServerKey, until: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.statements.record_denial(until);
        }
    }

    /// Why and for how long this host must not send a request to a server,
    /// because of what the server stated; `None` if it may.
    pub(super) fn held_back(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> Option<(ChoiceRefusal, Duration)> {
        let wait = record.backoff.left(now);
        if !wait.is_zero() {
            return Some((ChoiceRefusal::BackingOff, wait));
        }
        if !record.backoff.admits_beside(record.own_in_flight) {
            let duration = self.mean_duration(request.service);
            return Some((ChoiceRefusal::BackingOff, duration));
        }
        let denied = match record.cold_until > now || record.statements.rate_limit().is_some() {
            true => record.statements.denied_for(now),
            false => Duration::ZERO,
        };
        (!denied.is_zero()).then_some((ChoiceRefusal::RateLimited, denied))
    }
}
