use std::fmt::Display;

use {
    mangostep_policy::{ServerKey, ServerPool, ServerSignal, SuspicionChange},
    slog::info,
};

use crate::prelude::*;

/// The request outcome that changed the suspicion of a server.
pub(crate) struct SuspicionCause<D> {
    pub(crate) signal: ServerSignal,
    /// Time since that request was sent.
    pub(crate) age: Duration,
    /// The host that reported the outcome.
    pub(crate) seen_by: D,
}

/// Logs that a server became suspected, or is no longer suspected.
pub(crate) fn log_suspicion_change(
    context: &HostContext,
    pool: &ServerPool,
    key: ServerKey,
    change: Option<SuspicionChange>,
    cause: &SuspicionCause<impl Display>,
) {
    let (Some(change), Some(entry)) = (change, pool.entry(key)) else {
        return;
    };
    let rounded = |chance: f64| (chance * 1000.0).round() / 1000.0;
    info!(context.log, "server belief";
        "server" => entry.id.as_str(),
        "suspected" => change.is_suspected,
        "before" => rounded(change.before),
        "chance" => rounded(change.after),
        "signal" => cause.signal.as_str(),
        "age_ms" => cause.age.as_millis() as u64,
        "seen_by" => cause.seen_by.to_string());
}
