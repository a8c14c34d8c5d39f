use std::time::Duration;

use mangostep_objects::ObjectSet;

use crate::{backend::BackendSettings, fleet::NORTH_KEY};

/// Which links run through a fault proxy, one before each target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxiedLinks {
    /// From the hosts to the platform.
    pub platform: bool,
    /// From the hosts to each other.
    pub peers: bool,
    /// From the hosts to the backend servers.
    pub servers: bool,
}

/// Like backend servers, so many in each availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerGroup {
    /// Their service.
    pub service: String,
    /// How many in an availability zone.
    pub per_zone: usize,
    /// Availability zones; all of the fleet when empty.
    pub zones: Vec<String>,
    /// How each stands at its start; the names are filled in.
    pub backend: BackendSettings,
}

impl Default for ServerGroup {
    fn default() -> Self {
        ServerGroup {
            service: "ledger".to_owned(),
            per_zone: 2,
            zones: Vec::new(),
            backend: BackendSettings {
                slots: 8,
                cold_slots: 4,
                ..Default::default()
            },
        }
    }
}

/// A request that every host must answer with code 200 before the fleet
/// counts as started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyProbe {
    /// Path and query.
    pub path: String,
    /// Key that it presents; none when empty.
    pub key: String,
    /// How long the hosts may take.
    pub limit: Duration,
}

impl Default for ReadyProbe {
    fn default() -> Self {
        ReadyProbe {
            path: "/lookup/ready".to_owned(),
            key: NORTH_KEY.to_owned(),
            limit: Duration::from_secs(30),
        }
    }
}

/// What is published before the hosts start.
#[derive(Clone, Debug, Default)]
pub enum StartObjects {
    /// [`crate::fleet::basic_objects`] for the fleet's availability zones.
    #[default]
    Basic,
    /// An object set.
    Set(ObjectSet),
    /// Nothing.
    Nothing,
}

/// What a [`crate::fleet::TestFleet`] consists of.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entry hosts in each availability zone.
    pub hosts_per_zone: usize,
    /// Backend servers.
    pub servers: Vec<ServerGroup>,
    /// What is published before the hosts start.
    pub objects: StartObjects,
    /// Which links run through fault proxies.
    pub proxied: ProxiedLinks,
    /// Further settings of every host, a JSON object that is laid over the
    /// harness's own.
    pub host_settings: serde_json::Value,
    /// Awaited by [`crate::fleet::TestFleet::open`], when present.
    pub ready: Option<ReadyProbe>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            fleet: "test".to_owned(),
            hosts_per_zone: 1,
            servers: vec![ServerGroup::default()],
            objects: StartObjects::Basic,
            proxied: ProxiedLinks::default(),
            host_settings: serde_json::json!({}),
            ready: Some(ReadyProbe::default()),
            zones: ["a", "b", "c"].map(str::to_owned).into(),
        }
    }
}
