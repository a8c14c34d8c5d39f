use std::borrow::Cow;

use mangostep_policy::PeerReport;

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

/// Reports to other hosts until the host closes.
pub(crate) async fn report(context: Rc<HostContext>) {
    let mut turn = usize::try_from(context.incarnation % 1_000).unwrap_or_default();
    while context.phase.get() < HostPhase::Closing {
        report_once(&context, turn);
        turn += 1;
        // A change is told at once, for other hosts learn of it from here.
        let wake = context.report_wake.notified();
        let _ = tokio::time::timeout(REPORT_PAUSE, wake).await;
    }
}

/// Sends one report to the hosts of the own zone and one of each other zone.
pub(crate) fn report_once(context: &HostContext, turn: usize) {
    let now = clock::now();
    let report = PeerReport {
        incarnation: context.incarnation,
        is_ready: context.is_ready(),
        rate_per_s: context.requests.borrow_mut().rate(now, RATE_SPAN),
        store_failed: context.store_failed.get(),
        capacity_per_s: context.settings.cpu_share * REQUESTS_PER_CORE,
    };
    let mut hosts = context.hosts.borrow_mut();
    hosts.set_own_report(report.clone());
    let named = hosts.named_here(now);
    let named = named.iter().map(|row| row.name.clone()).collect();
    let message = PeerMessage::Report(Box::new(HostReport {
        host: Cow::Borrowed(&hosts.own().name),
        report,
        row: Some(hosts.own().clone()),
        zone: hosts.own().zone.clone(),
        named,
        tables: table_marks(context),
    }));
    let bytes = encode(&message);
    let near = hosts.zone_peers().into_iter();
    for row in near.chain(hosts.far_peers(turn)) {
        context.peers.send(&bytes, row.peer);
    }
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
