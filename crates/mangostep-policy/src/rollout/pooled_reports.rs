use std::collections::HashMap;

use crate::{
    MonotonicTime,
    rollout::{RolloutReport, RolloutSettings, RolloutStep, RouteTally, StepRecord, VersionJudge},
};

/// The hosts' reports about one roll-out, as its decider hears them.
#[derive(Clone, Debug, Default)]
pub struct PooledReports {
    hosts: HashMap<String, HostRecord>,
    judge: VersionJudge,
}

#[derive(Clone, Debug)]
struct HostRecord {
    incarnation: u64,
    report: RolloutReport,
    received: MonotonicTime,
}

impl PooledReports {
    /// Adds a host's report. Counts are cumulative, so that lost reports do not
    /// matter; those of another process start anew.
    pub fn record(
        &mut self,
        settings: &RolloutSettings,
        host: &str,
        incarnation: u64,
        report: RolloutReport,
        now: MonotonicTime,
    ) {
        let known = self.hosts.get(host);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        for tally in &report.routes {
            let earlier = known.and_then(|known| {
                let mut routes = known.report.routes.iter();
                routes.find(|earlier| earlier.route == tally.route)
            });
            let added = match earlier {
                Some(earlier) => RouteTally {
                    route: tally.route.clone(),
                    old: tally.old.since(&earlier.old),
                    new: tally.new.since(&earlier.new),
                },
                None => tally.clone(),
            };
            self.judge.record(settings, &added);
        }
        let record = HostRecord {
            incarnation,
            report,
            received: now,
        };
        self.hosts.insert(host.to_owned(), record);
    }

    /// The comparison of the versions.
    pub fn judge(&self) -> &VersionJudge {
        &self.judge
    }

    /// Number of hosts whose reports are current.
    pub fn heard(&self, settings: &RolloutSettings, now: MonotonicTime) -> usize {
        let current = |record: &&HostRecord| now.since(record.received) < settings.report_ttl;
        self.hosts.values().filter(current).count()
    }

    /// Requests sent to the old and to the new version since the order.
    pub fn sent(&self) -> (u64, u64) {
        let reports = || self.hosts.values().map(|record| &record.report);
        (
            reports().map(|report| report.old_sent).sum(),
            reports().map(|report| report.new_sent).sum(),
        )
    }

    /// Number of hosts that may still use the old version: they have not
    /// confirmed the step, have requests in flight there, or were silent for
    /// less than [`RolloutSettings::host_ttl`].
    pub fn unconfirmed(
        &self,
        settings: &RolloutSettings,
        step: &StepRecord,
        now: MonotonicTime,
    ) -> usize {
        let is_confirmed = |record: &HostRecord| {
            let report = &record.report;
            let known = report.step.filter(|known| known.order == step.order);
            report.old_in_flight == 0
                && report.is_applied
                && known.is_some_and(|known| known.step == RolloutStep::Draining)
                && now.since(record.received) < settings.report_ttl
        };
        let is_alive = |record: &HostRecord| now.since(record.received) < settings.host_ttl;
        let records = self.hosts.values();
        records
            .filter(|record| is_alive(record) && !is_confirmed(record))
            .count()
    }
}
