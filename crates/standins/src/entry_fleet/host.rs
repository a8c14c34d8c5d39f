use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde_json::Value;

use crate::{
    CallerConnection, ProcessUsage, RequestSpec, StandinError,
    fleet::{FleetProcess, ProcessPlan, ProcessSignal},
    proxy::ProxyHandle,
};

/// Timeout of a readiness request, once to connect and once for the answer.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// First port of every entry host. Hosts use the same ports on different
/// loopback addresses.
const BASE_PORT: u16 = 7_001;

/// Listen addresses of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct EntryHostAddresses {
    /// Requests of callers.
    pub front: SocketAddr,
    /// Readiness requests.
    pub ready: SocketAddr,
    /// Lookups.
    pub lookup: SocketAddr,
    /// Snapshots of tables, for other hosts.
    pub copies: SocketAddr,
    /// Datagrams from peers.
    pub peer: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

impl EntryHostAddresses {
    pub(crate) fn of(ip: IpAddr) -> Self {
        let at = |offset| SocketAddr::from((ip, BASE_PORT + offset));
        EntryHostAddresses {
            front: at(0),
            ready: at(1),
            lookup: at(2),
            copies: at(3),
            peer: at(4),
            metrics: at(5),
        }
    }
}

/// An entry host of an [`EntryFleet`](super::EntryFleet), run as a process that
/// can be stopped and restarted.
#[derive(Debug)]
pub struct EntryHost {
    name: String,
    zone: String,
    addresses: EntryHostAddresses,
    store: ProxyHandle,
    program: PathBuf,
    directory: PathBuf,
    settings: PathBuf,
    starts: u32,
    process: Mutex<Option<FleetProcess>>,
}

impl EntryHost {
    /// Writes the settings file of a host without starting it.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn open(
        name: String,
        zone: String,
        addresses: EntryHostAddresses,
        store: ProxyHandle,
        program: PathBuf,
        directory: &Path,
        content: &Value,
    ) -> Result<Self, StandinError> {
        let settings = directory.join(format!("{name}.json"));
        std::fs::write(&settings, content.to_string())
            .map_err(|err| StandinError::new("write settings", &name, err))?;
        Ok(EntryHost {
            name,
            zone,
            addresses,
            store,
            program,
            directory: directory.to_owned(),
            settings,
            starts: 0,
            process: Mutex::default(),
        })
    }

    /// Name of the host in its settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Availability zone in which the host runs.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Number of starts of the host so far.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Listen addresses, the same after a restart.
    pub fn addresses(&self) -> &EntryHostAddresses {
        &self.addresses
    }

    /// Handle of the fault proxy between the host and the store.
    pub fn store(&self) -> &ProxyHandle {
        &self.store
    }

    /// Starts the host's process, replacing the last one.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub async fn start(&mut self) -> Result<(), StandinError> {
        self.starts += 1;
        let plan = ProcessPlan {
            name: format!("{}-{}", self.name, self.starts),
            program: self.program.clone(),
            arguments: vec!["entry".to_owned(), self.settings.display().to_string()],
            directory: self.directory.clone(),
        };
        let (process, _first_line) = FleetProcess::open::<Value>(plan).await?;
        *self.process() = Some(process);
        Ok(())
    }

    fn process(&self) -> MutexGuard<'_, Option<FleetProcess>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the process was started and has not exited.
    pub fn is_running(&self) -> bool {
        self.process()
            .as_mut()
            .is_some_and(FleetProcess::is_running)
    }

    /// Peak resident memory of the process, in bytes.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn peak_memory(&self) -> Result<u64, StandinError> {
        let pid = self.process().as_ref().map_or(0, FleetProcess::pid);
        ProcessUsage::of(pid).map(|usage| usage.peak_bytes)
    }

    /// Sends a signal to the process; does nothing before the first start.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = self.process().as_mut() {
            process.signal(signal);
        }
    }

    /// Whether the host reports that it accepts callers.
    pub async fn is_ready(&self) -> bool {
        let spec = RequestSpec {
            path: "/ready",
            id: "ready",
            ..Default::default()
        };
        match CallerConnection::open(self.addresses.ready, READY_TIMEOUT).await {
            Ok(mut caller) => {
                let answer = caller.request(spec, READY_TIMEOUT).await;
                answer.is_ok_and(|answer| answer.status == 200)
            }
            Err(_) => false,
        }
    }

    /// Log lines of the current process, which it writes to standard output;
    /// empty before the first start.
    pub fn log_text(&self) -> String {
        let path = format!("{}-{}.out", self.name, self.starts);
        std::fs::read_to_string(self.directory.join(path)).unwrap_or_default()
    }

    /// Last part of the process's standard error output.
    pub fn log_tail(&self) -> String {
        let process = self.process();
        process
            .as_ref()
            .map_or_else(String::new, FleetProcess::log_tail)
    }
}
