use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// What a host tells other hosts about itself twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Whether it was told to stop.
    pub is_leaving: bool,
    /// Whether it is a watcher of its zone.
    pub is_watcher: bool,
    /// Whether it has been one for long enough to have heard from all hosts.
    pub knows_zone: bool,
    /// Requests a second from callers, over the last seconds.
    pub rate_per_s: f64,
    /// Requests a second that it can carry.
    pub capacity_per_s: f64,
    /// Whether its last call to the platform's store failed.
    pub store_failed: bool,
}

/// A host that was heard of.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// Its last report.
    pub report: PeerReport,
    /// When it was heard.
    pub heard: MonotonicTime,
}
