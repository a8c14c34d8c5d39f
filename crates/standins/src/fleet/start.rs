use std::{net::SocketAddr, path::Path};

use {reqwest::Client, serde_json::Value, tempfile::TempDir};

use crate::{
    StandinError,
    backend::BackendSettings,
    fleet::{
        FleetSettings, HostHandle, PlatformHandle, ProxyHandle, ServerGroup, ServerHandle,
        TestFleet,
        block::{AddressBlock, AddressRole},
        control::ControlClient,
        handles::{HostAddresses, StandinAddress},
        process::{FleetProcess, ProcessPlan},
        programs::FleetPrograms,
    },
    platform::DirectoryChange,
    proxy::{ProxyAddresses, ProxyCommand},
};

/// Port for operators; each host has an IP number of its own.
const OPERATOR_PORT: u16 = 8082;

/// Starts the processes of a fleet one after the other.
#[derive(Debug)]
pub(crate) struct FleetStart {
    settings: FleetSettings,
    programs: FleetPrograms,
    http: Client,
    block: AddressBlock,
    directory: TempDir,
    proxies: usize,
}

impl FleetStart {
    pub(crate) async fn open(settings: FleetSettings) -> Result<Self, StandinError> {
        let programs = tokio::task::spawn_blocking(FleetPrograms::build)
            .await
            .map_err(|err| StandinError::new("build programs", "cargo", err))??;
        let http = Client::builder()
            .no_proxy()
            .build()
            .map_err(|err| StandinError::new("set up client", "harness", err))?;
        let directory = tempfile::Builder::new()
            .prefix("mangostep-fleet-")
            .tempdir()
            .map_err(|err| StandinError::new("make directory", "harness", err))?;
        Ok(FleetStart {
            settings,
            programs,
            http,
            block: AddressBlock::open()?,
            directory,
            proxies: 0,
        })
    }

    /// Starts the platform and the backend servers.
    pub(crate) async fn run(mut self) -> Result<TestFleet, StandinError> {
        let platform = self.start_platform().await?;
        let mut servers = Vec::new();
        for group in self.settings.servers.clone() {
            self.start_group(&group, &mut servers).await?;
        }
        let listed = servers
            .iter()
            .map(|server: &ServerHandle| DirectoryChange::Put(server.directory_entry()))
            .collect();
        platform.change_directory(listed).await?;
        Ok(TestFleet {
            hosts: Vec::new(),
            servers,
            platform,
            settings: self.settings,
            http: self.http,
            block: self.block,
            directory: self.directory,
        })
    }

    async fn start_platform(&mut self) -> Result<PlatformHandle, StandinError> {
        let listen = SocketAddr::new(self.block.ip(AddressRole::Platform, 0), 0);
        let arguments = ["platform", "--listen", &listen.to_string()].map(str::to_owned);
        let plan = self.plan("platform", arguments.into());
        let (process, bound) = FleetProcess::open::<StandinAddress>(plan).await?;
        let proxy = match self.settings.proxied.platform {
            true => Some(self.start_proxy("platform", Some(bound.address)).await?),
            false => None,
        };
        Ok(PlatformHandle {
            process,
            address: bound.address,
            control: ControlClient::new(&self.http, bound.address),
            proxy,
        })
    }

    async fn start_group(
        &mut self,
        group: &ServerGroup,
        servers: &mut Vec<ServerHandle>,
    ) -> Result<(), StandinError> {
        let zones = match group.zones.is_empty() {
            true => self.settings.zones.clone(),
            false => group.zones.clone(),
        };
        for zone in &zones {
            for number in 0..group.per_zone {
                let server = self
                    .start_server(group, zone, number, servers.len())
                    .await?;
                servers.push(server);
            }
        }
        Ok(())
    }

    async fn start_server(
        &mut self,
        group: &ServerGroup,
        zone: &str,
        number: usize,
        index: usize,
    ) -> Result<ServerHandle, StandinError> {
        let name = format!("{}-{zone}-{number}", group.service);
        let listen = SocketAddr::new(self.block.ip(AddressRole::Server, index), 0);
        let backend = BackendSettings {
            name: name.clone(),
            seed: group.backend.seed + index as u64,
            ..group.backend.clone()
        };
        let text = serde_json::to_string(&backend)
            .map_err(|err| StandinError::new("write settings", &name, err))?;
        let listen = listen.to_string();
        let arguments = ["backend", "--listen", &listen, "--settings", &text].map(str::to_owned);
        let plan = self.plan(&name, arguments.into());
        let (process, bound) = FleetProcess::open::<StandinAddress>(plan).await?;
        let proxy = match self.settings.proxied.servers {
            true => Some(self.start_proxy(&name, Some(bound.address)).await?),
            false => None,
        };
        Ok(ServerHandle {
            process,
            name,
            service: group.service.clone(),
            zone: zone.to_owned(),
            address: bound.address,
            control: ControlClient::new(&self.http, bound.address),
            proxy,
        })
    }

    async fn start_proxy(
        &mut self,
        name: &str,
        target: Option<SocketAddr>,
    ) -> Result<ProxyHandle, StandinError> {
        let ip = self.block.ip(AddressRole::Proxy, self.proxies);
        self.proxies += 1;
        let plan = self.plan(&format!("proxy-{name}"), Vec::new());
        start_proxy(plan, SocketAddr::new(ip, 0), target, &self.http).await
    }

    fn plan(&self, name: &str, arguments: Vec<String>) -> ProcessPlan {
        ProcessPlan {
            name: name.to_owned(),
            program: self.programs.standin.clone(),
            arguments,
            directory: self.directory.path().to_owned(),
        }
    }
}

async fn start_proxy(
    mut plan: ProcessPlan,
    listen: SocketAddr,
    target: Option<SocketAddr>,
    http: &Client,
) -> Result<ProxyHandle, StandinError> {
    let listen = listen.to_string();
    plan.arguments = ["proxy", "--listen", &listen, "--control", &listen]
        .map(str::to_owned)
        .into();
    if let Some(target) = target {
        plan.arguments
            .extend(["--target".to_owned(), target.to_string()]);
    }
    let (process, addresses) = FleetProcess::open::<ProxyAddresses>(plan).await?;
    Ok(ProxyHandle {
        _process: process,
        addresses,
        control: ControlClient::new(http, addresses.control),
    })
}

impl TestFleet {
    /// Starts the entry hosts of the settings.
    pub(crate) async fn start_hosts(&mut self) -> Result<(), StandinError> {
        for zone in self.settings.zones.clone() {
            for number in 0..self.settings.hosts_per_zone {
                self.start_host(&zone, &format!("{zone}{number}")).await?;
            }
        }
        Ok(())
    }

    /// Starts one more entry host.
    ///
    /// # Errors
    ///
    /// Fails when its process does not start.
    pub async fn start_host(&mut self, zone: &str, name: &str) -> Result<(), StandinError> {
        let index = self.hosts.len();
        let ip = self.block.ip(AddressRole::Host, index);
        let programs = FleetPrograms::build()?;
        let directory = self.directory.path().to_owned();
        let plan = |name: String, program: &Path, arguments| ProcessPlan {
            name,
            program: program.to_owned(),
            arguments,
            directory: directory.clone(),
        };
        let proxy = match self.settings.proxied.peers {
            true => {
                let listen = SocketAddr::new(self.block.ip(AddressRole::Proxy, 1000 + index), 0);
                let plan = plan(format!("proxy-{name}"), &programs.standin, Vec::new());
                Some(start_proxy(plan, listen, None, &self.http).await?)
            }
            false => None,
        };
        // A proxy must know where the host listens, which is bound here and
        // given up again; the block belongs to this fleet alone.
        let peer = free_port(SocketAddr::new(ip, 0))?;
        let mut settings = self.host_settings(zone, name, ip, peer);
        if let Some(proxy) = &proxy {
            proxy.run(vec![ProxyCommand::Target(peer)]).await?;
            settings["advertised_peer"] = proxy.address().to_string().into();
        }
        let path = directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())
            .map_err(|err| StandinError::new("write settings", path.display(), err))?;
        let arguments = vec!["serve".to_owned(), path.display().to_string()];
        let plan = plan(name.to_owned(), &programs.mangostep, arguments);
        let (process, addresses) = FleetProcess::open::<HostAddresses>(plan.clone()).await?;
        settings["front"] = addresses.front.to_string().into();
        self.hosts.push(HostHandle {
            process,
            plan,
            settings,
            name: name.to_owned(),
            zone: zone.to_owned(),
            addresses,
            proxy,
            http: self.http.clone(),
        });
        Ok(())
    }

    fn host_settings(
        &self,
        zone: &str,
        name: &str,
        ip: std::net::IpAddr,
        peer: SocketAddr,
    ) -> Value {
        let platform = self.platform.proxy.as_ref().map(ProxyHandle::address);
        let platform = format!("http://{}", platform.unwrap_or(self.platform.address));
        let mut settings = serde_json::json!({
            "fleet": self.settings.fleet,
            "host": name,
            "zone": zone,
            "front": SocketAddr::new(ip, 0),
            "peer": peer,
            "operator": SocketAddr::new(ip, OPERATOR_PORT),
            "outgoing": ip,
            "front_threads": 2,
            "back_threads": 1,
            "platform": {
                "table": platform,
                "objects": platform,
                "directory": platform,
            },
        });
        if let (Some(fields), Some(further)) = (
            settings.as_object_mut(),
            self.settings.host_settings.as_object(),
        ) {
            fields.extend(further.clone());
        }
        settings
    }
}

/// Finds a free port on an IP number of the fleet's own block.
fn free_port(address: SocketAddr) -> Result<SocketAddr, StandinError> {
    let failed = |err| StandinError::new("find port", address, err);
    let listener = std::net::TcpListener::bind(address).map_err(failed)?;
    listener.local_addr().map_err(failed)
}
