use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// What the directory says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DirectoryState {
    /// It takes work.
    Live,
    /// It leaves, and takes no new work.
    Leaving,
}

/// A backend server as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name, unique within the service.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// IP number and port.
    pub address: SocketAddr,
    /// Whether it leaves.
    pub state: DirectoryState,
}

/// The platform's list of live and leaving hosts, which lags.
pub trait HostDirectory {
    /// Lists the backend servers of a service in all availability zones.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be reached within its deadline.
    fn list(
        &self,
        service: &str,
    ) -> impl Future<Output = Result<Vec<DirectoryEntry>, PlatformError>> + Send;
}
