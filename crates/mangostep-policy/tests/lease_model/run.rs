//! Settings, results and messages of a run.

use mangostep_policy::{LeaseRules, MonotonicTime};

use crate::table::{Operation, Table};

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunSettings {
    pub(crate) seed: u64,
    pub(crate) rules: LeaseRules,
    /// Number of hosts that run from the start.
    pub(crate) hosts: usize,
    /// Number of hosts that can join later.
    pub(crate) spares: usize,
    pub(crate) ticks: u64,
    /// Whether faults are drawn at random. If not, the store becomes
    /// unreachable for all hosts at `OUTAGE_TICK` and stays so.
    pub(crate) faults: bool,
}

impl Default for RunSettings {
    fn default() -> Self {
        RunSettings {
            seed: 0,
            rules: LeaseRules::default(),
            hosts: 5,
            spares: 2,
            ticks: 2_500,
            faults: true,
        }
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunResult {
    /// First tick at which several processes acted as holder, with their
    /// hosts and incarnations.
    pub(crate) overlap: Option<(u64, Vec<(usize, u64)>)>,
    /// Number of changes of the holder.
    pub(crate) takeovers: u64,
    /// Number of changes of the member set after the initial one.
    pub(crate) member_changes: u64,
    /// Number of ticks at which some process acted as holder.
    pub(crate) served_ticks: u64,
    /// Number of running processes with standing at the end.
    pub(crate) standing: usize,
}

#[derive(Debug)]
pub(crate) enum Message {
    ToStore {
        process: usize,
        operation: Operation,
        sent: MonotonicTime,
    },
    FromStore {
        process: usize,
        operation: Operation,
        sent: MonotonicTime,
        was_written: bool,
        table: Box<Table>,
    },
    VouchRequest {
        process: usize,
        member: usize,
        sent: MonotonicTime,
    },
    Vouch {
        process: usize,
        member: usize,
        sent: MonotonicTime,
    },
}
