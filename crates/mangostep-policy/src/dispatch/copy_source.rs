use std::time::Duration;

/// Where a host that is behind reads a change from first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// From the host that told of it, which costs the store nothing.
    Host,
    /// From the store, whose link is far wider than that of a host.
    Store,
}

/// Longest time that a host's link may be taken by one change: a quarter of the
/// time in which a change must be in force.
const LINK_TIME: Duration = Duration::from_millis(500);

impl CopySource {
    /// The source of a change of so many bytes that `readers` hosts read at
    /// once from `sources` hosts with links of `link_mbps` each.
    pub fn select(bytes: usize, readers: usize, sources: usize, link_mbps: u32) -> Self {
        let bytes = bytes as f64 * readers as f64 / sources.max(1) as f64;
        let bytes_per_s = f64::from(link_mbps) * 1e6 / 8.0;
        match bytes <= bytes_per_s * LINK_TIME.as_secs_f64() {
            true => CopySource::Host,
            false => CopySource::Store,
        }
    }
}
