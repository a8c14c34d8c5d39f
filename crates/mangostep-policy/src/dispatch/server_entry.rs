use std::{net::SocketAddr, time::Duration};

/// What a backend server says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name, unique among all backend servers.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// IP number and port.
    pub address: SocketAddr,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub is_draining: bool,
    /// Time for which it stays in cold start, from the reading of the entry.
    pub cold_left: Duration,
    /// Start of the process, in milliseconds since 1970 by its own clock; a
    /// new value under an old name is a new process.
    pub started_ms: u64,
}
