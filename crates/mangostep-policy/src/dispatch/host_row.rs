use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Row of a host in the store, written by the host itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name, unique in the fleet.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address at which the host accepts callers.
    pub front: SocketAddr,
    /// Address for datagrams from peers.
    pub peer: SocketAddr,
    /// Address at which peers read the host's table copies.
    pub copies: SocketAddr,
    /// Bandwidth of the host's network link, in Mbit/s.
    pub link_mbps: u32,
}
