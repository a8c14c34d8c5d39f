use std::fmt;

use serde::{Deserialize, Serialize};

/// A version of the store within one of its eras.
///
/// An era begins when the store returns from an older copy of itself and has
/// lost the writes after that copy. It then gives out the versions of these
/// writes again. So versions are compared by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of times that the store has lost writes.
    pub era: u64,
    /// Counter of the store's transactions.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        StoreVersion { era, number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
