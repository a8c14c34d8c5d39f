//! The names of the rows that a fleet uses in the platform's table.
//!
//! Every name starts with the fleet's, so that two fleets may share a table.

/// The row that names the configuration in force.
pub fn head(fleet: &str) -> String {
    format!("{fleet}/head")
}

/// The beginning of the names of all host rows.
pub fn hosts(fleet: &str) -> String {
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

/// The row that names the homes of one shard of workspaces.
pub fn shard(fleet: &str, shard: u16) -> String {
    format!("{fleet}/shard/{shard:04}")
}

/// The beginning of the names of all shard rows.
pub fn shards(fleet: &str) -> String {
    format!("{fleet}/shard/")
}

/// The row that names the keeper of one cell.
pub fn cell(fleet: &str, service: &str, zone: &str) -> String {
    format!("{fleet}/cell/{service}/{zone}")
}

/// The beginning of the names of all cell rows.
pub fn cells(fleet: &str) -> String {
    format!("{fleet}/cell/")
}

/// The object that holds the snapshot with a digest.
pub fn snapshot(fleet: &str, digest: &str) -> String {
    format!("{fleet}/snapshot/{digest}")
}

/// The row that records the publication of one version.
pub fn publication(fleet: &str, version: u64) -> String {
    format!("{fleet}/publication/{version}")
}
