use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row that an entry host keeps of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: String,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for the other entry hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// Requests that run on the host.
    #[serde(default)]
    pub running: u64,
    /// Configuration version in force.
    pub version: u64,
    /// Number of the renewal that wrote the row, from 1.
    pub number: u64,
    /// Latest renewal whose answer came in time.
    pub confirmed: u64,
    /// Version of the member set that the host goes by.
    pub member_set: u64,
}

impl HostRow {
    /// Reads the row's value.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a host row.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read host", "table row", false, err))
    }

    /// The row's value.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a host row has a JSON form")
    }
}
