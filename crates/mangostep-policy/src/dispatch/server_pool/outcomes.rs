//! Outcomes of requests, as evidence about backend servers.

use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{
        ServerKey, ServerPool, ServerSignal, SuspicionChange,
        server_pool::{RetryableTimes, ServerRecord, ServiceOutcomes},
    },
};

/// Weight of a new sample in the moving average of request durations.
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

impl ServerPool {
    /// Probability that a request to the server fails, from 0 to 1; 0 for a
    /// removed server.
    pub fn failure_chance(&self, key: ServerKey, now: MonotonicTime) -> f64 {
        self.servers
            .get(key)
            .map_or(0.0, |record| self.failure_chance_of(record, now))
    }

    /// Records the outcome of an attempt of this host whose request was sent
    /// at `sent`. Returns the change if the server starts or stops being
    /// suspected.
    pub fn record_own_outcome(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let before = self.failure_chance(key, now);
        self.record_possible_restart(key, signal, true, now);
        if let Some(record) = self.servers.get_mut(key)
            && signal == ServerSignal::Success
        {
            record.backoff.record_success(now);
        }
        if let Some(record) = self.servers.get_mut(key)
            && !matches!(signal, ServerSignal::Error | ServerSignal::Misdirected)
        {
            let settings = &self.settings.own_path;
            record.own_path.record(settings, signal, sent, now);
        }
        self.record_shared(key, signal, sent, now);
        self.suspicion_change(before, key, now)
    }

    /// Records the outcome of an attempt of a peer whose request was sent at
    /// `sent`. Returns the change if the server starts or stops being
    /// suspected.
    pub fn record_peer_outcome(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let before = self.failure_chance(key, now);
        self.record_possible_restart(key, signal, false, now);
        self.record_shared(key, signal, sent, now);
        self.suspicion_change(before, key, now)
    }

    pub(super) fn record_shared(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        if signal == ServerSignal::Misdirected {
            record.misdirected_until = now + self.settings.misdirected_time;
        }
        if signal == ServerSignal::Shed {
            record.shedding_until = now + self.settings.shed_backoff;
        }
        if signal == ServerSignal::Success
            && let Some(mean) = self.durations.get(&record.entry.service)
        {
            let decay = self.settings.balance.speed_decay;
            record.speed.record(now.since(sent), *mean, decay, now);
        }
        // A server that one host cannot reach may be healthy for the others.
        if signal != ServerSignal::Unreachable {
            let settings = &self.settings.evidence;
            record.evidence.record(settings, signal, sent, now);
        }
    }

    pub(super) fn suspicion_change(
        &self,
        before: f64,
        key: ServerKey,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let after = self.failure_chance(key, now);
        let is_suspected = |chance: f64| chance > self.settings.suspected_chance;
        let shift = SuspicionChange {
            before,
            after,
            is_suspected: is_suspected(after),
        };
        (is_suspected(before) != shift.is_suspected).then_some(shift)
    }

    /// Records a retryable request for a service, and whether the retry budget
    /// allows it to be retried.
    pub fn record_retryable(&mut self, service: &str, has_budget: bool, now: MonotonicTime) {
        if !self.retryable.contains_key(service) {
            let times = RetryableTimes::default();
            self.retryable.insert(service.to_owned(), times);
        }
        if let Some(times) = self.retryable.get_mut(service) {
            times.last = Some(now);
            if has_budget {
                times.last_within_budget = Some(now);
            }
        }
    }

    /// Records a request for a service that ended on this host.
    ///
    /// `chance` is the failure probability of the last server when it was
    /// chosen. Failures at servers that were explored are not counted: they
    /// are no evidence about the other servers, and they would prolong the
    /// exploration.
    pub fn record_ended(
        &mut self,
        service: &str,
        is_served: bool,
        chance: f64,
        now: MonotonicTime,
    ) {
        if !is_served && chance >= self.settings.expected_failure_chance {
            return;
        }
        if !self.outcomes.contains_key(service) {
            let outcomes = ServiceOutcomes {
                first: now,
                ..Default::default()
            };
            self.outcomes.insert(service.to_owned(), outcomes);
        }
        if let Some(outcomes) = self.outcomes.get_mut(service) {
            outcomes.all.add(now);
            if !is_served {
                outcomes.failed.add(now);
            }
        }
    }

    /// Whether so many of the service's requests fail on this host after all
    /// retries that servers without recent evidence are explored.
    pub(super) fn fails_often(&self, service: &str, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let span = settings.explore_window;
        self.outcomes.get(service).is_some_and(|outcomes| {
            let all = f64::from(outcomes.all.count_at(now, span));
            let failed = outcomes.failed.count_at(now, span);
            failed >= settings.explore_failures_min
                && f64::from(failed) > all * settings.explore_failure_share
        })
    }

    /// Adds a sample to the moving average of the service's request duration.
    pub fn record_duration(&mut self, service: &str, duration: Duration) {
        match self.durations.get_mut(service) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - DURATION_SAMPLE_WEIGHT)
                    + duration.mul_f64(DURATION_SAMPLE_WEIGHT);
            }
            None => {
                self.durations.insert(service.to_owned(), duration);
            }
        }
    }

    /// Mean duration of the service's requests; a default before the first
    /// sample.
    pub fn mean_duration(&self, service: &str) -> Duration {
        let known = self.durations.get(service).copied();
        known.unwrap_or(self.settings.initial_duration)
    }

    pub(super) fn failure_chance_of(&self, record: &ServerRecord, now: MonotonicTime) -> f64 {
        let shared = record.evidence.failure_chance(&self.settings.evidence, now);
        let own = record.own_path.belief(&self.settings.own_path, now);
        1.0 - (1.0 - shared) * (1.0 - own)
    }
}
