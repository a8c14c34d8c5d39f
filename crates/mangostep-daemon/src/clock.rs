use crate::prelude::*;

/// The host's monotonic clock, which includes time spent suspended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostClock;

impl HostClock {
    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::from_micros(mangostep_telemetry::boot_time_micros())
    }
}
