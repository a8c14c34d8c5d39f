use std::collections::BTreeMap;

use {
    mangostep_platform::DirectoryEntry,
    serde::{Deserialize, Serialize},
};

/// One of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformService {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The host directory.
    Directory,
}

/// How an unavailable service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// The connection is reset before the request takes effect.
    Refuse,
    /// The request takes no effect and is never answered.
    Hang,
}

/// A fault of the platform, for some clients and one of its services.
///
/// A request gets the first fault that matches it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Names of the affected clients; all when empty.
    pub clients: Vec<String>,
    /// Affected service; all when absent.
    pub part: Option<PlatformService>,
    /// Wait before the request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Wait between the effect and the answer, in milliseconds.
    pub slow_answer_ms: u64,
    /// How the service is unavailable; available when absent.
    #[serde(rename = "away")]
    pub outage: Option<OutageMode>,
    /// The request takes effect, and the connection is reset in place of an
    /// answer.
    pub lose_answer: bool,
    /// Matching requests after which the fault ends; unlimited when absent.
    pub requests: Option<u64>,
}

/// A change of the host directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DirectoryChange {
    /// Adds or replaces an entry.
    Put(DirectoryEntry),
    /// Removes an entry.
    Remove {
        /// Service of the entry.
        service: String,
        /// Name of the entry.
        name: String,
    },
    /// Marks an entry as leaving.
    MarkLeaving {
        /// Service of the entry.
        service: String,
        /// Name of the entry.
        name: String,
    },
}

/// The body of `POST /control`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// Replaces all faults.
    pub faults: Option<Vec<PlatformFault>>,
    /// Delay until a directory change is visible, in milliseconds.
    pub directory_lag_ms: Option<u64>,
    /// Changes of the directory, in their order.
    pub directory: Vec<DirectoryChange>,
    /// Sets all counters to zero.
    pub clear_counts: bool,
}

/// Operations of one client on the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientCounts {
    /// Transactions.
    pub transactions: u64,
    /// Rows that were written.
    pub row_writes: u64,
    /// Rows that were returned.
    pub row_reads: u64,
    /// Bytes of the rows that were returned.
    pub row_read_bytes: u64,
    /// Objects that were stored.
    pub object_writes: u64,
    /// Objects that were fetched.
    pub object_reads: u64,
    /// Listings of the directory.
    pub listings: u64,
}

/// The answer to `GET /control/counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Counters by the client's name.
    pub clients: BTreeMap<String, ClientCounts>,
}

impl PlatformCounts {
    /// The sum over all clients.
    pub fn total(&self) -> ClientCounts {
        let mut sum = ClientCounts::default();
        for counts in self.clients.values() {
            sum.transactions += counts.transactions;
            sum.row_writes += counts.row_writes;
            sum.row_reads += counts.row_reads;
            sum.row_read_bytes += counts.row_read_bytes;
            sum.object_writes += counts.object_writes;
            sum.object_reads += counts.object_reads;
            sum.listings += counts.listings;
        }
        sum
    }
}
