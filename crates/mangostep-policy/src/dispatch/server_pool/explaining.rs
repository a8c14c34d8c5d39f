//! What the pool knows of the candidates for a request, without a choice.

use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{CandidateReport, CandidateState, ChoiceRequest, ServerKey, ServerPool},
};

impl ServerPool {
    /// Reports on all servers of a request's service, the best candidates
    /// first. Costs are without their random part. The parameters are those of
    /// [`ServerPool::choose`].
    pub fn explain_candidates(
        &self,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: impl Fn(ServerKey) -> bool,
        now: MonotonicTime,
    ) -> Vec<CandidateReport> {
        let keys = self.by_service.get(request.service).into_iter().flatten();
        let mut reports: Vec<CandidateReport> = keys
            .map(|key| {
                self.explain_candidate(*key, request, cold_rate_per_s, is_connected(*key), now)
            })
            .collect();
        reports.sort_by(|first, second| {
            let by_state = first.state.cmp(&second.state);
            by_state.then(first.cost_s.total_cmp(&second.cost_s))
        });
        reports
    }

    fn explain_candidate(
        &self,
        key: ServerKey,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: bool,
        now: MonotonicTime,
    ) -> CandidateReport {
        let record = &self.servers[key];
        let (cost_s, wait, has_capacity) =
            self.candidate_cost(key, request, cold_rate_per_s, is_connected, now);
        let state = if !self.accepts_work(key, now) {
            CandidateState::OutOfService
        } else if record.misdirected_until > now {
            CandidateState::Misdirected
        } else if self.held_back(record, request, now).is_some() {
            CandidateState::HeldBack
        } else if cold_rate_per_s.is_some() && record.cold_until > now {
            CandidateState::Cold
        } else if has_capacity {
            CandidateState::Usable
        } else {
            CandidateState::Full
        };
        let outcomes = [&record.evidence, &record.own_path];
        let last_outcome = outcomes.iter().filter_map(|e| e.last_outcome()).max();
        CandidateReport {
            server: record.entry.id.clone(),
            zone: record.entry.zone.clone(),
            state,
            cost_s,
            wait,
            failure_chance: self.failure_chance_of(record, now),
            own_in_flight: record.own_in_flight,
            in_flight: record.in_flight(self.settings.peer_load_ttl, now),
            slots: record.entry.slots,
            is_connected,
            outcome_age: last_outcome.map(|at| now.since(at)),
        }
    }

    /// Cost in seconds, wait, and whether the server has capacity, by the
    /// method with which the service's load is distributed.
    fn candidate_cost(
        &self,
        key: ServerKey,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: bool,
        now: MonotonicTime,
    ) -> (f64, Duration, bool) {
        if self.is_spread(request.service) {
            let price = match is_connected {
                true => Duration::ZERO,
                false => self.settings.balance.connect_cost,
            };
            let candidate = self.spread_candidate(key, request, price, false, now);
            return (candidate.cost, candidate.wait, candidate.has_capacity);
        }
        let record = &self.servers[key];
        let (wait, has_capacity) = self.expected_wait(record, request, now);
        let mut cost = self.cost(record, request, wait, now);
        if cold_rate_per_s.is_some() && self.check_reason_of(record, now).is_some() {
            cost += self.settings.check_cost.as_secs_f64();
        }
        if !is_connected {
            cost += self.settings.connect_cost.as_secs_f64();
        }
        (cost, wait, has_capacity)
    }
}
