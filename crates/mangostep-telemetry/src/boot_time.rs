/// Returns the microseconds since the machine booted, including the time for
/// which it was suspended.
pub fn boot_time_micros() -> u64 {
    let mut spec = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `spec` is a valid timespec for the duration of the call.
    let code = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut spec) };
    assert_eq!(code, 0, "CLOCK_BOOTTIME is always available on Linux");
    let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}
