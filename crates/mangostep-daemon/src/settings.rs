use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use {
    mangostep_platform::PlatformSettings,
    mangostep_policy::LeaseTimes,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use crate::prelude::*;

/// Settings of an entry host, read at start from a JSON file with comments.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeSettings {
    /// Name of the fleet; the host does not communicate with other fleets.
    pub fleet: String,
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// IP address and port for callers.
    pub front: SocketAddr,
    /// IP address and port for the other entry hosts.
    pub peer: SocketAddr,
    /// IP address and port for operators: metrics, status and events.
    pub operator: SocketAddr,
    /// Address announced to callers if it differs from `front`.
    pub advertised_front: Option<SocketAddr>,
    /// Address announced to other hosts if it differs from `peer`.
    pub advertised_peer: Option<SocketAddr>,
    /// Local IP address of outgoing connections; the system's choice when
    /// absent.
    pub outgoing: Option<IpAddr>,
    /// Addresses and timeouts of the platform services.
    pub platform: PlatformSettings,
    /// Number of threads that accept requests from callers.
    pub front_threads: usize,
    /// Number of threads that send requests to backend servers.
    pub back_threads: usize,
    /// Capacity, in requests, of each queue between two threads.
    pub ring_capacity: usize,
    /// Maximum body size of a request, in bytes.
    pub body_bytes: u64,
    /// Maximum total size of a request's header names and values, in bytes.
    pub header_bytes: usize,
    /// Maximum size, in bytes, of a body that is buffered completely before it
    /// is sent, so that the request can be retried.
    pub replay_bytes: u64,
    /// Whether every token taken is recorded in the timeline, for tests.
    pub record_tokens: bool,
    /// How long callers cache a look-up answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lookup_keep_ms")]
    pub lookup_keep: Duration,
    /// Longest wait of a graceful shutdown for in-flight requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_grace_ms")]
    pub stop_grace: Duration,
    /// Durations of the host lease; must be the same on all hosts of the
    /// fleet.
    pub lease: LeaseTimes,
    /// Peer addresses of some other hosts, which this host contacts if it
    /// starts while the platform is unavailable.
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
    /// Parses and validates the text of a settings file; `file` is its name in
    /// error messages.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file and the invalid field, and for
    /// syntax and type errors also the line.
    pub fn from_text(file: &str, text: &str) -> Result<Self, String> {
        let settings: ServeSettings =
            mangostep_objects::read_settings(file, text).map_err(|err| err.to_string())?;
        settings
            .check()
            .map_err(|reason| format!("{file}: {reason}"))?;
        Ok(settings)
    }

    /// Validates the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid field and the constraint.
    pub fn check(&self) -> Result<(), String> {
        let names = [
            ("fleet", &self.fleet),
            ("host", &self.host),
            ("zone", &self.zone),
        ];
        for (field, name) in names {
            if name.is_empty() || name.contains(['/', ' ']) {
                return Err(format!("{field}: must be a name without `/` or spaces"));
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
            return Err("replay_bytes: must not exceed body_bytes".to_owned());
        }
        if self.lookup_keep.is_zero() {
            return Err("lookup_keep_ms: must be at least 1 millisecond".to_owned());
        }
        if !self.lease.is_valid() {
            return Err(
                "lease: the durations violate a constraint that prevents two hosts from holding \
                 the same resource (see docs/DESIGN.md)"
                    .to_owned(),
            );
        }
        Ok(())
    }
}
