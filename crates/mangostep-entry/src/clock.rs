use mangostep_policy::MonotonicTime;

/// The host's monotonic clock, which counts the time that the machine is
/// suspended.
pub(crate) fn now() -> MonotonicTime {
    MonotonicTime::from_micros(mangostep_telemetry::boot_time_micros())
}

/// Milliseconds since 1970 by the wall clock; only for names of incarnations.
pub(crate) fn wall_ms() -> u64 {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    wall.map_or(0, |wall| {
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    })
}
