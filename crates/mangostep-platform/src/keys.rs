//! The names of the rows that a fleet uses in the platform's table.
//!
//! Every name starts with the fleet's, so that two fleets may share a table.

/// The row that names the configuration in force.
pub fn head(fleet: &str) -> String {
    format!("{fleet}/head")
}

/// The beginning of the names of all host rows.
pub fn host_prefix(fleet: &str) -> String {
    format!("{fleet}/host/")
}

/// The row of one entry host.
pub fn host(fleet: &str, name: &str) -> String {
    format!("{fleet}/host/{name}")
}

/// The row that holds the member set and the set before it.
pub fn members(fleet: &str) -> String {
    format!("{fleet}/members")
}

/// The row that tells which groups of holders have changed.
pub fn holder_index(fleet: &str) -> String {
    format!("{fleet}/holders")
}

/// The row that holds one group of holders.
pub fn holders(fleet: &str, group: &str) -> String {
    format!("{fleet}/holders/{group}")
}

/// The object that holds the snapshot with a digest.
pub fn snapshot(fleet: &str, digest: &str) -> String {
    format!("{fleet}/snapshot/{digest}")
}

/// The row that records the publication of one version.
pub fn publication(fleet: &str, version: u64) -> String {
    format!("{fleet}/publication/{version}")
}
