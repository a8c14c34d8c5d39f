use std::time::Duration;

use mangostep_policy::{ReadState, ReadTimer};

use crate::at_ms;

const IDLE: Duration = Duration::from_secs(15);
const HEAD: Duration = Duration::from_secs(3);

/// A caller reuses a connection that was idle for longer than a head may
/// take; its head arrives in two parts.
#[test]
fn an_idle_connection_is_not_closed_at_the_first_part_of_a_head() {
    let mut timer = ReadTimer::open(at_ms(0));
    timer.set(ReadState::Idle, at_ms(10_000));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(10_000)));
    timer.set(ReadState::Head, at_ms(10_001));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(10_002)));
    assert!(timer.is_expired(IDLE, HEAD, at_ms(13_002)));
}

#[test]
fn a_connection_without_requests_is_closed_after_the_idle_time() {
    let timer = ReadTimer::open(at_ms(0));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(15_000)));
    assert!(timer.is_expired(IDLE, HEAD, at_ms(15_001)));
}
