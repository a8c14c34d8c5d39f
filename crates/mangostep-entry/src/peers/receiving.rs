use std::net::SocketAddr;

use {
    mangostep_policy::{LedgerRequest, PeerKey, TokenVerdict},
    slog::{info, warn},
};

use crate::{
    belief::{ShiftCause, log_shift},
    clock,
    peers::BehindTable,
    peers::messages::{HostReport, PeerMessage, SignalReport, TokenQuestion, decode, encode},
    prelude::*,
};

/// Largest datagram, in bytes.
const DATAGRAM_MAX: usize = 16 << 10;

/// Pause after the socket failed.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Handles the datagrams of other hosts.
pub(crate) async fn receive(context: Rc<HostContext>) {
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        match context.peers.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle(&context, &buffer[..length], from),
            Err(err) => {
                warn!(context.log, "datagram not received"; "error" => err.to_string());
                tokio::time::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn handle(context: &HostContext, bytes: &[u8], from: SocketAddr) {
    match decode(bytes) {
        Some(PeerMessage::Report(report)) => handle_report(context, *report),
        Some(PeerMessage::Signal(signal)) => handle_signal(context, &signal, from),
        Some(PeerMessage::Ask(question)) => handle_ask(context, &question, from),
        Some(PeerMessage::Answer { ask, denied_us }) => {
            let waiting = context.peers.asks.borrow_mut().remove(&ask);
            let verdict = match denied_us {
                Some(micros) => TokenVerdict::Denied(Duration::from_micros(micros)),
                None => TokenVerdict::Granted,
            };
            if let Some(waiting) = waiting {
                // The request may have been refused meanwhile.
                let _ = waiting.send(verdict);
            }
        }
        None => context.counters.count("datagram-dropped", &[]),
    }
}

fn handle_report(context: &HostContext, report: HostReport<'_>) {
    let now = clock::now();
    let mut hosts = context.hosts.borrow_mut();
    let row = report.row.as_ref();
    let source = row.map(|row| (row.copies, row.link_mbps));
    if let Some(row) = report.row.filter(|row| hosts.row(&row.name) != Some(row)) {
        hosts.put(row);
    }
    if let Some(gap) = hosts.report_gap(&report.host, now) {
        context.counters.record_report_gap(gap);
    }
    let is_ready = report.report.is_ready;
    let is_near = hosts
        .row(&report.host)
        .is_some_and(|row| row.zone == hosts.own().zone);
    if hosts.record_report(&report.host, report.report, now) && is_near {
        info!(context.log, "host readiness"; "peer" => &*report.host, "ready" => is_ready);
        if hosts.computes_list(now) {
            context.report_wake.notify_one();
        }
    }
    for list in report.lists {
        hosts.record_list(&report.host, list, now);
    }
    let mut tables = context.tables.borrow_mut();
    let mut behind = context.peers.behind.borrow_mut();
    for mark in report.tables {
        let own = tables.of_mut(mark.table);
        if own.digest == mark.digest {
            own.confirmed = now;
        }
        if let Some((address, link_mbps)) = source.filter(|_| own.lacks(&mark) || !own.is_known) {
            let sources = behind.entry(mark.table).or_default();
            sources.push(BehindTable {
                address,
                mark: Some(mark),
                link_mbps,
            });
            context.peers.behind_wake.notify_one();
        }
    }
}

fn handle_signal(context: &HostContext, report: &SignalReport<'_>, from: SocketAddr) {
    let now = clock::now();
    let mut pool = context.pool.borrow_mut();
    let Some(key) = pool.find(&report.server) else {
        return;
    };
    let is_same = pool
        .entry(key)
        .is_some_and(|e| e.started_ms == report.started_ms);
    if !is_same {
        return;
    }
    pool.record_peer_in_flight(key, peer_key(from), report.running, now);
    match report.signal {
        None => pool.record_start(key, now),
        Some(signal) => {
            let age = Duration::from_millis(report.age_ms.into());
            let shift = pool.record_peer_outcome(key, signal, now - age, now);
            let cause = ShiftCause {
                signal,
                age,
                seen_by: from,
            };
            log_shift(context, &pool, key, shift, &cause);
        }
    }
}

fn peer_key(from: SocketAddr) -> PeerKey {
    let ip = match from.ip() {
        std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        std::net::IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    PeerKey(ip << 16 | u64::from(from.port()))
}

fn handle_ask(context: &HostContext, question: &TokenQuestion<'_>, from: SocketAddr) {
    let ask = LedgerRequest {
        id: (question.incarnation ^ peer_key(from).0, question.ask),
        workspace: &question.workspace,
        rate_per_s: question.rate_per_s,
        burst: question.burst,
        is_alone: false,
        has_moved: question.has_moved,
    };
    let verdict = context.ledger.borrow_mut().acquire(ask, clock::now());
    let denied_us = match verdict {
        TokenVerdict::Granted => None,
        TokenVerdict::Denied(after) => u64::try_from(after.as_micros()).ok(),
    };
    let answer = PeerMessage::Answer {
        ask: question.ask,
        denied_us,
    };
    context.peers.send(&encode(&answer), from);
}
