//! Settings, results and messages of a run.

use mangostep_policy::{LeaseRules, MonotonicTime};

use crate::table::{Operation, Table};

/// How a run goes.
#[derive(Clone, Debug)]
pub(crate) struct RunSettings {
    pub(crate) seed: u64,
    pub(crate) rules: LeaseRules,
    /// Hosts that run from the start.
    pub(crate) hosts: usize,
    /// Hosts that join later.
    pub(crate) spares: usize,
    pub(crate) ticks: u64,
    /// Faults are drawn at random; else the store goes away for good after a
    /// while, for everybody at once.
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

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunResult {
    /// First tick at which two processes acted as holder, with both.
    pub(crate) overlap: Option<(u64, Vec<(usize, u64)>)>,
    /// Changes of the holder.
    pub(crate) takeovers: u64,
    /// Version of the member set at the end.
    pub(crate) member_changes: u64,
    /// Ticks at which some process acted.
    pub(crate) served: u64,
    /// Hosts with standing at the end.
    pub(crate) standing: usize,
}

#[derive(Debug)]
pub(crate) enum Message {
    ToStore {
        process: usize,
        operation: Operation,
        asked: MonotonicTime,
    },
    FromStore {
        process: usize,
        operation: Operation,
        asked: MonotonicTime,
        was_written: bool,
        table: Box<Table>,
    },
    Ask {
        process: usize,
        member: usize,
        asked: MonotonicTime,
    },
    Vouch {
        process: usize,
        member: usize,
        asked: MonotonicTime,
    },
}
