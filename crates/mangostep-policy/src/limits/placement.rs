use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lease::{HOMES_PER_SHARD, SHARD_COUNT, shard_name};

/// Homes of one shard at most.
pub(crate) const HOMES_MAX: u8 = HOMES_PER_SHARD as u8;

const SHARD_SEED: u64 = 1;
const ROTATION_SEED: u64 = 2;

/// One home of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeKey {
    /// Number of the shard, below [`SHARD_COUNT`](crate::SHARD_COUNT).
    pub shard: u16,
    /// Number of the home within the shard, below [`HOMES_PER_SHARD`](crate::HOMES_PER_SHARD).
    pub index: u8,
}

impl HomeKey {
    /// The name of the resource that the home's holder leases.
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

    /// Reads the name of a resource; none when it names something else.
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

/// The shard of a name.
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

/// The homes that hold a share of a name, of which there are `count`.
///
/// Names with fewer homes than the shard start at different ones, so that
/// their load spreads.
pub(crate) fn home_indices(name: &str, count: u8) -> impl Iterator<Item = u8> + use<> {
    let hash = xxh3_64_with_seed(name.as_bytes(), ROTATION_SEED);
    let first = u8::try_from(hash % u64::from(HOMES_MAX)).unwrap_or(0);
    (0..count.min(HOMES_MAX)).map(move |step| (first + step) % HOMES_MAX)
}
