/// Where a host that is behind reads a change from first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// From the host that told of it, which costs the store nothing.
    Host,
    /// From the store, whose link is far wider than that of a host.
    Store,
}

/// Bytes that one host sends to the others of its zone for one change. The
/// smallest hosts have links of 10 Mbit/s, which carry this in half a second,
/// a quarter of the time in which a change must be in force.
const HOST_BYTES_MAX: usize = 600_000;

impl CopySource {
    /// The source of a change of so many bytes that `readers` hosts read at
    /// once.
    pub fn of(bytes: usize, readers: usize) -> Self {
        match bytes.saturating_mul(readers) <= HOST_BYTES_MAX {
            true => CopySource::Host,
            false => CopySource::Store,
        }
    }
}
