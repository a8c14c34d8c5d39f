use std::fmt::Display;

use {
    mangostep_http::ResponseHead,
    mangostep_policy::{CheckReport, ServerEntry, ServerKey, ServerStatement, StatementReport},
    rand::RngExt,
    slog::{info, warn},
};

use crate::{clock, peers, platform::DecodedStatement, prelude::*};

/// Minimum interval between two log lines about malformed statements.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Records what a server stated about itself in a response to this host, and
/// notifies the peers of a change. Returns whether the server stated a wait,
/// which binds this host only; the peers learn that the server sheds.
pub(crate) fn record_own_statement(
    context: &HostContext,
    key: ServerKey,
    server: &ServerEntry,
    head: &ResponseHead,
) -> bool {
    let decoded = (context.decode_statement)(head.status, &head.headers);
    let DecodedStatement {
        statement,
        wait,
        cold_left,
        faults,
    } = decoded;
    let now = clock::now();
    for fault in &faults {
        context
            .counters
            .count("statement-malformed", &[("header", fault.header)]);
        // A server may send such a header with every response.
        let logged = context.fault_logged.get();
        if logged.is_none_or(|logged| now.since(logged) >= FAULT_LOG_INTERVAL) {
            context.fault_logged.set(Some(now));
            warn!(context.log, "server statement refused"; "server" => &server.id,
                "header" => fault.header, "value" => &fault.value);
        }
    }
    if let Some(left) = cold_left {
        record_cold_left(context, key, left);
    }
    let mut pool = context.pool.borrow_mut();
    if let Some(wait) = wait {
        let spread = context.random.borrow_mut().random_range(0.0..1.0);
        pool.record_wait(key, wait, spread, now);
        context.counters.count("server-wait", &[]);
        info!(context.log, "server wait"; "server" => &server.id,
            "wait_ms" => wait.as_millis() as u64);
    }
    if pool.record_own_statement(key, server, statement, now) {
        drop(pool);
        log_change(context, &server.id, statement, &context.settings.host);
        peers::send_statement(context, server, statement);
    }
    wait.is_some()
}

/// Records the rest of its cold start that a server stated to this host, zero if
/// it is warm, and notifies the peers.
pub(crate) fn record_cold_left(context: &HostContext, key: ServerKey, left: Duration) {
    let report = context
        .pool
        .borrow_mut()
        .record_cold_left(key, left, clock::now());
    if let Some(report) = report {
        peers::send_check(context, &report);
    }
}

/// Records the rest of its cold start that a server stated to a peer.
pub(crate) fn record_peer_check(context: &HostContext, report: &CheckReport, from: impl Display) {
    let mut pool = context.pool.borrow_mut();
    if pool.record_peer_check(report, clock::now()) {
        info!(context.log, "server cold"; "server" => &report.server,
            "cold_ms" => report.cold_left_ms, "seen_by" => from.to_string());
    }
}

/// Records what a server stated to a peer.
pub(crate) fn record_peer_statement(
    context: &HostContext,
    report: &StatementReport,
    from: impl Display,
) {
    let mut pool = context.pool.borrow_mut();
    if pool.record_peer_statement(report, clock::now()) {
        drop(pool);
        log_change(context, &report.server, report.statement, from);
    }
}

fn log_change(
    context: &HostContext,
    server: &str,
    statement: ServerStatement,
    seen_by: impl Display,
) {
    context.counters.count("statement-changed", &[]);
    info!(context.log, "server statement"; "server" => server,
        "rate_limit_per_s" => statement.rate_limit_per_s, "leaving" => statement.is_leaving,
        "seen_by" => seen_by.to_string());
}
