use std::fmt::Display;

use {
    http::{HeaderMap, StatusCode},
    mangostep_policy::{ServerEntry, ServerKey, ServerStatement, StatementReport},
    slog::{info, warn},
};

use crate::{clock, peers, platform::DecodedStatement, prelude::*};

/// Minimum interval between two log lines about malformed statements.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Records what a server stated about itself in a response to this host, and
/// notifies the peers of a change.
pub(crate) fn record_own_statement(
    context: &HostContext,
    key: ServerKey,
    server: &ServerEntry,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let DecodedStatement { statement, faults } = (context.decode_statement)(status, headers);
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
    let mut pool = context.pool.borrow_mut();
    if pool.record_own_statement(key, statement, now) {
        drop(pool);
        log_change(context, &server.id, statement, &context.settings.host);
        peers::send_statement(context, server, statement);
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
