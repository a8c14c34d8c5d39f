use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The state of a backend server in the host directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DirectoryState {
    /// The server accepts requests.
    Live,
    /// The server is draining and accepts no new requests.
    Leaving,
}

/// A backend server as listed by the host directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name, unique within the service.
    pub name: String,
    /// Name of the service that it runs.
    pub service: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// IP address and port for requests and probes.
    pub address: SocketAddr,
    /// Whether it accepts requests or is draining.
    pub state: DirectoryState,
}

/// The platform's list of live and leaving backend servers. A change takes
/// effect in the list only after a delay.
pub trait HostDirectory {
    /// Lists the backend servers of a service in all availability zones.
    ///
    /// # Errors
    ///
    /// Fails if the directory does not respond within the timeout or responds
    /// with an error.
    fn list(
        &self,
        service: &str,
    ) -> impl Future<Output = Result<Vec<DirectoryEntry>, PlatformError>> + Send;
}
