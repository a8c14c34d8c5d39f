use std::net::SocketAddr;

use mangostep_policy::{FigureSource, HostTable, RolloutReport};

use crate::{clock, prelude::*, rollouts::running::decider_names};

/// Reports of this host about its roll-outs, which it also uses itself.
pub(crate) fn own_reports(context: &HostContext, now: MonotonicTime) -> Vec<RolloutReport> {
    let mut active = context.rollouts.active.borrow_mut();
    let pool = context.pool.borrow();
    let mut reports = Vec::with_capacity(active.len());
    for rollout in active.values_mut() {
        let report = rollout.report(&pool, now);
        let host = &context.settings.host;
        let source = FigureSource::Own;
        rollout
            .role
            .record_report(host, context.incarnation, report.clone(), source, now);
        reports.push(report);
    }
    reports
}

/// Adds the peers that hear of a roll-out directly: all hosts from its decider,
/// and the decider and the host that would succeed it from all others.
pub(crate) fn add_report_targets(
    context: &HostContext,
    hosts: &HostTable,
    targets: &mut Vec<SocketAddr>,
    now: MonotonicTime,
) {
    let active = context.rollouts.active.borrow();
    let mut added = Vec::new();
    for (service, rollout) in active.iter() {
        if !rollout.is_reporting(now) {
            continue;
        }
        if rollout.role.is_decider() {
            added.extend(hosts.rows().map(|row| row.peer));
            continue;
        }
        let names = decider_names(hosts, service, now);
        let known = hosts.row(rollout.role.decider());
        let first = names.first().and_then(|name| hosts.row(name));
        added.extend(known.into_iter().chain(first).map(|row| row.peer));
    }
    for peer in added {
        if peer != hosts.own().peer && !targets.contains(&peer) {
            targets.push(peer);
        }
    }
}

/// Records what a peer reports about roll-outs.
pub(crate) fn record_reports(
    context: &HostContext,
    host: &str,
    incarnation: u64,
    reports: Vec<RolloutReport>,
    source: FigureSource,
) {
    let now = clock::now();
    if context.pauses.borrow().may_be_delayed(now) {
        // The age that the sender states leaves out the time that the report
        // waited here.
        return;
    }
    let mut active = context.rollouts.active.borrow_mut();
    for report in reports {
        if let Some(rollout) = active.get_mut(&report.service) {
            rollout
                .role
                .record_report(host, incarnation, report, source, now);
        }
    }
    context.rollouts.wake.notify_one();
}
