//! The choice among the warm servers of a service whose load is spread.

use std::{cmp::Reverse, time::Duration};

use {
    mangostep_objects::{LoadBalancing, RequestKind},
    rand::{Rng, RngExt},
};

use crate::{
    MonotonicTime,
    balance::{FailureClass, draw_candidates},
    dispatch::{ChoiceRequest, ServerKey, ServerPool, server_pool::ServerRecord},
};

/// What a host expects of a server that it would send a request to.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpreadCandidate {
    pub(super) key: ServerKey,
    /// Expected cost in seconds, in whole steps.
    pub(super) cost: f64,
    /// Expected wait for a slot.
    pub(super) wait: Duration,
    pub(super) has_capacity: bool,
    class: FailureClass,
    /// When any host last sent it a request.
    last_start: MonotonicTime,
}

impl SpreadCandidate {
    /// Among equally good servers, the one that has been idle for longest is
    /// better.
    fn is_better_than(&self, other: &SpreadCandidate) -> bool {
        let rank =
            |candidate: &SpreadCandidate| (candidate.has_capacity, Reverse(candidate.last_start));
        match self.has_capacity == other.has_capacity {
            true if self.cost != other.cost => self.cost < other.cost,
            _ => rank(self) > rank(other),
        }
    }

    /// Whether no further servers need to be looked at.
    fn is_good(&self, worst_class: FailureClass) -> bool {
        self.has_capacity && self.wait.is_zero() && self.class <= worst_class
    }
}

impl ServerPool {
    /// Sets how the requests for a service are distributed over its servers.
    pub fn set_balancing(&mut self, service: &str, balancing: LoadBalancing) {
        match balancing {
            LoadBalancing::Spread => {
                self.spread_services.insert(service.to_owned());
            }
            LoadBalancing::LeastCost => {
                self.spread_services.remove(service);
            }
        }
    }

    /// Whether the load of a service is spread.
    pub(super) fn is_spread(&self, service: &str) -> bool {
        self.spread_services.contains(service)
    }

    /// Picks one of `servers`, which all accept work and are warm.
    ///
    /// Few servers are drawn and the best of them is taken, so that hosts that
    /// know the same do not all choose the same server. The first draw is from
    /// this host's zone and prefers servers with a connection. Only if none of
    /// these is good are other zones and then all servers looked at.
    pub(super) fn spread_choice(
        &self,
        servers: Vec<ServerKey>,
        request: ChoiceRequest<'_>,
        is_connected: impl Fn(ServerKey) -> bool,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> Option<SpreadCandidate> {
        let settings = &self.settings.balance;
        let in_zone = |key: &ServerKey| self.servers[*key].entry.zone == request.zone;
        let (near, mut far): (Vec<_>, Vec<_>) = servers.into_iter().partition(in_zone);
        let total = near.len() + far.len();
        let idle = self.draw_idle(&near, request, random, now);
        let (mut connected, mut others): (Vec<_>, Vec<_>) =
            near.into_iter().partition(|key| is_connected(*key));
        let draws = settings.connected_candidates + settings.other_candidates;
        let sole_chance = self.sole_sender_chance(request, total, draws);
        let worst_class = match is_retryable(request) {
            true => FailureClass::Unproven,
            false => FailureClass::Sound,
        };
        let mut best: Option<SpreadCandidate> = None;
        let mut consider = |keys: &[ServerKey], sole_chance: f64, random: &mut _| {
            for key in keys {
                let price = match is_connected(*key) {
                    true => Duration::ZERO,
                    false => settings.connect_cost,
                };
                let is_sole = random_bool(random, sole_chance);
                let candidate = self.spread_candidate(*key, request, price, is_sole, now);
                if best.is_none_or(|best| candidate.is_better_than(&best)) {
                    best = Some(candidate);
                }
            }
            best
        };
        let is_good = |best: Option<SpreadCandidate>, worst_class| {
            best.is_some_and(|best| best.is_good(worst_class))
        };
        consider(idle.as_slice(), 1.0, random);
        let drawn = draw_candidates(&mut connected, settings.connected_candidates, random);
        consider(drawn, sole_chance, random);
        let missing = draws - drawn.len();
        let drawn_others = others.len();
        let drawn = draw_candidates(&mut others, missing, random);
        let found = consider(drawn, sole_chance, random);
        if is_good(found, worst_class) {
            return found;
        }
        let rest = &mut others[missing.min(drawn_others)..];
        let drawn = draw_candidates(rest, draws * 2, random);
        let found = consider(drawn, sole_chance, random);
        if is_good(found, worst_class) {
            return found;
        }
        let drawn = draw_candidates(&mut far, draws, random);
        let found = consider(drawn, sole_chance, random);
        if is_good(found, FailureClass::Unproven) {
            return found;
        }
        consider(&connected, sole_chance, random);
        consider(&others, sole_chance, random);
        consider(&far, sole_chance, random)
    }

    pub(super) fn spread_candidate(
        &self,
        key: ServerKey,
        request: ChoiceRequest<'_>,
        price: Duration,
        is_sole: bool,
        now: MonotonicTime,
    ) -> SpreadCandidate {
        let settings = &self.settings;
        let record = &self.servers[key];
        let slots = self.ramped_slots(record, now);
        let speed = record.speed.factor(settings.balance.speed_decay, now);
        let duration = self.kind_duration(request).mul_f64(speed);
        let load = record.estimated_load(duration, now);
        let excess = (load + 1.0 - slots).max(0.0) / slots;
        let wait = duration.mul_f64(excess);
        let priority_share = 0.5_f64.powi(request.priority.min(8) as i32);
        let all_slots = f64::from(record.entry.slots.max(1));
        let queue = (all_slots * settings.queue_per_slot * priority_share).floor();
        let fits = load < all_slots + queue;
        let in_time = wait + duration < request.time_left || load + 1.0 <= all_slots;
        let mut cost =
            (wait + price).as_secs_f64() + settings.load_cost.as_secs_f64() * load * speed / slots;
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
        let class = self.failure_class(record, now);
        cost += self.class_cost(record, request, class, chance, is_sole, now);
        let step = settings.balance.cost_step.as_secs_f64();
        SpreadCandidate {
            key,
            cost: (cost / step).round() * step,
            wait,
            has_capacity: fits && in_time,
            class,
            last_start: record.last_start,
        }
    }

    /// Expected cost of a failure, less the gain of knowing more of the server.
    /// `is_sole` is random, such that about one of the hosts that could explore
    /// a server at the same time does.
    fn class_cost(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        class: FailureClass,
        chance: f64,
        is_sole: bool,
        now: MonotonicTime,
    ) -> f64 {
        let settings = &self.settings;
        let gain = settings.verify_gain.as_secs_f64();
        let lost =
            class.chance(chance, &settings.balance) * settings.lost_request_cost.as_secs_f64();
        if !is_retryable(request) {
            let explores = self.is_exploration_due(record, request, now)
                || self.is_idle_unproven(record, request.service, now)
                || self.is_first_request_due(record, request, now);
            return if explores && is_sole { -gain } else { lost };
        }
        let is_near = record.entry.zone == request.zone;
        let retry_cost = settings.retry_cost.as_secs_f64();
        match class {
            FailureClass::Sound => 0.0,
            FailureClass::Unproven if !is_near => settings.balance.unproven_chance * retry_cost,
            FailureClass::Unproven if record.in_flight(settings.peer_load_ttl, now) == 0 => -gain,
            FailureClass::Unproven => 0.0,
            FailureClass::Suspected => {
                let is_due = self.is_trial_due(record, request.service, now)
                    || self.is_idle_suspect(record, request.service, now);
                match is_near && is_sole && is_due {
                    true => -retry_cost,
                    false => lost,
                }
            }
        }
    }

    /// While many requests fail, draws one of the servers that have been idle
    /// for so long that they are looked at in any case, such that about one host sends to each before the
    /// others learn of it.
    fn draw_idle(
        &self,
        servers: &[ServerKey],
        request: ChoiceRequest<'_>,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> Option<ServerKey> {
        let settings = &self.settings;
        if !self.fails_often(request.service, now) {
            return None;
        }
        let is_idle = |key: &&ServerKey| {
            let record = &self.servers[**key];
            if now.since(record.last_start) < settings.balance.idle_interval
                || record.in_flight(settings.peer_load_ttl, now) > 0
            {
                return false;
            }
            is_retryable(request)
                || self.failure_class(record, now) == FailureClass::Sound
                || self.is_idle_unproven(record, request.service, now)
        };
        let mut idle: Vec<ServerKey> = servers.iter().filter(is_idle).copied().collect();
        let chance = self.sole_sender_chance(request, idle.len(), 1);
        if idle.is_empty() || !random_bool(random, chance) {
            return None;
        }
        draw_candidates(&mut idle, 1, random).first().copied()
    }

    /// Whether a suspected server is tried again because many requests fail and
    /// no host has sent it one for long.
    fn is_idle_suspect(&self, record: &ServerRecord, service: &str, now: MonotonicTime) -> bool {
        now.since(record.last_start) >= self.settings.balance.idle_interval
            && self.fails_often(service, now)
    }

    /// Whether a server that may be healthy gets a request that cannot be
    /// retried, because many requests fail and those that can be retried did
    /// not show whether it is.
    fn is_idle_unproven(&self, record: &ServerRecord, service: &str, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let shared = record.evidence.belief(&settings.evidence, now);
        let belief = shared.max(record.own_path.belief(&settings.own_path, now));
        now.since(record.last_start) >= settings.explore_interval
            && belief <= settings.likely_failing_belief
            && self.fails_often(service, now)
    }

    fn failure_class(&self, record: &ServerRecord, now: MonotonicTime) -> FailureClass {
        let chance = self.failure_chance_of(record, now);
        let streak = record.evidence.streak().max(record.own_path.streak());
        FailureClass::of(chance, streak, &self.settings.balance)
    }

    /// Mean duration of the service's requests of the request's kind.
    fn kind_duration(&self, request: ChoiceRequest<'_>) -> Duration {
        let durations = self.kind_durations.get(request.service);
        durations
            .and_then(|durations| durations.mean(request.kind))
            .unwrap_or_else(|| self.mean_duration(request.service))
    }

    /// Adds a sample to the mean durations of a service's requests.
    pub fn record_kind_duration(&mut self, service: &str, kind: RequestKind, duration: Duration) {
        self.record_duration(service, duration);
        if !self.kind_durations.contains_key(service) {
            self.kind_durations
                .insert(service.to_owned(), Default::default());
        }
        if let Some(durations) = self.kind_durations.get_mut(service) {
            durations.record(kind, duration);
        }
    }
}

impl ServerRecord {
    /// Requests in flight at the server: this host's own, and those that its
    /// peers reported and that have probably not ended since. A peer reports
    /// each change, so that its silence is no reason to expect more.
    fn estimated_load(&self, duration: Duration, now: MonotonicTime) -> f64 {
        let peers = self.peers_in_flight.iter();
        let left: f64 = peers.map(|figure| figure.decayed(0.0, duration, now)).sum();
        f64::from(self.own_in_flight) + left
    }
}

/// Whether a failure of the request can be made good by a retry.
fn is_retryable(request: ChoiceRequest<'_>) -> bool {
    request.kind == RequestKind::Idempotent && request.may_retry
}

fn random_bool(random: &mut impl Rng, chance: f64) -> bool {
    random.random_bool(chance)
}
