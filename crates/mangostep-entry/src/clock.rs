use mangostep_policy::MonotonicTime;

/// Current time of the host's monotonic clock, which includes the time for
/// which the machine is suspended.
pub(crate) fn now() -> MonotonicTime {
    MonotonicTime::from_micros(mangostep_telemetry::boot_time_micros())
}

/// Milliseconds since the Unix epoch on the wall clock. Used only for
/// incarnation numbers.
pub(crate) fn wall_clock_ms() -> u64 {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    wall.map_or(0, |wall| {
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    })
}
