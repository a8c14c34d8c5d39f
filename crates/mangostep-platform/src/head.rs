use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row that names the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Grows by one with every publication.
    pub version: u64,
    /// SHA-256 of the snapshot, in hexadecimal digits.
    pub digest: String,
    /// Drawn by the publisher, so that a lost answer can be settled.
    pub publication: String,
}

impl ConfigurationHead {
    /// Reads the row's value.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a head.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read head", "table row", false, err))
    }
}
