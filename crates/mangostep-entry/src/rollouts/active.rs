use std::collections::BTreeMap;

use mangostep_policy::{
    DeciderRole, OutcomeTally, RolloutReport, RolloutStep, RouteTally, ServerPool, VersionGate,
};

use crate::prelude::*;

/// Time after its end for which the hosts that reported to the decider still
/// hear of it directly.
pub(super) const FINAL_REPORT_TIME: Duration = Duration::from_secs(5);

/// A roll-out for which an order stands, on one host.
pub(super) struct ActiveRollout {
    /// Key of the order's row.
    pub(super) key: String,
    pub(super) role: DeciderRole,
    /// Outcomes since the order, by route.
    pub(super) tallies: BTreeMap<String, RouteTally>,
    /// The step that the server pool applies.
    pub(super) applied: RolloutStep,
    /// When the end of the roll-out was first applied.
    pub(super) ended: Option<MonotonicTime>,
}

impl ActiveRollout {
    pub(super) fn open(key: &str, role: DeciderRole) -> Self {
        ActiveRollout {
            key: key.to_owned(),
            role,
            tallies: BTreeMap::new(),
            applied: RolloutStep::Held,
            ended: None,
        }
    }

    /// Whether hosts report outcomes: the roll-out has not ended, or so
    /// recently that not all hosts may know.
    pub(super) fn is_reporting(&self, now: MonotonicTime) -> bool {
        self.ended
            .is_none_or(|ended| now.since(ended) < FINAL_REPORT_TIME)
    }

    /// The tally of the outcomes of a route at one version.
    pub(super) fn tally(&mut self, route: &str, is_new: bool) -> &mut OutcomeTally {
        let tally = self.tallies.entry(route.to_owned()).or_insert_with(|| {
            let route = route.to_owned();
            RouteTally {
                route,
                ..Default::default()
            }
        });
        match is_new {
            true => &mut tally.new,
            false => &mut tally.old,
        }
    }

    pub(super) fn report(&self, pool: &ServerPool, now: MonotonicTime) -> RolloutReport {
        let service = &self.role.order().service;
        let step = self.role.step();
        let (old_sent, new_sent) = pool.gate(service).map_or((0, 0), VersionGate::sent);
        let routes = match self.is_reporting(now) {
            true => self.tallies.values().cloned().collect(),
            false => Vec::new(),
        };
        RolloutReport {
            service: service.clone(),
            order: self.role.order_version(),
            step: step.map(|step| *step.value()),
            decider: self.role.decider().to_owned(),
            step_age_ms: step.map_or(0, |step| {
                u32::try_from(step.age(now).as_millis()).unwrap_or(u32::MAX)
            }),
            is_applied: step.is_some_and(|step| step.value().step == self.applied),
            old_in_flight: pool.old_in_flight(service),
            old_sent,
            new_sent,
            routes,
        }
    }

    /// Label of the age of the latest step in logs.
    pub(super) fn age_label(&self) -> &'static str {
        match self.role.step().map(|step| step.value().step) {
            None => "unheard",
            Some(step) if step == self.applied => "fresh",
            Some(_) => "expired",
        }
    }
}
