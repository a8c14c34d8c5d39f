use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use {
    mangostep_platform::PlatformSettings,
    mangostep_policy::LeaseTimes,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use crate::prelude::*;

/// All that an entry host is told at its start, from a JSON file with
/// comments.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeSettings {
    /// Name of the fleet; hosts of other fleets are not spoken to.
    pub fleet: String,
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Availability zone that this host stands in.
    pub zone: String,
    /// IP number and port for callers.
    pub front: SocketAddr,
    /// IP number and port for the other entry hosts.
    pub peer: SocketAddr,
    /// IP number and port for operators: metrics, status and events.
    pub operator: SocketAddr,
    /// Address that callers are told, when it differs from `front`.
    pub advertised_front: Option<SocketAddr>,
    /// Address that other hosts are told, when it differs from `peer`.
    pub advertised_peer: Option<SocketAddr>,
    /// IP number that outgoing connections start from; the system's choice
    /// when absent.
    pub outgoing: Option<IpAddr>,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Threads that take requests from callers.
    pub front_threads: usize,
    /// Threads that speak to backend servers.
    pub back_threads: usize,
    /// Requests that may wait in one ring between two threads.
    pub ring_capacity: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Largest sum of names and values of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Largest body that is held back until it is whole, in bytes, so that
    /// its request can be sent again.
    pub replay_bytes: u64,
    /// Whether every token taken is recorded in the time line, for tests.
    pub record_tokens: bool,
    /// How long callers keep the answer of a look-up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lookup_keep_ms")]
    pub lookup_keep: Duration,
    /// Longest time that running requests get to end at a planned stop.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_grace_ms")]
    pub stop_grace: Duration,
    /// Times of the host lease, alike on all hosts of the fleet.
    pub lease: LeaseTimes,
    /// Peer addresses of a few other hosts, asked at a start while the
    /// platform is away.
    pub seeds: Vec<SocketAddr>,
}

impl Default for ServeSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        ServeSettings {
            fleet: "mangostep".to_owned(),
            host: String::new(),
            zone: String::new(),
            front: local(8080),
            peer: local(8081),
            operator: local(8082),
            advertised_front: None,
            advertised_peer: None,
            outgoing: None,
            platform: PlatformSettings::default(),
            front_threads: 4,
            back_threads: 2,
            ring_capacity: 4096,
            body_bytes: 256 << 20,
            header_bytes: 32 << 10,
            replay_bytes: 64 << 10,
            record_tokens: false,
            lookup_keep: Duration::from_secs(3),
            stop_grace: Duration::from_secs(30),
            lease: LeaseTimes::default(),
            seeds: Vec::new(),
        }
    }
}

impl ServeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, and the field at fault with its line.
    pub fn from_text(file: &str, text: &str) -> Result<Self, String> {
        let settings: ServeSettings =
            mangostep_objects::read_settings(file, text).map_err(|err| err.to_string())?;
        settings
            .check()
            .map_err(|fault| format!("{file}: {fault}"))?;
        Ok(settings)
    }

    /// Checks what cannot be told by the types alone.
    ///
    /// # Errors
    ///
    /// Names the field at fault and what would be right.
    pub fn check(&self) -> Result<(), String> {
        let names = [
            ("fleet", &self.fleet),
            ("host", &self.host),
            ("zone", &self.zone),
        ];
        for (field, name) in names {
            if name.is_empty() || name.contains(['/', ' ']) {
                return Err(format!("{field}: must be a name without `/` or blanks"));
            }
        }
        let counts = [
            ("front_threads", self.front_threads),
            ("back_threads", self.back_threads),
            ("ring_capacity", self.ring_capacity),
            ("header_bytes", self.header_bytes),
        ];
        for (field, count) in counts {
            if count == 0 {
                return Err(format!("{field}: must be at least 1"));
            }
        }
        if self.replay_bytes > self.body_bytes {
            return Err("replay_bytes: must not be more than body_bytes".to_owned());
        }
        if self.lookup_keep.is_zero() {
            return Err("lookup_keep_ms: must be at least 1 millisecond".to_owned());
        }
        if !self.lease.is_valid() {
            return Err(
                "lease: its times break an inequality that keeps two hosts from holding one \
                 resource (see docs/DESIGN.md)"
                    .to_owned(),
            );
        }
        Ok(())
    }
}
