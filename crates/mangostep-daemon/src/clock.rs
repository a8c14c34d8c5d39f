use crate::prelude::*;

/// Reads the host's monotonic clock, which counts suspension.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostClock;

impl HostClock {
    /// The present reading.
    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::from_micros(mangostep_telemetry::boot_time_micros())
    }
}
