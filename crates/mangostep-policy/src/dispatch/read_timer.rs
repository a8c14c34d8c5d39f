use std::time::Duration;

use crate::MonotonicTime;

/// What a connection of a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a body, which the caller's deadline bounds, or an answer.
    Busy,
}

/// Tells when a connection of a caller took too long to send a request.
///
/// The time of a head counts from its first byte, however long the connection
/// was idle before.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimer {
    state: ReadState,
    since: MonotonicTime,
}

impl ReadTimer {
    /// Opens the timer of a new connection.
    pub fn open(now: MonotonicTime) -> Self {
        ReadTimer {
            state: ReadState::Idle,
            since: now,
        }
    }

    /// Takes note of what the connection waits for now.
    pub fn set(&mut self, state: ReadState, now: MonotonicTime) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Whether the connection is to be closed.
    pub fn is_expired(&self, idle: Duration, head: Duration, now: MonotonicTime) -> bool {
        let age = now.since(self.since);
        match self.state {
            ReadState::Idle => age > idle,
            ReadState::Head => age > head,
            ReadState::Busy => false,
        }
    }
}
