//! Starts a whole fleet of real processes for a test or an experiment.
//!
//! # Example
//!
//! ```no_run
//! use standins::fleet::{FleetSettings, NORTH_KEY, TestFleet};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let fleet = TestFleet::open(FleetSettings {
//!     hosts_per_zone: 2,
//!     ..Default::default()
//! })
//! .await?;
//! let answer = fleet.caller(0, NORTH_KEY)?.get("/lookup/7").await?;
//! assert_eq!(answer.status, 200);
//! fleet.close().await;
//! # Ok(())
//! # }
//! ```

mod block;
mod caller;
mod cells;
mod control;
mod counts;
mod handles;
mod objects;
mod process;
mod programs;
mod publish;
mod settings;
mod start;
mod wait;

use std::{net::SocketAddr, path::Path, time::Duration};

use {mangostep_objects::ObjectSet, reqwest::Client, tempfile::TempDir};

use crate::{
    StandinError,
    backend::RunRecord,
    fleet::{publish::publish, start::FleetStart},
};

pub(crate) use crate::fleet::{
    block::{AddressBlock, AddressRole},
    process::{FleetProcess, ProcessPlan},
    programs::FleetPrograms,
};
pub use crate::fleet::{
    caller::{Caller, CallerAnswer},
    handles::{HostAddresses, HostHandle, PlatformHandle, ProxyHandle, ServerHandle},
    objects::{NORTH_KEY, SOUTH_KEY, basic_objects},
    process::ProcessSignal,
    settings::{FleetSettings, ProxiedLinks, ReadyProbe, ServerGroup, StartObjects},
    wait::wait_until,
};

/// Builds the programs that a fleet starts, once a process.
///
/// [`TestFleet::open`] does so too; a caller that measures time builds first.
///
/// # Errors
///
/// Fails when a program cannot be built.
pub async fn build_programs() -> Result<(), StandinError> {
    let build = tokio::task::spawn_blocking(FleetPrograms::build);
    let built = build
        .await
        .map_err(|err| StandinError::new("build programs", "cargo", err))?;
    built.map(|_| ())
}

/// A platform, backend servers, fault proxies and entry hosts, each a process
/// of its own on its own loopback IP number.
///
/// All processes are killed and reaped when it is closed or dropped, also
/// when a test panics or is killed.
#[derive(Debug)]
pub struct TestFleet {
    /// The entry hosts, by availability zone in the settings' order.
    pub hosts: Vec<HostHandle>,
    /// The backend servers, by group and availability zone.
    pub servers: Vec<ServerHandle>,
    /// The platform.
    pub platform: PlatformHandle,
    settings: FleetSettings,
    http: Client,
    block: AddressBlock,
    directory: TempDir,
}

impl TestFleet {
    /// Builds the programs, starts everything, publishes the objects, and
    /// waits until every host answers the ready probe.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be built or started, or a host is not
    /// ready in time.
    pub async fn open(settings: FleetSettings) -> Result<Self, StandinError> {
        let mut fleet = FleetStart::open(settings).await?.run().await?;
        match fleet.settings.objects.clone() {
            StartObjects::Basic => {
                let objects = basic_objects(&fleet.settings.zones);
                fleet.publish(&objects).await?;
            }
            StartObjects::Set(objects) => {
                fleet.publish(&objects).await?;
            }
            StartObjects::Nothing => {}
        }
        fleet.start_hosts().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_ready(&self) -> Result<(), StandinError> {
        let Some(probe) = &self.settings.ready else {
            return Ok(());
        };
        for (index, host) in self.hosts.iter().enumerate() {
            let caller = self.caller(index, &probe.key)?;
            let what = format!("{} ready", host.name());
            let answered = wait_until(&what, probe.limit, || async {
                matches!(caller.get(&probe.path).await, Ok(answer) if answer.status == 200)
            });
            if let Err(err) = answered.await {
                let last = match caller.get(&probe.path).await {
                    Ok(answer) => format!("{} {:?}", answer.status, answer.reason),
                    Err(err) => err.to_string(),
                };
                let message = format!("{err}; last answer: {last}; log: {}", host.log_tail());
                return Err(StandinError::new("start fleet", host.name(), message));
            }
        }
        Ok(())
    }

    /// The fleet's name.
    pub fn name(&self) -> &str {
        &self.settings.fleet
    }

    /// Where settings, logs and outputs of the processes lie until the fleet
    /// is closed.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// The addresses for callers of all hosts.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.addresses().front).collect()
    }

    /// A caller that uses one host; it presents no key when `key` is empty.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library cannot be set up.
    pub fn caller(&self, host: usize, key: &str) -> Result<Caller, StandinError> {
        let source = self.block.ip(AddressRole::Caller, 0);
        let front = self.hosts[host].addresses().front;
        Caller::open(front, Some(source), Some(key).filter(|key| !key.is_empty()))
    }

    /// Lays further settings over those of hosts that are started from now on.
    pub fn extend_host_settings(&mut self, further: &serde_json::Value) {
        let fields = self.settings.host_settings.as_object_mut();
        if let (Some(fields), Some(further)) = (fields, further.as_object()) {
            fields.extend(further.clone());
        }
    }

    /// Puts an object set into force without the `mangostep` command, and
    /// returns its version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take it or another publication came
    /// between.
    pub async fn publish(&self, set: &ObjectSet) -> Result<u64, StandinError> {
        publish(self.platform.address, &self.settings.fleet, set).await
    }

    /// The requests that ran at all backend servers, in the order of their
    /// start.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub async fn records(&self) -> Result<Vec<RunRecord>, StandinError> {
        let mut all = Vec::new();
        for server in &self.servers {
            all.extend(server.records().await?);
        }
        all.sort_by_key(|record| record.start_us);
        Ok(all)
    }

    /// Sends a signal to every host.
    pub fn signal_hosts(&mut self, signal: ProcessSignal) {
        for host in &mut self.hosts {
            host.signal(signal);
        }
    }

    /// Stops the hosts in a planned way, then ends all processes.
    pub async fn close(mut self) {
        const STOP_LIMIT: Duration = Duration::from_secs(1);
        self.signal_hosts(ProcessSignal::Terminate);
        for host in &mut self.hosts {
            // A host that stays is killed by its drop.
            let _ = host.wait(STOP_LIMIT).await;
        }
    }
}
