use std::time::Duration;

use mangostep_policy::{ReadState, ReadTimer};

use crate::at_ms;

const IDLE: Duration = Duration::from_secs(15);
const HEAD: Duration = Duration::from_secs(3);

/// A caller reuses a connection that was idle for longer than the head
/// timeout; the head arrives in two parts.
#[test]
fn idle_time_does_not_count_toward_the_head_timeout() {
    let mut timer = ReadTimer::open(at_ms(0));
    timer.set(ReadState::Idle, at_ms(10_000));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(10_000)));
    timer.set(ReadState::Head, at_ms(10_001));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(10_002)));
    assert!(timer.is_expired(IDLE, HEAD, at_ms(13_002)));
}

#[test]
fn idle_connection_is_closed_after_the_idle_timeout() {
    let timer = ReadTimer::open(at_ms(0));
    assert!(!timer.is_expired(IDLE, HEAD, at_ms(15_000)));
    assert!(timer.is_expired(IDLE, HEAD, at_ms(15_001)));
}

/// A caller announced a long body and sent nothing more: the memory for it stayed
/// reserved.
#[test]
fn body_that_stops_is_given_up_after_the_idle_timeout() {
    let mut timer = ReadTimer::open(at_ms(0));
    for second in 0..60 {
        timer.set(ReadState::Body(second), at_ms(second * 1_000));
        assert!(!timer.is_expired(IDLE, HEAD, at_ms(second * 1_000 + 999)));
    }
    timer.set(ReadState::Body(59), at_ms(70_000));
    assert!(timer.is_expired(IDLE, HEAD, at_ms(74_001)));
}
