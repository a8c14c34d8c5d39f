//! Starts entry hosts as processes, with stubs for the platform's store and the
//! backend servers, and fault proxies in front of the store and each server.

mod configuration;
mod host;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::json;

use crate::{
    AnswerPlan, BackendLog, BackendStatement, CallerConnection, RequestSpec, SignedBackend,
    SignedBackendSettings, StandinError, TableStub,
    fleet::{AddressBlock, AddressRole, FleetPrograms},
    proxy::{FaultProxy, ProxyHandle},
};

pub use self::{
    configuration::{EntryConfiguration, EntryWorkspace},
    host::{EntryHost, EntryHostAddresses},
};

/// Time limit until all hosts of a fleet accept callers.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a lookup, once to connect and once for the answer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds that a fleet's operators agree on, written to the hosts' settings.
#[derive(Clone, Copy, Debug)]
pub struct EntryBounds {
    /// Time from SIGTERM until a host must have exited.
    pub stop_grace: Duration,
    /// Retry budget of a service: retries per request.
    pub retry_ratio: f64,
    /// Additional retries allowed over all hosts.
    pub retry_slack: f64,
    /// Memory of each host, in MiB.
    pub memory_mb: u64,
    /// Whether hosts hold shares of workspaces' limits.
    pub limit_shares: bool,
}

impl Default for EntryBounds {
    fn default() -> Self {
        EntryBounds {
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 62.0,
            memory_mb: 512,
            limit_shares: false,
        }
    }
}

/// The backend servers of one service.
#[derive(Clone, Debug)]
pub struct EntryServerGroup {
    /// Name of the service.
    pub service: String,
    /// Number of servers in each availability zone.
    pub per_zone: usize,
}

/// Settings of an [`EntryFleet`].
#[derive(Clone, Debug)]
pub struct EntryFleetSettings {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Number of entry hosts in each zone.
    pub hosts_per_zone: usize,
    /// Backend servers, grouped by service.
    pub servers: Vec<EntryServerGroup>,
    /// Processing time of a request at a backend server.
    pub work: Duration,
    /// Bounds in the hosts' settings.
    pub bounds: EntryBounds,
    /// Configuration that is published before the hosts start.
    pub configuration: EntryConfiguration,
    /// Whether all backend servers share one [`AnswerPlan`].
    pub shares_plan: bool,
    /// Seed of the backend servers' random draws.
    pub seed: u64,
}

impl Default for EntryFleetSettings {
    fn default() -> Self {
        EntryFleetSettings {
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            hosts_per_zone: 2,
            servers: vec![EntryServerGroup {
                service: "ledger".to_owned(),
                per_zone: 2,
            }],
            work: Duration::from_millis(5),
            bounds: EntryBounds::default(),
            configuration: EntryConfiguration::default(),
            shares_plan: false,
            seed: 1,
        }
    }
}

/// A backend server of a fleet, behind a fault proxy.
#[derive(Debug)]
pub struct EntryServer {
    /// The running server, or `None` while it is down.
    pub backend: Option<SignedBackend>,
    /// Id of the current server; each start gives a new one.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Availability zone in which the server runs.
    pub zone: String,
    /// Handle of the proxy in front of the server.
    pub proxy: ProxyHandle,
    /// Address of the proxy, to which the hosts connect.
    pub address: SocketAddr,
    /// Number of starts of the server so far.
    pub starts: u32,
}

/// A fleet of entry hosts with the store and the backend servers that it uses.
#[derive(Debug)]
pub struct EntryFleet {
    /// Stub of the platform's store.
    pub store: TableStub,
    /// Entry hosts, with their zones in turn.
    pub hosts: Vec<EntryHost>,
    /// Backend servers, ordered by service and then by zone.
    pub servers: Vec<EntryServer>,
    /// Requests that reached the backend servers.
    pub log: BackendLog,
    settings: EntryFleetSettings,
    shared_plan: Arc<Mutex<AnswerPlan>>,
    /// Number of entries that the servers have written.
    heartbeats: AtomicU64,
    program: std::path::PathBuf,
    _block: AddressBlock,
    folder: tempfile::TempDir,
}

impl EntryFleet {
    /// Starts a fleet and waits until all hosts accept callers.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be built or started, or a host does not become
    /// ready in time.
    pub async fn open(settings: EntryFleetSettings) -> Result<Self, StandinError> {
        let programs = FleetPrograms::build()?;
        let failed = |err: std::io::Error| StandinError::new("open store", "loopback", err);
        let (store, store_address) = TableStub::open().await.map_err(failed)?;
        let block = AddressBlock::open()?;
        let folder = tempfile::tempdir()
            .map_err(|err| StandinError::new("make folder", "temporary directory", err))?;
        let count = settings.zones.len() * settings.hosts_per_zone;
        let addresses: Vec<EntryHostAddresses> = (0..count)
            .map(|index| EntryHostAddresses::of(block.ip(AddressRole::Host, index)))
            .collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| a.copies).collect();
        let mut hosts = Vec::new();
        for (index, addresses) in addresses.iter().enumerate() {
            let zone = &settings.zones[index % settings.zones.len()];
            let (proxy, handle) = open_proxy(store_address).await?;
            let zones: serde_json::Map<String, serde_json::Value> = settings
                .zones
                .iter()
                .map(|zone| (zone.clone(), json!("home")))
                .collect();
            let bounds = settings.bounds;
            let content = json!({
                "host": format!("h{index}"), "zone": zone, "region": "home", "zones": zones,
                "front": addresses.front, "ready": addresses.ready, "lookup": addresses.lookup,
                "copies": addresses.copies, "peer": addresses.peer,
                "metrics": addresses.metrics, "seeds": seeds, "store": proxy.to_string(),
                "memory_mb": bounds.memory_mb, "limit_shares": bounds.limit_shares,
                "bounds": {
                    "stop_grace_s": bounds.stop_grace.as_secs_f64(),
                    "retry_ratio": bounds.retry_ratio, "retry_slack": bounds.retry_slack,
                },
            });
            hosts.push(EntryHost::open(
                format!("h{index}"),
                zone.clone(),
                *addresses,
                handle,
                programs.mangostep.clone(),
                folder.path(),
                &content,
            )?);
        }
        let mut fleet = EntryFleet {
            store,
            hosts,
            servers: Vec::new(),
            log: BackendLog::default(),
            settings,
            shared_plan: Arc::default(),
            heartbeats: AtomicU64::new(1),
            program: programs.mangostep,
            _block: block,
            folder,
        };
        fleet.open_servers().await?;
        let first = fleet.settings.configuration.clone();
        fleet.publish(&first);
        for host in &mut fleet.hosts {
            host.start().await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn open_servers(&mut self) -> Result<(), StandinError> {
        let zones = self.settings.zones.clone();
        for group in self.settings.servers.clone() {
            for zone in zones.iter().flat_map(|zone| vec![zone; group.per_zone]) {
                let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
                let (address, proxy) = open_proxy(placeholder).await?;
                self.servers.push(EntryServer {
                    backend: None,
                    id: String::new(),
                    service: group.service.clone(),
                    zone: zone.clone(),
                    proxy,
                    address,
                    starts: 0,
                });
                self.start_server(self.servers.len() - 1).await?;
            }
        }
        Ok(())
    }

    /// Starts a backend server under a new id, and writes its entry to the store.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start_server(&mut self, index: usize) -> Result<(), StandinError> {
        let server = &mut self.servers[index];
        server.starts += 1;
        server.id = format!("i-{index}-{}", server.starts);
        self.open_backend(index).await?;
        self.write_entry(index, "ready");
        Ok(())
    }

    /// Starts a backend server that was stopped again under its id, in cold
    /// start. The store does not learn of it.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn restart_cold(&mut self, index: usize, span: Duration) -> Result<(), StandinError> {
        self.open_backend(index).await?;
        self.turn_cold(index, span);
        Ok(())
    }

    async fn open_backend(&mut self, index: usize) -> Result<(), StandinError> {
        let server = &mut self.servers[index];
        let settings = SignedBackendSettings {
            id: server.id.clone(),
            service: server.service.clone(),
            work: self.settings.work,
            seed: self.settings.seed ^ (index as u64) << 16 ^ u64::from(server.starts),
            plan: match self.settings.shares_plan {
                true => Arc::clone(&self.shared_plan),
                false => Arc::default(),
            },
        };
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let backend = SignedBackend::open(any, settings, self.log.clone())
            .await
            .map_err(|err| StandinError::new("open backend server", &server.id, err))?;
        let target = crate::proxy::ProxyCommand::Target(backend.address());
        server.proxy.run(target);
        server.backend = Some(backend);
        Ok(())
    }

    /// Puts a backend server into cold start; does nothing while it is down. Its
    /// entry in the store stays as it is.
    pub fn turn_cold(&self, index: usize, span: Duration) {
        if let Some(backend) = &self.servers[index].backend {
            backend.turn_cold(span);
        }
    }

    /// Ends a backend server like a crash: its entry stays in the store.
    pub fn stop_server(&mut self, index: usize) {
        if let Some(backend) = self.servers[index].backend.take() {
            backend.close();
        }
    }

    /// Sets how a backend server handles its next requests; does nothing while it
    /// is down.
    pub fn set_plan(&self, index: usize, plan: AnswerPlan) {
        if let Some(backend) = &self.servers[index].backend {
            backend.set_plan(plan);
        }
    }

    /// Sets what a backend server states in its next answers; does nothing while
    /// it is down.
    pub fn set_statement(&self, index: usize, statement: BackendStatement) {
        if let Some(backend) = &self.servers[index].backend {
            backend.set_statement(statement);
        }
    }

    /// Writes the entry of a backend server to the store, with a state such as
    /// `ready` or `draining`.
    pub fn write_entry(&self, index: usize, state: &str) {
        self.write_cold_entry(index, state, Duration::ZERO);
    }

    /// Writes the entry of a backend server with the time that is left of its
    /// cold start.
    pub fn write_cold_entry(&self, index: usize, state: &str, cold_left: Duration) {
        let server = &self.servers[index];
        let entry = json!({
            "service": server.service, "address": server.address, "zone": server.zone,
            "version": "v1", "slots": 4, "state": state,
            "warmupLeftS": cold_left.as_secs_f64(), "born": server.starts,
            "sequence": self.heartbeats.fetch_add(1, Ordering::Relaxed),
        });
        let text = entry.to_string();
        self.store.put("servers", &server.id, Some(text.as_bytes()));
    }

    /// Removes the entry of a backend server from the store.
    pub fn remove_entry(&self, id: &str) {
        self.store.put("servers", id, None);
    }

    /// Publishes a configuration through the store.
    pub fn publish(&self, configuration: &EntryConfiguration) {
        let services = self.settings.servers.iter().map(|group| &*group.service);
        let text = configuration.to_json(services).to_string();
        self.store.put("op", "config", Some(text.as_bytes()));
    }

    /// Waits until all hosts accept callers.
    ///
    /// # Errors
    ///
    /// Fails with the name and log of the first host that is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), StandinError> {
        let end = tokio::time::Instant::now() + READY_TIMEOUT;
        for host in &self.hosts {
            while !host.is_ready().await {
                if tokio::time::Instant::now() > end {
                    let log = host.log_tail();
                    return Err(StandinError::new("await readiness", host.name(), log));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Path of the `mangostep` binary that the hosts run.
    pub fn program(&self) -> &std::path::Path {
        &self.program
    }

    /// Directory with the hosts' settings and logs.
    pub fn directory(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Ends all hosts and backend servers of the fleet.
    pub fn close(self) {
        drop(self.hosts);
        for backend in self.servers.into_iter().filter_map(|server| server.backend) {
            backend.close();
        }
    }
}

/// Looks up the addresses to which callers of a zone connect.
///
/// # Errors
///
/// Fails when the host gives no valid answer in time.
pub async fn look_up(host: SocketAddr, zone: &str) -> std::io::Result<Vec<SocketAddr>> {
    let path = format!("/resolve?name=app.example&region=home&zone={zone}");
    let mut caller = CallerConnection::open(host, LOOKUP_TIMEOUT).await?;
    let spec = RequestSpec {
        path: &path,
        ..Default::default()
    };
    let answer = caller.request(spec, LOOKUP_TIMEOUT).await?;
    #[derive(serde::Deserialize)]
    struct Addresses {
        addresses: Vec<SocketAddr>,
    }
    let read: Addresses = serde_json::from_str(&answer.body).map_err(std::io::Error::other)?;
    Ok(read.addresses)
}

/// Opens a fault proxy in front of a target. The proxy runs until the process
/// exits.
async fn open_proxy(target: SocketAddr) -> Result<(SocketAddr, ProxyHandle), StandinError> {
    let any = SocketAddr::from((IpAddr::from(Ipv4Addr::LOCALHOST), 0));
    let failed = |err: std::io::Error| StandinError::new("open proxy", target, err);
    let proxy = FaultProxy::bind(any, any, Some(target))
        .await
        .map_err(failed)?;
    let address = proxy.addresses().map_err(failed)?.address;
    let handle = proxy.handle();
    tokio::spawn(proxy.run());
    Ok((address, handle))
}
