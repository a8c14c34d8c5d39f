use std::{net::SocketAddr, time::Duration};

/// Entry of a backend server in the platform's store, written by the server
/// itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Id, unique among all backend servers.
    pub id: String,
    /// Service that the server runs.
    pub service: String,
    /// IP address and port of the server.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: String,
    /// Software version of the server; empty if it states none.
    pub version: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and accepts no new requests.
    pub is_draining: bool,
    /// Remaining time in cold start, from when the entry was read.
    pub cold_left: Duration,
    /// Start of the server's process, in milliseconds since the Unix epoch by
    /// its own clock. A new value under the same id means a new process.
    pub started_ms: u64,
}
