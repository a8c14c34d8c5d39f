use std::time::Duration;

use crate::MonotonicTime;

/// Seconds that a window remembers; twice the longest budget window.
const SECONDS: usize = 32;

/// Shortest time over which a rate is told: a few requests of a busy host.
const RATE_SPAN_MIN: Duration = Duration::from_millis(250);

/// Counts events in sliding windows of whole seconds.
#[derive(Clone, Debug)]
pub struct SlidingCounter {
    counts: [u32; SECONDS],
    /// The second that was written last.
    latest: u64,
    /// When the first event was counted.
    first: Option<MonotonicTime>,
}

impl Default for SlidingCounter {
    fn default() -> Self {
        SlidingCounter {
            counts: [0; SECONDS],
            latest: 0,
            first: None,
        }
    }
}

impl SlidingCounter {
    /// Counts one event.
    pub fn add(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.first.get_or_insert(now);
        self.counts[slot_of(self.latest)] += 1;
    }

    /// Events in the last `span`, which is cut to 30 seconds.
    pub fn count(&mut self, now: MonotonicTime, span: Duration) -> u32 {
        self.advance(now);
        self.count_at(now, span)
    }

    /// Events in the last `span`, without taking note of the time.
    pub fn count_at(&self, now: MonotonicTime, span: Duration) -> u32 {
        let present = now.as_micros() / 1_000_000;
        let first = present.saturating_sub(span.as_secs().clamp(1, SECONDS as u64 - 2));
        (first..=present.min(self.latest))
            .map(|second| self.counts[slot_of(second)])
            .sum()
    }

    /// Events a second over the last `span`, or since the first event if that
    /// is later.
    pub fn rate(&mut self, now: MonotonicTime, span: Duration) -> f64 {
        let age = self.first.map_or(span, |first| now.since(first));
        let seconds = span.min(age).max(RATE_SPAN_MIN).as_secs_f64();
        f64::from(self.count(now, span)) / seconds
    }

    fn advance(&mut self, now: MonotonicTime) {
        let second = now.as_micros() / 1_000_000;
        if second <= self.latest {
            return;
        }
        let stale = (second - self.latest).min(SECONDS as u64);
        for back in 0..stale {
            self.counts[slot_of(second - back)] = 0;
        }
        self.latest = second;
    }
}

fn slot_of(second: u64) -> usize {
    (second % SECONDS as u64) as usize
}
