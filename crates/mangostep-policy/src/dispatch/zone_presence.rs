use serde::{Deserialize, Serialize};

/// How many hosts of an availability zone run, as counted by its watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePresence {
    /// The counted zone.
    pub zone: String,
    /// Number of hosts that report to the zone's watchers.
    pub live: u16,
    /// Number of hosts that announced their stop and have not returned.
    pub stopped: u16,
    /// Time since this many live hosts were counted, in milliseconds.
    pub counted_ms: u32,
    /// Time since the zone was last heard from, in milliseconds.
    pub heard_ms: u32,
    /// Time since the zone was last known to hear from the sender's zone too,
    /// in milliseconds. `None` if it is not known.
    pub contact_ms: Option<u32>,
}
