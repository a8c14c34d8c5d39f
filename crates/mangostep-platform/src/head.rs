use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row that identifies the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Version of the configuration, which increases by one with each
    /// publication; 0 before the first.
    pub version: u64,
    /// SHA-256 digest of the snapshot, in hexadecimal digits.
    pub digest: String,
    /// ID of the publication. After a lost response, it shows the publisher
    /// whether its draft is in force.
    pub publication: String,
}

impl ConfigurationHead {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON form of a head row.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read head", "table row", false, err))
    }
}
