use std::fmt::Display;

use {
    mangostep_policy::{ServerKey, ServerPool, ServerSignal, SuspicionChange},
    slog::info,
};

use crate::prelude::*;

/// An outcome that changed what this host believes of a server.
pub(crate) struct ShiftCause<D> {
    pub(crate) signal: ServerSignal,
    /// Time since the request was sent that showed it.
    pub(crate) age: Duration,
    /// The host that saw it.
    pub(crate) seen_by: D,
}

/// Logs that a server is suspected of failing, or no longer.
pub(crate) fn log_shift(
    context: &HostContext,
    pool: &ServerPool,
    key: ServerKey,
    shift: Option<SuspicionChange>,
    cause: &ShiftCause<impl Display>,
) {
    let (Some(shift), Some(entry)) = (shift, pool.entry(key)) else {
        return;
    };
    let rounded = |chance: f64| (chance * 1000.0).round() / 1000.0;
    info!(context.log, "server belief";
        "server" => entry.id.as_str(),
        "suspected" => shift.is_suspected,
        "before" => rounded(shift.before),
        "chance" => rounded(shift.after),
        "signal" => cause.signal.as_str(),
        "age_ms" => cause.age.as_millis() as u64,
        "seen_by" => cause.seen_by.to_string());
}
