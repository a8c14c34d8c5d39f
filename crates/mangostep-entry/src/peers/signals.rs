use std::borrow::Cow;

use mangostep_policy::{ServerKey, ServerSignal, SignalScope};

use crate::{
    clock,
    peers::messages::{PeerMessage, SignalReport, encode},
    prelude::*,
};

/// Tells other hosts what this one has running at a server, and what a request
/// that was sent there at `sent` showed.
///
/// Starts and successes go as far as `reach`, failures to all hosts that send
/// requests.
pub(crate) fn tell_signal(
    context: &HostContext,
    key: ServerKey,
    signal: Option<ServerSignal>,
    sent: MonotonicTime,
    reach: SignalScope,
) {
    let now = clock::now();
    let pool = context.pool.borrow();
    let Some(entry) = pool.entry(key) else {
        return;
    };
    let report = SignalReport {
        server: Cow::Borrowed(&entry.id),
        started_ms: entry.started_ms,
        running: pool.own_in_flight(key),
        signal,
        age_ms: u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX),
    };
    let bytes = encode(&PeerMessage::Signal(report));
    let is_failure = signal.is_some_and(ServerSignal::is_failure);
    let hosts = context.hosts.borrow();
    let observers = match reach {
        _ if is_failure => hosts.observers(now),
        SignalScope::AllZones => hosts.observers(now),
        SignalScope::BothZones => hosts.zone_pair_observers(&entry.zone, now),
        SignalScope::OwnZone => hosts.zone_observers(now),
    };
    for to in observers {
        context.peers.send(&bytes, to);
    }
}
