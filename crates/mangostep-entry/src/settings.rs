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

/// Settings of an entry host, read at its start from a JSON file with
/// comments. Times are in seconds and may have fractions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of this host.
    pub region: String,
    /// Maps every availability zone to its region.
    pub zones: BTreeMap<String, String>,
    /// Address that accepts requests of callers.
    pub front: SocketAddr,
    /// Address that reports whether this host accepts callers.
    pub ready: SocketAddr,
    /// Address that answers look-ups of callers.
    pub lookup: SocketAddr,
    /// Address at which peers read copies of tables, over TCP.
    pub copies: SocketAddr,
    /// Address that receives datagrams of peers.
    pub peer: SocketAddr,
    /// Address that serves metrics. Metrics are not served if absent.
    pub metrics: Option<SocketAddr>,
    /// `copies` addresses of a few hosts, from which tables are read while the
    /// store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time. Hosts then take
    /// longer to become ready, to spare the store.
    pub is_first_start: bool,
    /// IP address and port of the platform's store.
    pub store: String,
    /// CPU capacity of this host, in cores.
    pub cpu_share: f64,
    /// Bandwidth of this host's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory of this host, in MB.
    pub memory_mb: u64,
    /// Whether hosts hold shares of workspaces' limits ahead of need, instead
    /// of asking for each token. The same on all hosts of a fleet.
    pub limit_shares: bool,
    /// Limits that the operators set for the whole fleet.
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
            is_first_start: false,
            store: "127.0.0.1:7000".to_owned(),
            cpu_share: 1.0,
            link_mbps: 100.0,
            memory_mb: 512,
            limit_shares: false,
            bounds: FleetBounds::default(),
        }
    }
}

/// Limits that the operators set for the whole fleet. They are the same on all
/// hosts.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetBounds {
    /// Time between the stop signal and the forced end of the process.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// Maximum time for which callers cache a look-up answer.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub lookup_keep_max_s: Duration,
    /// Number of retries that each request of a service adds to the retry
    /// budget.
    pub retry_ratio: f64,
    /// Number of additional retries in the budget of a service, for all
    /// hosts.
    pub retry_slack: f64,
    /// Window in which requests and retries are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window_s: Duration,
    /// Window in which the requests of a workspace are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub limit_window_s: Duration,
    /// Fraction by which a workspace may exceed its rate limit in that window.
    pub limit_overshoot: f64,
    /// Number of requests by which a workspace may exceed its rate limit
    /// additionally.
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
    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message with the file, and the invalid field with its line.
    pub fn from_text(file: &str, text: &str) -> Result<Self, String> {
        let settings: HostSettings =
            mangostep_objects::read_settings(file, text).map_err(|err| err.to_string())?;
        settings
            .check()
            .map_err(|fault| format!("{file}: {fault}"))?;
        Ok(settings)
    }

    /// Validates the ranges of the values, which the types do not enforce.
    ///
    /// # Errors
    ///
    /// Returns a message with the invalid field and its valid range.
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
