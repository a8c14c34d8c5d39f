use std::borrow::Cow;

use mangostep_policy::{
    CheckReport, ServerEntry, ServerKey, ServerSignal, ServerStatement, SignalScope,
    StatementReport,
};

use crate::{
    clock,
    peers::messages::{PeerMessage, SignalReport, encode},
    prelude::*,
};

/// Notifies the hosts that serve requests of what a server stated to this host.
pub(crate) fn send_statement(
    context: &HostContext,
    server: &ServerEntry,
    statement: ServerStatement,
) {
    let report = StatementReport {
        server: server.id.clone(),
        started_ms: server.started_ms,
        statement,
        age_ms: 0,
    };
    let bytes = encode(&PeerMessage::Statement(report));
    for to in context.hosts.borrow().observers(clock::now()) {
        context.peers.send(&bytes, to);
    }
}

/// Notifies the hosts that serve requests of a server's answer to a check of
/// this host.
pub(crate) fn send_check(context: &HostContext, report: &CheckReport) {
    let bytes = encode(&PeerMessage::Check(report.clone()));
    for to in context.hosts.borrow().observers(clock::now()) {
        context.peers.send(&bytes, to);
    }
}

/// Notifies peers of this host's in-flight requests at a server, and of the
/// outcome `signal` of the request sent at `sent`.
///
/// Starts and successes are sent to the peers in `scope`, failures to all
/// hosts that serve requests.
pub(crate) fn send_signal(
    context: &HostContext,
    key: ServerKey,
    signal: Option<ServerSignal>,
    sent: MonotonicTime,
    scope: SignalScope,
) {
    let now = clock::now();
    let pool = context.pool.borrow();
    let Some(entry) = pool.entry(key) else {
        return;
    };
    let report = SignalReport {
        server: Cow::Borrowed(&entry.id),
        started_ms: entry.started_ms,
        in_flight: pool.own_in_flight(key),
        signal,
        age_ms: u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX),
    };
    let bytes = encode(&PeerMessage::Signal(report));
    let is_failure = signal.is_some_and(ServerSignal::is_failure);
    let hosts = context.hosts.borrow();
    let observers = match scope {
        _ if is_failure => hosts.observers(now),
        SignalScope::AllZones => hosts.observers(now),
        SignalScope::BothZones => hosts.zone_pair_observers(&entry.zone, now),
        SignalScope::OwnZone => hosts.zone_observers(now),
    };
    for to in observers {
        context.peers.send(&bytes, to);
    }
}
