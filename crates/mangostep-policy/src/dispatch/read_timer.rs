use std::time::Duration;

use crate::MonotonicTime;

/// What a caller's connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// The first byte of a request.
    Idle,
    /// The rest of a request head.
    Head,
    /// The rest of a body, of which so many bytes have been received. Memory is
    /// reserved for the whole body.
    Body(u64),
    /// A response.
    Busy,
}

/// Read timeout of a caller's connection.
///
/// The timeout of a head counts from its first byte, however long the
/// connection was idle before.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimer {
    state: ReadState,
    since: MonotonicTime,
}

impl ReadTimer {
    /// Starts the timer of a new connection, which is idle.
    pub fn open(now: MonotonicTime) -> Self {
        ReadTimer {
            state: ReadState::Idle,
            since: now,
        }
    }

    /// Sets the connection's state. The timer restarts only if the state
    /// changes.
    pub fn set(&mut self, state: ReadState, now: MonotonicTime) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Whether the connection has waited for longer than `idle` without a
    /// request or the next byte of a body, or `head` within a request head, and
    /// must be closed.
    pub fn is_expired(&self, idle: Duration, head: Duration, now: MonotonicTime) -> bool {
        let age = now.since(self.since);
        match self.state {
            ReadState::Idle => age > idle,
            ReadState::Head => age > head,
            ReadState::Body(_) => age > idle,
            ReadState::Busy => false,
        }
    }
}
