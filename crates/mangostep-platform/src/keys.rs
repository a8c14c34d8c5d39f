//! The names of a fleet's rows in the table service and of its objects in the
//! object store.
//!
//! Each name starts with the name of the fleet, so that several fleets can
//! share a table and an object store.

/// The row that identifies the configuration in force, a
/// [`ConfigurationHead`](crate::ConfigurationHead).
pub fn head(fleet: &str) -> String {
    format!("{fleet}/head")
}

/// The prefix of the names of all host rows.
pub fn host_prefix(fleet: &str) -> String {
    format!("{fleet}/host/")
}

/// The row of an entry host, a [`HostRow`](crate::HostRow).
pub fn host(fleet: &str, name: &str) -> String {
    format!("{fleet}/host/{name}")
}

/// The row with the current and the previous member set.
pub fn members(fleet: &str) -> String {
    format!("{fleet}/members")
}

/// The row with the generations of all holder groups, a
/// [`HolderIndex`](crate::HolderIndex).
pub fn holder_index(fleet: &str) -> String {
    format!("{fleet}/holders")
}

/// The row of a holder group, a [`HolderGroup`](crate::HolderGroup).
pub fn holders(fleet: &str, group: &str) -> String {
    format!("{fleet}/holders/{group}")
}

/// The object that contains the snapshot with the given digest.
pub fn snapshot(fleet: &str, digest: &str) -> String {
    format!("{fleet}/snapshot/{digest}")
}

/// The row that records the publication of a version, a
/// [`PublicationRecord`](crate::PublicationRecord).
pub fn publication(fleet: &str, version: u64) -> String {
    format!("{fleet}/publication/{version}")
}
