use std::borrow::Cow;

use {
    mangostep_policy::{HostTable, LoadReport, PeerReport, StatementReport, ZoneList, ZoneLoad},
    slog::{info, warn},
};

use crate::{
    admission::update_admission,
    clock,
    context::HostPhase,
    peers::messages::{HostReport, PeerMessage, PresenceReport, TableSummary, encode},
    platform::FleetTable,
    prelude::*,
    rollouts,
};

/// Interval between two reports of a host. A host counts as dead after three
/// missed reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Requests per second that one core can handle, together with reports and
/// look-ups.
const REQUESTS_PER_CORE: f64 = 300.0;

/// Window over which the request rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Minimum interval between two reports, so that many changes result in one
/// report.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Age from which on a copy is logged as outdated. While the store answers one
/// host of the fleet, all copies are confirmed every two to three seconds.
const OUTDATED_AGE: Duration = Duration::from_secs(5);

/// Maximum number of statements of backend servers in one report; the most
/// recent ones are sent.
const STATEMENTS_MAX: usize = 96;

/// Number of rounds after which unchanged zone lists are sent again, for hosts
/// that started in the meantime or lost a datagram.
const LIST_ROUNDS: usize = 4;

/// Number of rounds in which zone lists with other limit homes are sent, since
/// datagrams may be lost: hosts with different lists ask different homes.
const LIST_REPEATS: u32 = 3;

/// Sends reports to the peers until the host closes.
pub(crate) async fn report(context: Rc<HostContext>) {
    let mut round = usize::try_from(context.incarnation % 1_000).unwrap_or_default();
    while context.phase.get() < HostPhase::Closing {
        report_once(&context, round);
        round += 1;
        tokio::time::sleep(REPORT_INTERVAL_MIN).await;
        // Changes are reported at once, because peers learn of them from this
        // host.
        let wake = context.report_wake.notified();
        let _ = tokio::time::timeout(REPORT_INTERVAL, wake).await;
    }
}

/// Sends one report to all peers that receive reports from this host.
pub(crate) fn report_once(context: &HostContext, round: usize) {
    let now = clock::now();
    let report = PeerReport {
        incarnation: context.incarnation,
        is_ready: context.is_ready(),
        is_leaving: context.phase.get() > HostPhase::Serving,
        rate_per_s: context.request_counter.borrow_mut().rate(now, RATE_WINDOW),
        store_failed: context.store_failed.get(),
        capacity_per_s: context.settings.cpu_share * REQUESTS_PER_CORE,
        ..Default::default()
    };
    let loads = update_admission(context, now);
    let mut hosts = context.hosts.borrow_mut();
    let report = hosts.begin_round(report, now).clone();
    let lists = match report.is_watcher {
        true => lists_to_send(context, &hosts, round, now),
        false => Vec::new(),
    };
    let zone_loads = match hosts.computes_list(now) {
        true => sum_loads(context, &loads, now),
        false => Vec::new(),
    };
    let message = PeerMessage::Report(Box::new(HostReport {
        host: Cow::Borrowed(&hosts.own().name),
        report,
        row: Some(hosts.own().clone()),
        lists,
        presences: hosts.zone_presences(now),
        tables: table_summaries(context, now),
        statements: statements_to_send(context, round, hosts.own_report().is_watcher, now),
        rollouts: rollouts::own_reports(context, now),
        loads,
        zone_loads,
    }));
    let bytes = encode(&message);
    let mut targets = hosts.report_targets(now);
    targets.extend(hosts.cross_zone_targets(round, now));
    rollouts::add_report_targets(context, &hosts, &mut targets, now);
    for peer in targets {
        context.peers.send(&bytes, peer);
    }
    send_presences(context, &hosts, now);
    record_table_ages(context, now);
    record_stated_servers(context, now);
    let unsent = context.peers.unsent.take();
    if unsent > 0 {
        info!(context.log, "datagrams not sent"; "count" => unsent);
    }
}

/// Sends the counts of hosts to the limit homes in other zones, which must learn
/// of a network partition soon.
fn send_presences(context: &HostContext, hosts: &HostTable, now: MonotonicTime) {
    let targets = hosts.home_targets(now);
    if targets.is_empty() {
        return;
    }
    let message = PeerMessage::Presence(PresenceReport {
        zone: Cow::Borrowed(&hosts.own().zone),
        presences: hosts.zone_presences(now),
    });
    let bytes = encode(&message);
    for peer in targets {
        context.peers.send(&bytes, peer);
    }
}

/// Sums the demand on the hosts of this host's zone. Returns the sums of all
/// zones that are known.
fn sum_loads(context: &HostContext, own: &[LoadReport], now: MonotonicTime) -> Vec<ZoneLoad> {
    if own.is_empty() {
        return Vec::new();
    }
    let mut fleet = context.fleet_load.borrow_mut();
    fleet.sum_own_zone(own, now);
    fleet.zone_loads(now)
}

/// Returns the statements of backend servers that changed recently; every few
/// rounds all of them, for hosts that started in the meantime.
fn statements_to_send(
    context: &HostContext,
    round: usize,
    is_watcher: bool,
    now: MonotonicTime,
) -> Vec<StatementReport> {
    let recent = (!round.is_multiple_of(LIST_ROUNDS)).then_some(REPORT_INTERVAL * 2);
    let pool = context.pool.borrow();
    let mut reports: Vec<StatementReport> =
        pool.statement_reports(is_watcher, recent, now).collect();
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(STATEMENTS_MAX);
    reports
}

/// Returns the zone lists if one of them changed recently or if this round sends
/// them in any case, otherwise nothing.
fn lists_to_send(
    context: &HostContext,
    hosts: &HostTable,
    round: usize,
    now: MonotonicTime,
) -> Vec<ZoneList> {
    let lists: Vec<ZoneList> = hosts.lists(now).cloned().collect();
    let mut sent = context.peers.sent_lists.borrow_mut();
    let is_sent = |list: &ZoneList| sent.iter().any(|known| known.has_same_hosts(list));
    let has_sent_homes = |list: &ZoneList| {
        let mut known = sent.iter();
        known.any(|known| (&known.zone, &known.homes) == (&list.zone, &list.homes))
    };
    let repeats = &context.peers.list_repeats;
    repeats.set(match lists.iter().all(has_sent_homes) {
        true => repeats.get().saturating_sub(1),
        false => LIST_REPEATS,
    });
    let is_changed = sent.len() != lists.len() || !lists.iter().all(is_sent);
    if !is_changed && repeats.get() == 0 && !round.is_multiple_of(LIST_ROUNDS) {
        return Vec::new();
    }
    let own = lists.iter().find(|list| list.zone == hosts.own().zone);
    if let Some(own) = own.filter(|own| hosts.computes_list(now) && !is_sent(own)) {
        info!(context.log, "zone list"; "named" => own.named.join(" "),
            "serving" => own.serving.len());
    }
    sent.clone_from(&lists);
    lists
}

fn record_stated_servers(context: &HostContext, now: MonotonicTime) {
    let counts = context.pool.borrow().statement_counts(now);
    let counters = &context.counters;
    counters.record_stated_servers("limited", counts.limited);
    counters.record_stated_servers("leaving", counts.leaving);
    counters.record_stated_servers("waiting", counts.waiting);
}

/// Records the age of each copy, and logs when one becomes outdated and when it
/// is current again.
fn record_table_ages(context: &HostContext, now: MonotonicTime) {
    let mut tables = context.tables.borrow_mut();
    for table in FleetTable::ALL {
        let state = tables.of_mut(table);
        if !state.is_known {
            continue;
        }
        let Some(confirmed) = state.confirmed else {
            continue;
        };
        let age = now.since(confirmed);
        context.counters.record_table_age(table.as_str(), age);
        let is_outdated = table.is_verified_often() && age > OUTDATED_AGE;
        if is_outdated == std::mem::replace(&mut state.is_outdated, is_outdated) {
            continue;
        }
        match is_outdated {
            true => warn!(context.log, "copy outdated"; "table" => table.as_str(),
                "age_ms" => age.as_millis() as u64, "version" => state.copy.version().number),
            false => info!(context.log, "copy current"; "table" => table.as_str(),
                "version" => state.copy.version().number),
        }
    }
}

fn table_summaries(context: &HostContext, now: MonotonicTime) -> Vec<TableSummary> {
    let tables = context.tables.borrow();
    let known = FleetTable::ALL
        .into_iter()
        .filter(|table| tables.of(*table).is_known);
    known
        .map(|table| TableSummary {
            table,
            version: tables.of(table).copy.version(),
            digest: tables.of(table).digest,
            changed_bytes: tables.of(table).changed_bytes,
            age_ms: tables.of(table).confirmed.map(|confirmed| {
                u32::try_from(now.since(confirmed).as_millis()).unwrap_or(u32::MAX)
            }),
            era_start: tables.of(table).copy.era_start(),
        })
        .collect()
}
