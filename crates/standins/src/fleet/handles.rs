use std::{net::SocketAddr, process::ExitStatus, time::Duration};

use {
    mangostep_platform::{DirectoryEntry, DirectoryState},
    serde::Deserialize,
};

use crate::{
    StandinError,
    backend::{BackendControl, BackendSummary, GrayFault, RunRecord},
    fleet::{
        ProcessSignal,
        control::ControlClient,
        process::{FleetProcess, ProcessPlan},
    },
    platform::{DirectoryChange, PlatformControl, PlatformCounts, PlatformFault},
    proxy::{ProxyAddresses, ProxyCommand, ProxyControl, ProxyCounts},
};

/// The line that `standin platform` and `standin backend` print.
#[derive(Debug, Deserialize)]
pub(crate) struct StandinAddress {
    pub(crate) address: SocketAddr,
}

/// The stand-in platform of a fleet.
#[derive(Debug)]
pub struct PlatformHandle {
    pub(crate) process: FleetProcess,
    pub(crate) address: SocketAddr,
    pub(crate) control: ControlClient,
    pub(crate) proxy: Option<ProxyHandle>,
}

impl PlatformHandle {
    /// Its own address, which no fault proxy stands before.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The fault proxy between the hosts and the platform, if there is one.
    pub fn proxy(&self) -> Option<&ProxyHandle> {
        self.proxy.as_ref()
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Sends a signal to its process.
    pub fn signal(&mut self, signal: ProcessSignal) {
        self.process.signal(signal);
    }

    /// Sends one control request.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take it.
    pub async fn control(&self, control: &PlatformControl) -> Result<(), StandinError> {
        self.control.post(control).await
    }

    /// Replaces all faults; an empty list lifts them.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take them.
    pub async fn set_faults(&self, faults: Vec<PlatformFault>) -> Result<(), StandinError> {
        let control = PlatformControl {
            faults: Some(faults),
            ..Default::default()
        };
        self.control(&control).await
    }

    /// Changes the host directory.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take the changes.
    pub async fn change_directory(
        &self,
        directory: Vec<DirectoryChange>,
    ) -> Result<(), StandinError> {
        let control = PlatformControl {
            directory,
            ..Default::default()
        };
        self.control(&control).await
    }

    /// What each client asked of the platform.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn counts(&self) -> Result<PlatformCounts, StandinError> {
        self.control.get("/control/counts").await
    }
}

/// A backend server of a fleet.
#[derive(Debug)]
pub struct ServerHandle {
    pub(crate) process: FleetProcess,
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) address: SocketAddr,
    pub(crate) control: ControlClient,
    pub(crate) proxy: Option<ProxyHandle>,
}

impl ServerHandle {
    /// Its name in the directory.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Its availability zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Its own address, which no fault proxy stands before.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The fault proxy between the hosts and it, if there is one.
    pub fn proxy(&self) -> Option<&ProxyHandle> {
        self.proxy.as_ref()
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Its entry in the directory, as a live server.
    pub fn directory_entry(&self) -> DirectoryEntry {
        let proxied = self.proxy.as_ref().map(ProxyHandle::address);
        DirectoryEntry {
            name: self.name.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: proxied.unwrap_or(self.address),
            state: DirectoryState::Live,
        }
    }

    /// Sends a signal to its process.
    pub fn signal(&mut self, signal: ProcessSignal) {
        self.process.signal(signal);
    }

    /// Sends one control request.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take it.
    pub async fn control(&self, control: &BackendControl) -> Result<(), StandinError> {
        self.control.post(control).await
    }

    /// Replaces all gray faults; an empty list lifts them.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take them.
    pub async fn set_faults(&self, faults: Vec<GrayFault>) -> Result<(), StandinError> {
        let control = BackendControl {
            faults: Some(faults),
            ..Default::default()
        };
        self.control(&control).await
    }

    /// The requests that ran, in the order of their start.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn records(&self) -> Result<Vec<RunRecord>, StandinError> {
        self.control.get("/control/records").await
    }

    /// Counters and maxima.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn summary(&self) -> Result<BackendSummary, StandinError> {
        self.control.get("/control/summary").await
    }
}

/// A fault proxy of a fleet.
#[derive(Debug)]
pub struct ProxyHandle {
    /// Held for its drop, which ends the process.
    pub(crate) _process: FleetProcess,
    pub(crate) addresses: ProxyAddresses,
    pub(crate) control: ControlClient,
}

impl ProxyHandle {
    /// The address that it forwards from.
    pub fn address(&self) -> SocketAddr {
        self.addresses.address
    }

    /// Bytes that it forwarded, by source.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn counts(&self) -> Result<ProxyCounts, StandinError> {
        self.control.get("/control/bytes").await
    }

    /// Runs commands, in their order as one step.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take them.
    pub async fn run(&self, commands: Vec<ProxyCommand>) -> Result<(), StandinError> {
        self.control.post(&ProxyControl { commands }).await
    }
}

/// Where an entry host listens, as `mangostep serve` prints it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct HostAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For other entry hosts; the fault proxy's address where there is one.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// An entry host of a fleet, run by the real binary.
#[derive(Debug)]
pub struct HostHandle {
    pub(crate) process: FleetProcess,
    pub(crate) plan: ProcessPlan,
    pub(crate) settings: serde_json::Value,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) addresses: HostAddresses,
    pub(crate) proxy: Option<ProxyHandle>,
    pub(crate) http: reqwest::Client,
}

impl HostHandle {
    /// What it tells operators at `/status`.
    ///
    /// # Errors
    ///
    /// Fails when its listener for operators does not answer.
    pub async fn status(&self) -> Result<serde_json::Value, StandinError> {
        let control = ControlClient::new(&self.http, self.addresses.operator);
        control.get("/status").await
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its availability zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Where it listens.
    pub fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    /// The IP number that its own connections start from.
    pub fn outgoing(&self) -> std::net::IpAddr {
        self.addresses.front.ip()
    }

    /// The fault proxy between the other hosts and it, if there is one.
    pub fn proxy(&self) -> Option<&ProxyHandle> {
        self.proxy.as_ref()
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Whether its process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Sends a signal to its process.
    pub fn signal(&mut self, signal: ProcessSignal) {
        self.process.signal(signal);
    }

    /// The end of its log.
    pub fn log_tail(&self) -> String {
        self.process.log_tail()
    }

    /// Waits until its process has ended.
    ///
    /// # Errors
    ///
    /// Fails when it still runs after the limit.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, StandinError> {
        self.process.wait(limit).await
    }

    /// Starts it again under the same addresses, after its process ended or
    /// by ending it.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn restart(&mut self) -> Result<(), StandinError> {
        self.process.signal(ProcessSignal::Kill);
        self.process.wait(Duration::from_secs(5)).await?;
        let path = self.plan.directory.join(format!("{}.json", self.name));
        let text = self.settings.to_string();
        std::fs::write(&path, text)
            .map_err(|err| StandinError::new("write settings", path.display(), err))?;
        let (process, addresses) = FleetProcess::open(self.plan.clone()).await?;
        self.process = process;
        self.addresses = addresses;
        Ok(())
    }
}
