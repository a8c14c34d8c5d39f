use std::net::SocketAddr;

use {
    mangostep_policy::{
        CopyComparison, FigureSource, HomeReply, HomeRequest, LedgerRequest, PeerKey, TokenVerdict,
    },
    slog::{info, warn},
};

use crate::{
    clock,
    forward::wake_next,
    peers::NewerCopy,
    peers::messages::{
        HostReport, PeerMessage, SignalReport, TokenOutcome, TokenRequest, TokenResponse, decode,
        encode,
    },
    peers::tokens::respond_as_home,
    platform::FleetTable,
    prelude::*,
    rollouts, statements,
    suspicion::{SuspicionCause, log_suspicion_change},
};

/// Maximum size of a datagram, in bytes.
pub(super) const DATAGRAM_BYTES_MAX: usize = 16 << 10;

/// Maximum number of datagrams that are handled at once.
pub(super) const ARRIVED_MAX: usize = 256;

/// Pause after an error of the socket.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(100);

/// Handles the datagrams of peers.
pub(crate) async fn receive(context: Rc<HostContext>) {
    if let Some(shares) = &context.peers.shares {
        loop {
            receive_arrived(&context);
            shares.wait_for_datagram().await;
        }
    }
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        match context.peers.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle(&context, &buffer[..length], from),
            Err(err) => {
                warn!(context.log, "datagram not received"; "error" => err.to_string());
                tokio::time::sleep(RECEIVE_BACKOFF).await;
            }
        }
    }
}

/// Handles the datagrams that have arrived already.
///
/// On a host with a tenth of a core, a timer may expire before the task that
/// receives datagrams runs. A response that has arrived is not missing.
pub(crate) fn receive_arrived(context: &HostContext) {
    if let Some(shares) = &context.peers.shares {
        shares.receive_arrived();
        while let Some((bytes, from)) = shares.pop_datagram() {
            handle(context, &bytes, from);
        }
        return;
    }
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    for _ in 0..ARRIVED_MAX {
        let Ok((length, from)) = context.peers.socket.try_recv_from(&mut buffer) else {
            return;
        };
        handle(context, &buffer[..length], from);
    }
}

fn handle(context: &HostContext, bytes: &[u8], from: SocketAddr) {
    match decode(bytes) {
        Some(PeerMessage::Report(report)) => handle_report(context, *report, from),
        Some(PeerMessage::Signal(signal)) => handle_signal(context, &signal, from),
        Some(PeerMessage::TokenRequest(request)) => handle_token_request(context, &request, from),
        Some(PeerMessage::TokenResponse(response)) => record_token_response(context, response),
        Some(PeerMessage::Statement(report)) => {
            statements::record_peer_statement(context, &report, from);
        }
        Some(PeerMessage::Check(report)) => {
            statements::record_peer_check(context, &report, from);
        }
        Some(PeerMessage::Presence(report)) => {
            let mut hosts = context.hosts.borrow_mut();
            hosts.record_presences(&report.zone, &report.presences, clock::now());
        }
        // Hosts that ask for each token take no part in shares.
        Some(PeerMessage::ShareRequest(_) | PeerMessage::ShareResponse { .. }) | None => {
            context.counters.count("datagram-dropped", &[]);
        }
    }
}

fn handle_report(context: &HostContext, report: HostReport<'_>, from: SocketAddr) {
    let now = clock::now();
    for statement in &report.statements {
        statements::record_peer_statement(context, statement, from);
    }
    if !report.rollouts.is_empty() {
        let incarnation = report.report.incarnation;
        let source = FigureSource::Peer(peer_key(from));
        rollouts::record_reports(context, &report.host, incarnation, report.rollouts, source);
    }
    let mut hosts = context.hosts.borrow_mut();
    let row = report.row.as_ref();
    let source = row.map(|row| (row.copies, row.link_mbps));
    let source_zone = row.map(|row| row.zone.clone());
    if let Some(row) = report.row.filter(|row| hosts.row(&row.name) != Some(row)) {
        hosts.put(row);
    }
    if let Some(gap) = hosts.report_gap(&report.host, now) {
        context.counters.record_report_gap(gap);
    }
    let is_ready = report.report.is_ready;
    let is_same_zone = hosts
        .row(&report.host)
        .is_some_and(|row| row.zone == hosts.own().zone);
    if hosts.record_report(&report.host, report.report, now) && is_same_zone {
        info!(context.log, "host readiness"; "peer" => &*report.host, "ready" => is_ready);
        if hosts.computes_list(now) {
            context.report_wake.notify_one();
        }
    }
    let zone = source_zone.as_deref().unwrap_or_default();
    hosts.record_presences(zone, &report.presences, now);
    let mut is_home_changed = false;
    for list in report.lists {
        is_home_changed |= hosts.record_list(&report.host, list, now);
    }
    // The other hosts of the zone learn of new limit homes from this one.
    if is_home_changed && hosts.own_report().is_watcher {
        context.report_wake.notify_one();
    }
    let sender = FigureSource::Peer(peer_key(from));
    let mut fleet = context.fleet_load.borrow_mut();
    if is_same_zone && !report.loads.is_empty() {
        fleet.record_host(&report.host, sender, report.loads, now);
    }
    let mut is_sudden = false;
    for load in report.zone_loads {
        is_sudden |= fleet.record_zone(load, sender, now);
    }
    if is_sudden && hosts.computes_list(now) {
        context.report_wake.notify_one();
    }
    drop(fleet);
    let is_delayed = context.pauses.borrow().may_be_delayed(now);
    if !is_delayed {
        context.pool.borrow_mut().record_peer(now);
    }
    let mut tables = context.tables.borrow_mut();
    for summary in report.tables {
        let own = tables.of_mut(summary.table);
        own.record_peer_start(&summary);
        if let Some(age_ms) = summary.age_ms.filter(|_| !is_delayed) {
            let confirmed = now - Duration::from_millis(age_ms.into());
            own.record_announcement(&summary, confirmed);
            if let Some(confirmed) = own
                .confirmed
                .filter(|_| summary.table == FleetTable::Servers)
            {
                context.pool.borrow_mut().record_contact(confirmed);
            }
            if summary.table == FleetTable::Servers {
                context.lapse.borrow_mut().record_contact(confirmed);
            }
        }
        let is_conflict = own.is_known && own.compare(&summary) == CopyComparison::Conflict;
        if is_conflict && summary.table.is_verified_often() && own.conflict_since.is_none() {
            own.conflict_since = Some(now);
            context.counters.count("copy-conflict", &[]);
            warn!(context.log, "copies differ"; "table" => summary.table.as_str(),
                "peer" => &*report.host, "version" => own.copy.version().number,
                "changed_version" => own.changed_version.number,
                "peer_version" => summary.version.number);
        }
        if let Some((address, link_mbps)) =
            source.filter(|_| own.is_older_than(&summary) || !own.is_known)
        {
            context.peers.newer_copies(summary.table).push(NewerCopy {
                address,
                summary: Some(summary),
                link_mbps,
            });
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
        .is_some_and(|entry| entry.started_ms == report.started_ms);
    if !is_same {
        return;
    }
    pool.record_peer_in_flight(key, peer_key(from), report.in_flight, now);
    match report.signal {
        None => pool.record_start(key, now),
        Some(signal) => {
            let age = Duration::from_millis(report.age_ms.into());
            let change = pool.record_peer_outcome(key, signal, now - age, now);
            let cause = SuspicionCause {
                signal,
                age,
                seen_by: from,
            };
            log_suspicion_change(context, &pool, key, change, &cause);
            drop(pool);
            wake_next(context, key);
        }
    }
}

pub(super) fn peer_key(from: SocketAddr) -> PeerKey {
    let ip = match from.ip() {
        std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        std::net::IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    PeerKey(ip << 16 | u64::from(from.port()))
}

fn handle_token_request(context: &HostContext, request: &TokenRequest<'_>, from: SocketAddr) {
    let id = (request.incarnation ^ peer_key(from).0, request.request_id);
    let token = LedgerRequest {
        has_moved: request.has_moved,
        granted_elsewhere: request.granted_elsewhere,
        ..LedgerRequest::open(id, &request.bucket, request.rate_per_s, request.burst)
    };
    let home_request = HomeRequest {
        token,
        zone: &request.zone,
        skipped: &request.skipped,
        is_redirected: request.is_redirected,
    };
    let outcome = match respond_as_home(context, home_request) {
        HomeReply::Decided(TokenVerdict::Granted) => TokenOutcome::Granted,
        HomeReply::Decided(TokenVerdict::Denied(after)) => {
            TokenOutcome::Denied(u64::try_from(after.as_micros()).unwrap_or(u64::MAX))
        }
        HomeReply::Moved(home) => TokenOutcome::Moved(home.into()),
    };
    let response = PeerMessage::TokenResponse(TokenResponse {
        request_id: request.request_id,
        outcome,
    });
    context.peers.send(&encode(&response), from);
}

fn record_token_response(context: &HostContext, response: TokenResponse<'_>) {
    let reply = match response.outcome {
        TokenOutcome::Granted => HomeReply::Decided(TokenVerdict::Granted),
        TokenOutcome::Denied(micros) => {
            HomeReply::Decided(TokenVerdict::Denied(Duration::from_micros(micros)))
        }
        TokenOutcome::Moved(home) => HomeReply::Moved(home.into_owned()),
    };
    let mut pending = context.peers.pending_requests.borrow_mut();
    if let Some(pending) = pending.remove(&response.request_id) {
        // The request for which the token was needed may have ended in the
        // meantime.
        let _ = pending.send(reply);
    }
}
