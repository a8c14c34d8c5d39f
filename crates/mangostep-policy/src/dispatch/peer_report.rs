use serde::{Deserialize, Serialize};

use crate::MonotonicTime;

/// Report of a host about itself, sent to peers twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Start of the host's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the host accepts callers.
    pub is_ready: bool,
    /// Whether the host is in graceful shutdown.
    pub is_leaving: bool,
    /// Whether the host is a watcher of its zone.
    pub is_watcher: bool,
    /// Whether the host has been a watcher for long enough to have heard from
    /// all hosts of its zone.
    pub knows_zone: bool,
    /// Requests per second from callers over the last seconds.
    pub rate_per_s: f64,
    /// Requests per second that the host can handle.
    pub capacity_per_s: f64,
    /// Whether the host's last call to the platform's store failed.
    pub store_failed: bool,
    /// Highest serial number of a list of the host's zone that it knows of.
    pub list_serial: u64,
}

/// The latest report received from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// Content of the report.
    pub report: PeerReport,
    /// Local time of receipt.
    pub received: MonotonicTime,
}
