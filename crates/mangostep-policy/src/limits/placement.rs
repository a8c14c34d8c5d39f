use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lease::{HOMES_PER_SHARD, SHARD_COUNT, shard_name};

/// [`HOMES_PER_SHARD`] as the type of a home's index.
pub(crate) const HOMES_MAX: u8 = HOMES_PER_SHARD as u8;

const SHARD_SEED: u64 = 1;
const ROTATION_SEED: u64 = 2;

/// Identifies one limit home of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeKey {
    /// Index of the shard, below [`SHARD_COUNT`](crate::SHARD_COUNT).
    pub shard: u16,
    /// Index of the home within the shard, below [`HOMES_PER_SHARD`](crate::HOMES_PER_SHARD).
    pub index: u8,
}

impl HomeKey {
    /// Name of the lease resource that the host holding the home leases.
    ///
    /// # Example
    ///
    /// ```
    /// use mangostep_policy::HomeKey;
    ///
    /// assert_eq!(HomeKey { shard: 7, index: 0 }.resource(), "shard/7/0");
    /// ```
    pub fn resource(self) -> String {
        shard_name(self.shard, usize::from(self.index))
    }

    /// Parses a resource name; `None` when it names no limit home.
    ///
    /// # Example
    ///
    /// ```
    /// use mangostep_policy::HomeKey;
    ///
    /// assert_eq!(HomeKey::parse("shard/7/2"), Some(HomeKey { shard: 7, index: 2 }));
    /// assert_eq!(HomeKey::parse("cell/ledger/a"), None);
    /// ```
    pub fn parse(resource: &str) -> Option<Self> {
        let (shard, index) = resource.strip_prefix("shard/")?.split_once('/')?;
        let home = HomeKey {
            shard: shard.parse().ok()?,
            index: index.parse().ok()?,
        };
        (home.shard < SHARD_COUNT && home.index < HOMES_MAX).then_some(home)
    }
}

/// Returns the shard that a limited name hashes into.
///
/// # Example
///
/// ```
/// use mangostep_policy::{SHARD_COUNT, shard_of};
///
/// assert!(shard_of("w:repairs") < SHARD_COUNT);
/// ```
pub fn shard_of(name: &str) -> u16 {
    let hash = xxh3_64_with_seed(name.as_bytes(), SHARD_SEED);
    u16::try_from(hash % u64::from(SHARD_COUNT)).unwrap_or(0)
}

/// Returns the indices of the `count` homes that hold a share of a name.
///
/// The first index depends on the name, so that the load of names with fewer
/// homes than the shard spreads over all of them.
pub(crate) fn home_indices(name: &str, count: u8) -> impl Iterator<Item = u8> + use<> {
    let hash = xxh3_64_with_seed(name.as_bytes(), ROTATION_SEED);
    let first = u8::try_from(hash % u64::from(HOMES_MAX)).unwrap_or(0);
    (0..count.min(HOMES_MAX)).map(move |offset| (first + offset) % HOMES_MAX)
}
