use serde::{Deserialize, Serialize};

/// Hosts of an availability zone that are relevant to all hosts, as published
/// by the watchers of the zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// Availability zone of the hosts.
    pub zone: String,
    /// Orders the lists of a zone: a later one has a higher number, also after
    /// another watcher has taken over.
    pub serial: u64,
    /// Hosts that look-ups return to callers of the zone, highest-ranked
    /// first.
    pub named: Vec<String>,
    /// How often a look-up answer contains each of the named hosts; empty if
    /// once each.
    pub weights: Vec<u8>,
    /// Live hosts with the most processing capacity, which count the tokens of
    /// workspaces. Unlike `named`, they do not depend on the load. A host keeps
    /// its place in the list until it stops.
    pub homes: Vec<String>,
    /// Hosts that send requests to backend servers, including the named ones.
    pub serving: Vec<String>,
}

impl ZoneList {
    /// Whether the lists name the same hosts.
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        (&self.zone, &self.named, &self.weights) == (&other.zone, &other.named, &other.weights)
            && (&self.homes, &self.serving) == (&other.homes, &other.serving)
    }

    /// How often a look-up answer contains the named host at an index.
    pub fn weight(&self, index: usize) -> u8 {
        self.weights.get(index).copied().unwrap_or(1)
    }

    /// Sum of the weights of all named hosts.
    pub fn total_weight(&self) -> u32 {
        (0..self.named.len())
            .map(|index| u32::from(self.weight(index)))
            .sum()
    }
}
