use std::{collections::HashMap, time::Duration};

use crate::{
    AgedFigure, MonotonicTime,
    admission::{
        AdmissionSettings, FleetDemand, RANK_COUNT, RankRates, RankShares, RateMeter,
        ReturnSchedule, ServiceDemand, ServiceRoom, WaitClaim, WaitQueue,
    },
};

/// Offered rate below which a workspace is forgotten, in requests per second.
const IDLE_RATE_PER_S: f64 = 1e-3;

/// Admission to one service on one host.
#[derive(Clone, Debug)]
pub(super) struct ServiceAdmission<T> {
    settings: AdmissionSettings,
    offered: [RateMeter; RANK_COUNT],
    admitted: [RateMeter; RANK_COUNT],
    /// Like `offered` and `admitted`, averaged over a longer time.
    long_offered: [RateMeter; RANK_COUNT],
    long_admitted: [RateMeter; RANK_COUNT],
    workspaces: HashMap<(usize, String), RateMeter>,
    pub(super) queue: WaitQueue<T>,
    pub(super) returns: ReturnSchedule,
    pub(super) room: Option<AgedFigure<ServiceRoom>>,
    pub(super) fleet: Option<FleetDemand>,
    pub(super) in_flight: u32,
    last_shortage: Option<MonotonicTime>,
    pub(super) is_short: bool,
}

impl<T> ServiceAdmission<T> {
    pub(super) fn open(settings: AdmissionSettings) -> Self {
        let meter = RateMeter::open(settings.rank_time);
        let long_meter = RateMeter::open(settings.workspace_time);
        ServiceAdmission {
            offered: [meter; RANK_COUNT],
            admitted: [meter; RANK_COUNT],
            long_offered: [long_meter; RANK_COUNT],
            long_admitted: [long_meter; RANK_COUNT],
            workspaces: HashMap::new(),
            queue: WaitQueue::open(settings.queue.clone()),
            returns: ReturnSchedule::open(settings.schedule.clone()),
            room: None,
            fleet: None,
            in_flight: 0,
            last_shortage: None,
            is_short: false,
            settings,
        }
    }

    pub(super) fn record_offered(&mut self, claim: &WaitClaim, now: MonotonicTime) {
        let rank = claim.rank();
        self.offered[rank].add(now);
        self.long_offered[rank].add(now);
        let key = (rank, claim.workspace.clone());
        if !self.workspaces.contains_key(&key) {
            self.workspaces
                .retain(|_, meter| meter.rate(now) > IDLE_RATE_PER_S);
        }
        let time = self.settings.workspace_time;
        let meter = self.workspaces.entry(key);
        meter.or_insert_with(|| RateMeter::open(time)).add(now);
    }

    pub(super) fn record_admitted(&mut self, claim: &WaitClaim, now: MonotonicTime) {
        self.admitted[claim.rank()].add(now);
        self.long_admitted[claim.rank()].add(now);
        self.queue.record_use(&claim.workspace, now);
        self.queue.set_starved(self.starved_ranks(now));
    }

    /// Ranks that got less than their proportional part of the room.
    fn starved_ranks(&self, now: MonotonicTime) -> [bool; RANK_COUNT] {
        let total = |meters: &[RateMeter; RANK_COUNT]| -> f64 {
            meters.iter().map(|meter| meter.rate(now)).sum()
        };
        let offered = total(&self.long_offered).max(f64::EPSILON);
        let least = self.settings.rule.shared_part * total(&self.long_admitted) / offered;
        std::array::from_fn(|rank| {
            let wanted = self.long_offered[rank].rate(now) * least;
            self.long_admitted[rank].rate(now) < wanted
        })
    }

    pub(super) fn record_shortage(&mut self, now: MonotonicTime) {
        self.last_shortage = Some(now);
    }

    /// Whether a request found no room recently.
    pub(super) fn was_short_recently(&self, now: MonotonicTime) -> bool {
        let span = self.settings.shortage_time;
        self.last_shortage.is_some_and(|at| now.since(at) < span)
    }

    /// Demand on this host.
    pub(super) fn own_demand(&self, now: MonotonicTime) -> ServiceDemand {
        let rates = |meters: &[RateMeter; RANK_COUNT]| RankRates(meters.map(|m| m.rate(now)));
        ServiceDemand {
            offered: rates(&self.offered),
            admitted: rates(&self.admitted),
            in_flight: self.in_flight.into(),
            waiting: self.queue.len() as f64,
        }
    }

    /// Requests per second that all hosts together can have served; zero if
    /// unknown.
    pub(super) fn room_rate(&self) -> f64 {
        let Some(room) = self.room else {
            return 0.0;
        };
        let admitted = self
            .fleet
            .map_or(0.0, |fleet| fleet.demand.admitted.total());
        self.settings.rule.room_rate(room.value(), admitted)
    }

    /// Share of each rank that is admitted. As the demand of the fleet becomes
    /// uncertain, less is refused because of it.
    pub(super) fn shares(&self) -> RankShares {
        let Some(fleet) = self.fleet else {
            return [1.0; RANK_COUNT];
        };
        let rule = &self.settings.rule;
        let shares = rule.shares(self.room_rate(), &fleet.demand.offered);
        shares.map(|share| 1.0 - fleet.confidence * (1.0 - share))
    }

    /// Probability with which a request is admitted, by the share of its rank
    /// and the rate of its workspace among those of the rank.
    pub(super) fn admit_chance(&self, claim: &WaitClaim, now: MonotonicTime) -> f64 {
        let rank = claim.rank();
        let share = self.shares()[rank];
        if share >= 1.0 {
            return 1.0;
        }
        let of_rank = self
            .workspaces
            .iter()
            .filter(|((other, _), _)| *other == rank);
        let mut rates: Vec<f64> = of_rank.map(|(_, meter)| meter.rate(now)).collect();
        let admitted = rates.iter().sum::<f64>() * share;
        let level = self.settings.rule.fair_level(&mut rates, admitted);
        let own = self.workspaces.get(&(rank, claim.workspace.clone()));
        let own = own.map_or(0.0, |meter| meter.rate(now));
        (level / own.max(f64::EPSILON)).min(1.0)
    }

    /// Rate at which this host admits requests: at least its part of the
    /// room, by its part of the demand.
    pub(super) fn admission_rate(&self, now: MonotonicTime) -> f64 {
        let own = self.own_demand(now);
        let part = match self.fleet {
            Some(fleet) if fleet.confidence > 0.0 => {
                let total = fleet.demand.offered.total().max(own.offered.total());
                own.offered.total() / total.max(f64::EPSILON)
            }
            // A host that hears no peer knows only what it gets served.
            _ => 0.0,
        };
        own.admitted.total().max(self.room_rate() * part)
    }

    /// Rate at which this host admits requests of a rank that wait: what the
    /// more urgent ranks leave, which may arrive later and go first.
    pub(super) fn waiting_rate(&self, claim: &WaitClaim, now: MonotonicTime) -> f64 {
        let rate = self.admission_rate(now);
        let urgent = &self.admitted[..claim.rank()];
        let urgent: f64 = urgent.iter().map(|meter| meter.rate(now)).sum();
        let own = self.own_demand(now).offered;
        let part = own[claim.rank()] / own.total().max(f64::EPSILON);
        (rate - urgent).max(rate * part * self.settings.rule.shared_part)
    }

    /// Plans the return of a refused caller.
    pub(super) fn plan_return(&mut self, claim: &WaitClaim, now: MonotonicTime) -> Duration {
        let rate = self.waiting_rate(claim, now);
        let wait = self.queue.expected_wait(claim, rate, now);
        self.returns.plan(claim, rate, wait, now)
    }
}
