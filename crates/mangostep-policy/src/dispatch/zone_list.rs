use serde::{Deserialize, Serialize};

/// Hosts of an availability zone that are relevant to all hosts, as published
/// by the watchers of the zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// Availability zone of the hosts.
    pub zone: String,
    /// Hosts that look-ups return to callers of the zone, highest-ranked
    /// first.
    pub named: Vec<String>,
    /// Live hosts with the most processing capacity, which count the tokens of
    /// workspaces. Unlike `named`, they do not depend on the load.
    pub homes: Vec<String>,
    /// Hosts that send requests to backend servers, including the named ones.
    pub serving: Vec<String>,
}
