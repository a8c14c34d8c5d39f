use std::{
    collections::BTreeMap,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A request that ran at a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request id, from `x-request-id`.
    pub id: String,
    /// The caller's own id of the operation, from `x-operation`.
    pub operation: String,
    /// Workspace, from `x-workspace`; empty without one.
    pub workspace: String,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Start, in microseconds since 1970.
    pub start_us: u64,
    /// End, in microseconds since 1970; 0 while it runs.
    pub end_us: u64,
    /// Requests in the server at its start, itself included.
    pub concurrent: u64,
    /// Whether the server was cold at its start.
    pub cold: bool,
    /// Whether the caller went away before its end.
    pub cancelled: bool,
}

/// The answer to `GET /control/summary`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSummary {
    /// Requests that ran.
    pub ran: u64,
    /// Requests that ran, by workspace.
    pub workspaces: BTreeMap<String, u64>,
    /// Most requests in the server at once.
    pub concurrent_max: u64,
    /// Most requests in the server at once while it was cold.
    pub cold_concurrent_max: u64,
    /// Failures by overload in cold start.
    pub falls: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Probes of the health and the load endpoint.
    pub probes: u64,
    /// Connections taken since the start.
    pub connections: u64,
    /// Headers that may carry a key, with their values.
    pub key_headers: Vec<(String, String)>,
}

/// The records and the summary of a backend server.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    pub(crate) records: Vec<RunRecord>,
    pub(crate) summary: BackendSummary,
}

impl RunLog {
    /// Records a start, and returns the index of the record.
    pub(crate) fn start(&mut self, record: RunRecord) -> usize {
        self.summary.ran += 1;
        let count = self.summary.workspaces.entry(record.workspace.clone());
        *count.or_default() += 1;
        self.records.push(record);
        self.records.len() - 1
    }

    /// Records the end of a request, unless its record was cleared.
    pub(crate) fn end(&mut self, place: usize, id: &str, cancelled: bool) {
        self.summary.cancelled += u64::from(cancelled);
        if let Some(record) = self.records.get_mut(place)
            && record.id == id
        {
            record.end_us = wall_us();
            record.cancelled = cancelled;
        }
    }
}

/// The wall clock, in microseconds since 1970.
pub fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_micros() as u64)
}
