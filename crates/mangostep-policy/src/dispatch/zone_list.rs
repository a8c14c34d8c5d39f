use serde::{Deserialize, Serialize};

/// The hosts of an availability zone that matter to all hosts, as a watcher
/// of the zone publishes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// The availability zone.
    pub zone: String,
    /// Hosts that callers of the zone are led to, best first.
    pub named: Vec<String>,
    /// Hosts that send requests to backend servers, the named ones included.
    pub serving: Vec<String>,
}
