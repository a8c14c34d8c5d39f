use std::borrow::Cow;

use {
    mangostep_policy::{HostTable, PeerReport, ZoneList},
    slog::info,
};

use crate::{
    clock,
    context::HostPhase,
    peers::messages::{HostReport, PeerMessage, TableMark, encode},
    platform::FleetTable,
    prelude::*,
};

/// Time between two reports of a host; three missed ones are silence.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Requests a second that one core carries, with its reports and look-ups.
const REQUESTS_PER_CORE: f64 = 300.0;

/// Time over which the rate of requests is measured.
const RATE_SPAN: Duration = Duration::from_secs(4);

/// Shortest time between two reports, so that many changes are one report.
const REPORT_GAP: Duration = Duration::from_millis(50);

/// Turns after which unchanged lists of zones are sent again, for hosts that
/// started since or lost a datagram.
const LIST_TURNS: usize = 4;

/// Reports to other hosts until the host closes.
pub(crate) async fn report(context: Rc<HostContext>) {
    let mut turn = usize::try_from(context.incarnation % 1_000).unwrap_or_default();
    while context.phase.get() < HostPhase::Closing {
        report_once(&context, turn);
        turn += 1;
        tokio::time::sleep(REPORT_GAP).await;
        // A change is told at once, for other hosts learn of it from here.
        let wake = context.report_wake.notified();
        let _ = tokio::time::timeout(REPORT_PAUSE, wake).await;
    }
}

/// Sends one report to the hosts that should hear of this one.
pub(crate) fn report_once(context: &HostContext, turn: usize) {
    let now = clock::now();
    let report = PeerReport {
        incarnation: context.incarnation,
        is_ready: context.is_ready(),
        is_leaving: context.phase.get() > HostPhase::Serving,
        rate_per_s: context.requests.borrow_mut().rate(now, RATE_SPAN),
        store_failed: context.store_failed.get(),
        capacity_per_s: context.settings.cpu_share * REQUESTS_PER_CORE,
        ..Default::default()
    };
    let mut hosts = context.hosts.borrow_mut();
    let report = hosts.begin_round(report, now).clone();
    let lists = match report.is_watcher {
        true => lists_to_send(context, &hosts, turn, now),
        false => Vec::new(),
    };
    let message = PeerMessage::Report(Box::new(HostReport {
        host: Cow::Borrowed(&hosts.own().name),
        report,
        row: Some(hosts.own().clone()),
        lists,
        tables: table_marks(context),
    }));
    let bytes = encode(&message);
    let near = hosts.report_targets(now).into_iter();
    for peer in near.chain(hosts.cross_zone_targets(turn, now)) {
        context.peers.send(&bytes, peer);
    }
    for table in FleetTable::ALL {
        let tables = context.tables.borrow();
        let state = tables.of(table);
        if state.is_known {
            let age = now.since(state.confirmed);
            context.counters.record_table_age(table.as_str(), age);
        }
    }
    let unsent = context.peers.unsent.take();
    if unsent > 0 {
        info!(context.log, "datagrams not sent"; "count" => unsent);
    }
}

/// The lists of zones, when one changed or the turn has come; else none.
fn lists_to_send(
    context: &HostContext,
    hosts: &HostTable,
    turn: usize,
    now: MonotonicTime,
) -> Vec<ZoneList> {
    let lists: Vec<ZoneList> = hosts.lists(now).cloned().collect();
    let mut sent = context.peers.sent_lists.borrow_mut();
    if *sent == lists && !turn.is_multiple_of(LIST_TURNS) {
        return Vec::new();
    }
    let own = lists.iter().find(|list| list.zone == hosts.own().zone);
    if let Some(own) = own.filter(|own| hosts.computes_list(now) && !sent.contains(*own)) {
        info!(context.log, "zone list"; "named" => own.named.join(" "),
            "serving" => own.serving.len());
    }
    sent.clone_from(&lists);
    lists
}

fn table_marks(context: &HostContext) -> Vec<TableMark> {
    let tables = context.tables.borrow();
    let known = FleetTable::ALL
        .into_iter()
        .filter(|table| tables.of(*table).is_known);
    known
        .map(|table| TableMark {
            table,
            version: tables.of(table).copy.version(),
            digest: tables.of(table).digest,
            changed_bytes: tables.of(table).changed_bytes,
        })
        .collect()
}
