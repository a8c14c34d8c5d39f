use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A reading of one host's monotonic clock, in microseconds.
///
/// Readings of different hosts are not comparable. The clock includes the time
/// during which the machine is suspended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The origin of the clock, earlier than or equal to every reading.
    pub const ZERO: MonotonicTime = MonotonicTime(0);

    /// The latest reading that can be represented.
    pub const MAX: MonotonicTime = MonotonicTime(u64::MAX);

    /// Creates a reading from microseconds since the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        MonotonicTime(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, span: Duration) -> MonotonicTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonotonicTime(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn sub(self, span: Duration) -> MonotonicTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonotonicTime(self.0.saturating_sub(micros))
    }
}
