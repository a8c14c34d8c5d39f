//! The choice among the backend servers of a service.

use std::time::Duration;

use {
    mangostep_objects::RequestKind,
    rand::{Rng, RngExt},
};

use crate::{
    MonotonicTime,
    dispatch::{
        ChoiceRefusal, ChoiceRequest, ServerChoice, ServerKey, ServerPool,
        server_pool::ServerRecord,
    },
};

/// Failure probability from which on a warm server is no better than a cold
/// one, which runs slowly.
const COLD_FALLBACK_CHANCE: f64 = 0.25;

/// Number of consecutive failures beyond which the interval between trial
/// requests no longer grows.
const TRIAL_STREAK_MAX: u32 = 5;

/// Factor by which the trial interval is longer when the trial request would
/// stall instead of failing at once.
const STALL_TRIAL_FACTOR: u32 = 2;

/// Longest Retry-After value; callers wait at most a third of their time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

impl ServerPool {
    /// Picks the server for a request.
    ///
    /// `cold_rate_per_s` is the request rate from all hosts together that a
    /// cold server of the service can handle; `None` means no bound.
    /// `is_connected` returns whether this host has a connection to a server
    /// that the request may use.
    pub fn choose(
        &self,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: impl Fn(ServerKey) -> bool,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> ServerChoice {
        let keys = self
            .by_service
            .get(request.service)
            .map_or(&[][..], Vec::as_slice);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut refusal = ChoiceRefusal::NoServer;
        let mut shortest_wait = RETRY_AFTER_MAX;
        let mut is_check_pending = false;
        let (mut cold_pick, mut cold_fallback) = (None, None);
        let is_spread = self.is_spread(request.service);
        let mut warm = Vec::new();
        for key in keys
            .iter()
            .copied()
            .filter(|key| self.accepts_work(*key, now))
        {
            if request.tried.contains(&key) {
                continue;
            }
            let record = &self.servers[key];
            if record.misdirected_until > now {
                continue;
            }
            let pending = record.check.pending_for(now);
            if !pending.is_zero() {
                is_check_pending = true;
                shortest_wait = shortest_wait.min(pending);
                continue;
            }
            if let Some((reason, wait)) = self.held_back(record, request, now) {
                if matches!(refusal, ChoiceRefusal::NoServer | ChoiceRefusal::AllCold) {
                    refusal = reason;
                }
                shortest_wait = shortest_wait.min(wait);
                continue;
            }
            // Without a warm-up rate, a server that joined is ranked by its cost
            // like the others.
            if let Some(rate) = cold_rate_per_s.filter(|_| record.cold_until > now) {
                if refusal == ChoiceRefusal::NoServer {
                    refusal = ChoiceRefusal::AllCold;
                }
                if self.has_cold_capacity(record, rate, now) {
                    if cold_fallback.is_none_or(|other| self.second_has_fewer_starts(other, key)) {
                        cold_fallback = Some(key);
                    }
                    if random.random_bool(self.cold_chance(request, rate)) {
                        cold_pick = Some(key);
                    }
                }
                continue;
            }
            if is_spread {
                warm.push(key);
                continue;
            }
            let (wait, has_capacity) = self.expected_wait(record, request, now);
            shortest_wait = shortest_wait.min(wait);
            if !has_capacity {
                refusal = ChoiceRefusal::NoCapacity;
                continue;
            }
            let jitter = random.random_range(0.0..=self.settings.jitter.as_secs_f64());
            let mut cost = self.cost(record, request, wait, now) + jitter;
            if self.is_first_request_due(record, request, now)
                && random.random_bool(self.sole_sender_chance(request, 1, 1))
            {
                let lost_cost = self.settings.lost_request_cost.as_secs_f64();
                cost -= self.failure_chance_of(record, now) * lost_cost;
            }
            // Servers without a warm-up rate are not checked.
            if cold_rate_per_s.is_some() && self.check_reason_of(record, now).is_some() {
                cost += self.settings.check_cost.as_secs_f64();
            }
            if !is_connected(key) {
                cost += self.settings.connect_cost.as_secs_f64();
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        match self.spread_choice(warm, request, is_connected, random, now) {
            Some(candidate) if candidate.has_capacity => {
                best = Some((candidate.cost, candidate.key));
            }
            Some(candidate) => {
                refusal = ChoiceRefusal::NoCapacity;
                shortest_wait = shortest_wait.min(candidate.wait);
            }
            None => {}
        }
        if let Some(key) = cold_pick {
            return ServerChoice::Send(key);
        }
        // If the warm servers are full or likely to fail, a cold server is
        // used within its warm-up rate.
        let threshold = self.settings.lost_request_cost.as_secs_f64() * COLD_FALLBACK_CHANCE;
        let uses_cold = best.is_none_or(|(cost, _)| cost > threshold);
        if let Some(key) = cold_fallback.filter(|_| uses_cold && request.sees_peer_traffic)
            && let Some(rate) = cold_rate_per_s
            && random.random_bool(self.cold_fallback_chance(request, rate))
        {
            return ServerChoice::Send(key);
        }
        match best {
            Some((_, key)) => ServerChoice::Send(key),
            None => {
                if is_check_pending {
                    refusal = ChoiceRefusal::Unchecked;
                }
                let spread = random.random_range(1.0..2.0);
                let after = shortest_wait
                    .max(self.settings.shed_backoff)
                    .mul_f64(spread);
                ServerChoice::Refuse(refusal, after.min(RETRY_AFTER_MAX))
            }
        }
    }

    /// Whether a server of this host's zone has been idle for so long that a
    /// request that cannot be retried goes there.
    ///
    /// Servers that are likely healthy get such requests in turn, so that the
    /// hosts' evidence about them stays recent. Other servers are explored,
    /// seldom while few requests fail. While retryable requests arrive, those
    /// do both unless many requests fail.
    pub(super) fn is_exploration_due(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> bool {
        let settings = &self.settings;
        let Some(outcomes) = self.outcomes.get(request.service) else {
            return false;
        };
        if record.entry.zone != request.zone || record.in_flight(settings.peer_load_ttl, now) > 0 {
            return false;
        }
        let last = record
            .evidence
            .last_outcome()
            .max(record.own_path.last_outcome());
        let last = last.unwrap_or_default().max(record.last_start);
        let idle = now.since(last.max(outcomes.first));
        let shared = record.evidence.belief(&settings.evidence, now);
        let belief = shared.max(record.own_path.belief(&settings.own_path, now));
        let fails_often = self.fails_often(request.service, now);
        let is_recent =
            |at: Option<MonotonicTime>, span: Duration| at.is_some_and(|at| now.since(at) < span);
        let retryable = self
            .retryable
            .get(request.service)
            .copied()
            .unwrap_or_default();
        if !fails_often && is_recent(retryable.last, settings.calm_explore_interval) {
            return false;
        }
        let has_retryable = is_recent(retryable.last_within_budget, settings.explore_interval);
        if belief < settings.likely_healthy_belief {
            return idle >= settings.healthy_explore_interval;
        }
        let is_suspect = belief > settings.likely_failing_belief;
        let interval = match (
            self.fails_often(request.service, now),
            has_retryable,
            is_suspect,
        ) {
            (false, true, _) | (true, true, true) => return false,
            (false, false, true) => settings.calm_suspect_explore_interval,
            (false, false, false) => settings.calm_explore_interval,
            (true, false, true) => settings.suspect_explore_interval,
            (true, true, false) => settings.assisted_explore_interval,
            (true, false, false) => settings.explore_interval,
        };
        idle >= interval
    }

    /// Whether a suspected server may get a trial request. The interval grows
    /// with the number of consecutive failures.
    pub(super) fn is_trial_due(
        &self,
        record: &ServerRecord,
        service: &str,
        now: MonotonicTime,
    ) -> bool {
        let evidence = &record.evidence;
        let own = &record.own_path;
        let streak = evidence
            .streak()
            .max(own.streak())
            .clamp(1, TRIAL_STREAK_MAX);
        let factor = match evidence.is_stalled() || own.is_stalled() {
            true => streak * STALL_TRIAL_FACTOR,
            false => streak,
        };
        let last = evidence.last_outcome().max(own.last_outcome());
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let interval = match self.fails_often(service, now) {
            true => {
                (self.settings.trial_interval * factor).min(self.settings.assisted_explore_interval)
            }
            false => self.settings.trial_interval * factor,
        };
        in_flight == 0 && last.is_none_or(|at| now.since(at) >= interval)
    }

    /// Whether a cold server got fewer requests in the last second than its
    /// share of the warm-up rate allows.
    pub(super) fn has_cold_capacity(
        &self,
        record: &ServerRecord,
        cold_rate_per_s: f64,
        now: MonotonicTime,
    ) -> bool {
        let second = Duration::from_secs(1);
        let starts = record
            .cold_starts
            .iter()
            .filter(|start| now.since(**start) < second);
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let rate_limit = cold_rate_per_s * self.settings.cold_rate_share;
        in_flight < record.entry.slots && starts.count() as f64 + 1.0 <= rate_limit.max(1.0)
    }

    /// Whether `second` got fewer requests during its cold start than `first`.
    pub(super) fn second_has_fewer_starts(&self, first: ServerKey, second: ServerKey) -> bool {
        let starts = |key: ServerKey| self.servers[key].cold_starts.len();
        starts(second) < starts(first)
    }

    /// Probability of sending a request to one given cold server, such that
    /// all hosts together send it a fixed share of the rate that it can
    /// handle.
    pub(super) fn cold_chance(&self, request: ChoiceRequest<'_>, cold_rate_per_s: f64) -> f64 {
        let fleet_rate = self.fleet_rate(request);
        (cold_rate_per_s * self.settings.cold_rate_share / fleet_rate).clamp(0.0, 1.0)
    }

    /// Probability of using a cold server while the warm ones cannot take the
    /// request. The requests that all hosts send there before they learn of
    /// each other's must not exceed what the server can handle.
    pub(super) fn cold_fallback_chance(
        &self,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: f64,
    ) -> f64 {
        let unseen = self.fleet_rate(request) * self.settings.signal_delay.as_secs_f64();
        let capacity = (cold_rate_per_s * self.settings.cold_rate_share).max(1.0);
        (capacity / unseen.max(f64::EPSILON)).min(1.0)
    }

    /// Estimated requests per second of all hosts together, from the rate of
    /// this host.
    pub(super) fn fleet_rate(&self, request: ChoiceRequest<'_>) -> f64 {
        request.own_rate_per_s.max(0.2) * self.host_count as f64
    }

    /// Expected wait for a slot, and whether the server has capacity for the
    /// request.
    pub(super) fn expected_wait(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> (Duration, bool) {
        let slots = record.entry.slots.max(1);
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let duration = self.mean_duration(request.service);
        let ahead = (in_flight + 1).saturating_sub(slots);
        let wait = duration.mul_f64(f64::from(ahead) / f64::from(slots));
        let priority_share = 0.5_f64.powi(request.priority.min(8) as i32);
        let queue = (f64::from(slots) * self.settings.queue_per_slot * priority_share).floor();
        let fits = f64::from(in_flight) < f64::from(slots) + queue;
        let in_time = wait + duration < request.time_left || ahead == 0;
        (wait, fits && in_time)
    }

    /// Expected cost of sending the request to the server, in seconds.
    pub(super) fn cost(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        wait: Duration,
        now: MonotonicTime,
    ) -> f64 {
        let settings = &self.settings;
        let evidence = &record.evidence;
        let slots = self.ramped_slots(record, now);
        let in_flight = f64::from(record.in_flight(settings.peer_load_ttl, now));
        let mut cost = wait.as_secs_f64() + settings.load_cost.as_secs_f64() * in_flight / slots;
        if record.entry.zone != request.zone {
            cost += settings.zone_cost.as_secs_f64();
        }
        if record.held_until.is_some() {
            cost += settings.retry_cost.as_secs_f64();
        }
        if record.shedding_until > now {
            cost += settings.shed_cost.as_secs_f64();
        }
        let chance = self.failure_chance_of(record, now);
        let is_retryable = request.kind == RequestKind::Idempotent && request.may_retry;
        if !is_retryable {
            if self.is_exploration_due(record, request, now) {
                return cost - settings.verify_gain.as_secs_f64();
            }
            return cost + chance * settings.lost_request_cost.as_secs_f64();
        }
        let retry_cost = settings.retry_cost.as_secs_f64();
        let is_own_zone = record.entry.zone == request.zone;
        if chance > settings.suspected_chance {
            // A retryable request tests whether the server is healthy again.
            // Only hosts of the server's zone send such trial requests.
            return match is_own_zone && self.is_trial_due(record, request.service, now) {
                true => cost - retry_cost,
                false => cost + chance * settings.lost_request_cost.as_secs_f64(),
            };
        }
        if !is_own_zone {
            return cost + chance * retry_cost;
        }
        // Servers without recent evidence get a bonus that grows with the age
        // of the last outcome.
        let age = evidence.last_outcome().map_or(1.0, |at| {
            let spans = now.since(at).as_secs_f64() / settings.evidence_age_scale.as_secs_f64();
            1.0 - (-spans).exp()
        });
        cost - settings.verify_gain.as_secs_f64() * age
    }
}
