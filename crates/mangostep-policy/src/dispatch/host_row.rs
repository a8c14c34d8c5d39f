use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a host writes of itself into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name, unique in the fleet.
    pub name: String,
    /// Region that it stands in.
    pub region: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for datagrams of other hosts.
    pub peer: SocketAddr,
    /// Address at which other hosts read its copies of tables.
    pub copies: SocketAddr,
    /// Width of its link to the network, in Mbit/s.
    pub link_mbps: u32,
}
