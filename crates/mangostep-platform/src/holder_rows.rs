use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row that tells which groups of holders have changed.
///
/// It is small, so that every renewal can read it; a group is only read when
/// its generation differs from the one known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderIndex {
    /// Generation of each group by its name, such as `shards` or `cells/a`.
    pub groups: BTreeMap<String, u64>,
}

/// The row that holds one group of holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderGroup {
    /// Grows with each change; the index names the same.
    pub generation: u64,
    /// Holders by resource, such as `shard/7/0` or `cell/ledger/a`.
    pub holders: BTreeMap<String, HolderEntry>,
}

/// Who holds a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// Name of the host; empty while nobody holds the resource.
    #[serde(rename = "h", default)]
    pub host: String,
    /// Process of the host.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Grows whenever the resource changes hands.
    #[serde(rename = "e")]
    pub epoch: u64,
}

impl HolderIndex {
    /// Reads the row's value.
    ///
    /// # Errors
    ///
    /// Fails when the text is not an index.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read holder index", "table row", false, err))
    }

    /// The row's value.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an index has a JSON form")
    }
}

impl HolderGroup {
    /// Reads the row's value.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a group.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read holders", "table row", false, err))
    }

    /// The row's value.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a group has a JSON form")
    }
}

/// The group that a resource belongs to.
///
/// # Example
///
/// ```
/// use mangostep_platform::holder_group;
///
/// assert_eq!(holder_group("shard/7/0"), "shards");
/// assert_eq!(holder_group("cell/ledger/a"), "cells/a");
/// ```
pub fn holder_group(resource: &str) -> String {
    match resource
        .strip_prefix("cell/")
        .and_then(|r| r.split_once('/'))
    {
        Some((_, zone)) => format!("cells/{zone}"),
        None => "shards".to_owned(),
    }
}
