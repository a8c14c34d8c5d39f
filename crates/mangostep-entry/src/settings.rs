use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use {
    mangostep_policy::{AllowanceSettings, LedgerSettings},
    serde::{Deserialize, Serialize},
    serde_with::{DurationSecondsWithFrac, serde_as},
};

/// All that an entry host is told at its start, from a JSON file with
/// comments. Times are in seconds, with fractions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Availability zone that this host stands in.
    pub zone: String,
    /// Region that this host stands in.
    pub region: String,
    /// All availability zones, with their regions.
    pub zones: BTreeMap<String, String>,
    /// IP number and port for callers.
    pub front: SocketAddr,
    /// IP number and port that tells whether this host takes callers.
    pub ready: SocketAddr,
    /// IP number and port for callers that ask which hosts to use.
    pub lookup: SocketAddr,
    /// IP number and port for hosts that read copies of tables.
    pub copies: SocketAddr,
    /// IP number and port for datagrams of other hosts.
    pub peer: SocketAddr,
    /// IP number and port for metrics; none when absent.
    pub metrics: Option<SocketAddr>,
    /// Addresses of a few hosts' `copies`, asked while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// IP number and port of the platform's store.
    pub store: String,
    /// Share of a core that this host has.
    pub cpu_share: f64,
    /// Width of this host's link to the network, in Mbit/s.
    pub link_mbps: f64,
    /// Memory that this host has, in MB.
    pub memory_mb: u64,
    /// Figures that the operators' agreements set.
    pub bounds: FleetBounds,
}

impl Default for HostSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        HostSettings {
            host: String::new(),
            zone: String::new(),
            region: String::new(),
            zones: BTreeMap::new(),
            front: local(8080),
            ready: local(8081),
            lookup: local(8082),
            copies: local(8083),
            peer: local(8084),
            metrics: None,
            seeds: Vec::new(),
            store: "127.0.0.1:7000".to_owned(),
            cpu_share: 1.0,
            link_mbps: 100.0,
            memory_mb: 512,
            bounds: FleetBounds::default(),
        }
    }
}

/// Figures that the operators' agreements set, alike on all hosts.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetBounds {
    /// Time from the signal to stop until the process is ended by force.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// Longest time for which callers keep the answer of a look-up.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub lookup_keep_max_s: Duration,
    /// Repeats allowed for each request of a service.
    pub retry_ratio: f64,
    /// Repeats allowed besides, over all hosts.
    pub retry_slack: f64,
    /// Time over which repeats are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window_s: Duration,
    /// Time over which the requests of a workspace are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub limit_window_s: Duration,
    /// Share by which a workspace may pass its limit in that time.
    pub limit_overshoot: f64,
    /// Requests by which it may pass its limit besides.
    pub limit_slack: f64,
}

impl Default for FleetBounds {
    fn default() -> Self {
        let allowance = AllowanceSettings::default();
        let ledger = LedgerSettings::default();
        FleetBounds {
            stop_grace_s: Duration::from_secs(6),
            lookup_keep_max_s: Duration::from_secs(5),
            retry_ratio: allowance.ratio,
            retry_slack: allowance.slack,
            retry_window_s: allowance.window,
            limit_window_s: ledger.window,
            limit_overshoot: ledger.overshoot,
            limit_slack: ledger.slack,
        }
    }
}

impl HostSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, and the field at fault with its line.
    pub fn from_text(file: &str, text: &str) -> Result<Self, String> {
        let settings: HostSettings =
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
            ("host", &self.host),
            ("zone", &self.zone),
            ("region", &self.region),
            ("store", &self.store),
        ];
        for (field, name) in names {
            if name.is_empty() {
                return Err(format!("{field}: must not be empty"));
            }
        }
        if self.cpu_share <= 0.0 || !self.cpu_share.is_finite() {
            return Err("cpu_share: must be more than 0".to_owned());
        }
        if self.link_mbps <= 0.0 || !self.link_mbps.is_finite() {
            return Err("link_mbps: must be more than 0".to_owned());
        }
        let bounds = &self.bounds;
        if bounds.stop_grace_s.is_zero() {
            return Err("bounds.stop_grace_s: must be more than 0 seconds".to_owned());
        }
        if bounds.lookup_keep_max_s.is_zero() {
            return Err("bounds.lookup_keep_max_s: must be more than 0 seconds".to_owned());
        }
        if !(bounds.retry_ratio >= 0.0 && bounds.retry_slack >= 0.0) {
            return Err("bounds: retry_ratio and retry_slack must be 0 or more".to_owned());
        }
        if !(bounds.limit_overshoot >= 0.0 && bounds.limit_slack >= 0.0) {
            return Err("bounds: limit_overshoot and limit_slack must be 0 or more".to_owned());
        }
        Ok(())
    }
}
