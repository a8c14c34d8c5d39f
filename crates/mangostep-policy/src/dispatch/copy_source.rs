use std::time::Duration;

/// Source from which a host that is behind first reads a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// The peer that announced the change, at no cost to the store.
    Host,
    /// The store, whose link is much wider than that of a host.
    Store,
}

impl CopySource {
    /// Label of the source in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CopySource::Host => "host",
            CopySource::Store => "store",
        }
    }
}

/// Longest time for which one change may occupy a host's link: a quarter of
/// the time within which a change must be in force.
const LINK_TIME_MAX: Duration = Duration::from_millis(500);

impl CopySource {
    /// Selects the source of a change of `bytes` bytes that `readers` hosts
    /// read at the same time from `sources` hosts with links of `link_mbps`
    /// each.
    pub fn select(bytes: usize, readers: usize, sources: usize, link_mbps: u32) -> Self {
        match Self::link_time(bytes, readers, sources, link_mbps) <= LINK_TIME_MAX {
            true => CopySource::Host,
            false => CopySource::Store,
        }
    }

    /// Estimated time for which such a change occupies the link of each of the
    /// hosts that it is read from.
    pub fn link_time(bytes: usize, readers: usize, sources: usize, link_mbps: u32) -> Duration {
        let bytes = bytes as f64 * readers as f64 / sources.max(1) as f64;
        let bytes_per_s = f64::from(link_mbps.max(1)) * 1e6 / 8.0;
        Duration::try_from_secs_f64(bytes / bytes_per_s).unwrap_or(Duration::MAX)
    }
}
