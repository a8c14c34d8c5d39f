use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The row with the generations of all holder groups.
///
/// It is small, so every renewal can read it. A group is read only if its
/// generation differs from the last one that was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderIndex {
    /// Generation of each group, by group name, such as `shards` or `cells/a`.
    pub groups: BTreeMap<String, u64>,
}

/// The row with the holders of a group of resources.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderGroup {
    /// Increases with each change of the group, and is the same in the index.
    pub generation: u64,
    /// Holder of each resource, by resource name, such as `shard/7/0` or
    /// `cell/ledger/a`.
    pub holders: BTreeMap<String, HolderEntry>,
}

/// The holder of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// Name of the host that holds the resource; empty if no host does.
    #[serde(rename = "h", default)]
    pub host: String,
    /// Incarnation of the process of that host.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Increases with each change of the holder.
    #[serde(rename = "e")]
    pub epoch: u64,
}

impl HolderIndex {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON form of an index.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read holder index", "table row", false, err))
    }

    /// Returns the value of the row as JSON text.
    ///
    /// # Panics
    ///
    /// Never panics, since every field can be serialized to JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an index can be serialized to JSON")
    }
}

impl HolderGroup {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON form of a group.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|err| PlatformError::new("read holders", "table row", false, err))
    }

    /// Returns the value of the row as JSON text.
    ///
    /// # Panics
    ///
    /// Never panics, since every field can be serialized to JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a group can be serialized to JSON")
    }
}

/// Returns the name of the group that contains a resource: one group for each
/// availability zone's cells, and one for all shards.
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
        .and_then(|cell| cell.split_once('/'))
    {
        Some((_, zone)) => format!("cells/{zone}"),
        None => "shards".to_owned(),
    }
}
