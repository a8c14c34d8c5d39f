use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde_json::Value;

use crate::{
    CallerConnection, RequestSpec, StandinError,
    fleet::{FleetProcess, ProcessPlan, ProcessSignal},
    proxy::ProxyHandle,
};

/// Longest time that a question about readiness takes.
const READY_LIMIT: Duration = Duration::from_millis(300);

/// Ports of an entry host, on a loopback number of its own.
const FIRST_PORT: u16 = 7_001;

/// Where an entry host listens.
#[derive(Clone, Copy, Debug)]
pub struct EntryHostAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// Tells whether the host takes callers.
    pub ready: SocketAddr,
    /// For look-ups.
    pub lookup: SocketAddr,
    /// For copies of tables.
    pub copies: SocketAddr,
    /// For datagrams.
    pub peer: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl EntryHostAddresses {
    pub(crate) fn of(ip: IpAddr) -> Self {
        let at = |offset| SocketAddr::from((ip, FIRST_PORT + offset));
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

/// An entry host of a fleet, as a process that can be ended and started again.
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
    /// Writes the settings of a host; it is not started yet.
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

    /// Name of the host.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Availability zone of the host.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// How often the host was started.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Where the host listens.
    pub fn addresses(&self) -> &EntryHostAddresses {
        &self.addresses
    }

    /// The proxy between the host and the store.
    pub fn store(&self) -> &ProxyHandle {
        &self.store
    }

    /// Starts the host's process.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
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

    /// Whether the process has not ended.
    pub fn is_running(&self) -> bool {
        self.process()
            .as_mut()
            .is_some_and(FleetProcess::is_running)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = self.process().as_mut() {
            process.signal(signal);
        }
    }

    /// Whether the host says that it takes callers.
    pub async fn is_ready(&self) -> bool {
        let ask = RequestSpec {
            path: "/ready",
            id: "ready",
            ..Default::default()
        };
        match CallerConnection::open(self.addresses.ready, READY_LIMIT).await {
            Ok(mut caller) => {
                let answer = caller.request(ask, READY_LIMIT).await;
                answer.is_ok_and(|answer| answer.status == 200)
            }
            Err(_) => false,
        }
    }

    /// The end of what the process wrote on standard error.
    pub fn log_tail(&self) -> String {
        let process = self.process();
        process
            .as_ref()
            .map_or_else(String::new, FleetProcess::log_tail)
    }
}
