use std::cmp::Ordering;

use crate::dispatch::StoreVersion;

/// Version and contents of a host's copy of a table, for comparison with the
/// copies of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySummary {
    /// Version of the store up to which the copy has all changes.
    pub version: StoreVersion,
    /// Version of the copy when its contents last changed.
    pub changed: StoreVersion,
    /// Digest of the contents.
    pub digest: u64,
}

/// How a peer's copy of a table compares with the own one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyComparison {
    /// Both have the same contents.
    Same,
    /// The peer has later changes.
    PeerIsNewer,
    /// The peer lacks changes that this host has.
    PeerIsOlder,
    /// Both should have the same contents and do not: one of them lacks a
    /// change that its version covers.
    Conflict,
}

impl CopySummary {
    /// Compares a peer's copy, of which the version and the digest are known,
    /// with this one.
    /// A copy of a later era is newer whatever it contains.
    pub fn compare(&self, peer_version: StoreVersion, peer_digest: u64) -> CopyComparison {
        match peer_version.era.cmp(&self.version.era) {
            Ordering::Greater => return CopyComparison::PeerIsNewer,
            Ordering::Less => return CopyComparison::PeerIsOlder,
            Ordering::Equal => {}
        }
        if peer_digest == self.digest {
            return CopyComparison::Same;
        }
        if peer_version > self.version {
            return CopyComparison::PeerIsNewer;
        }
        // Nothing changed here since `changed`, so a peer that has all changes
        // up to that version or a later one must have the same contents.
        match peer_version >= self.changed {
            true => CopyComparison::Conflict,
            false => CopyComparison::PeerIsOlder,
        }
    }
}
