use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row that an entry host writes about itself with each renewal of its
/// lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Random number that is drawn at each start of the process.
    pub incarnation: u64,
    /// Availability zone in which the host runs.
    pub zone: String,
    /// Address on which the host serves callers.
    pub front: SocketAddr,
    /// Address on which the host serves its peers.
    pub peer: SocketAddr,
    /// Address on which the host serves operators.
    pub operator: SocketAddr,
    /// Whether the host is draining before it stops.
    pub leaving: bool,
    /// Number of in-flight requests on the host.
    #[serde(default)]
    pub running: u64,
    /// Version of the configuration in force on the host; 0 before the first.
    pub version: u64,
    /// Number of the renewal that wrote the row, counted from 1.
    #[serde(rename = "number")]
    pub renewal_number: u64,
    /// Number of the latest renewal whose response arrived in time.
    #[serde(rename = "confirmed")]
    pub confirmed_renewal: u64,
    /// Version of the member set that the host uses.
    #[serde(rename = "member_set")]
    pub member_set_version: u64,
}

impl HostRow {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON form of a host row.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read host", "table row", false, err))
    }

    /// Returns the value of the row as JSON text.
    ///
    /// # Panics
    ///
    /// Never panics, since every field can be serialized to JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a host row can be serialized to JSON")
    }
}
