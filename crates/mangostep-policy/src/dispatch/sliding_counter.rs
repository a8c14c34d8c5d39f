use std::time::Duration;

use crate::MonotonicTime;

/// Number of one-second buckets; twice the longest budget window.
const BUCKETS: usize = 32;

/// Shortest time over which a rate is computed: a few requests of a busy host.
const RATE_SPAN_MIN: Duration = Duration::from_millis(250);

/// Counts events in sliding windows with a resolution of one second.
#[derive(Clone, Debug)]
pub struct SlidingCounter {
    counts: [u32; BUCKETS],
    /// Second of the latest update.
    latest: u64,
    /// Time of the first event.
    first: Option<MonotonicTime>,
}

impl Default for SlidingCounter {
    fn default() -> Self {
        SlidingCounter {
            counts: [0; BUCKETS],
            latest: 0,
            first: None,
        }
    }
}

impl SlidingCounter {
    /// Counts one event at `now`.
    pub fn add(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.first.get_or_insert(now);
        self.counts[bucket_of(self.latest)] += 1;
    }

    /// Number of events in the last `span`, which is limited to 30 seconds.
    pub fn count(&mut self, now: MonotonicTime, span: Duration) -> u32 {
        self.advance(now);
        self.count_at(now, span)
    }

    /// Like [`SlidingCounter::count`], without discarding outdated buckets.
    pub fn count_at(&self, now: MonotonicTime, span: Duration) -> u32 {
        let current = now.as_micros() / 1_000_000;
        let first = current.saturating_sub(span.as_secs().clamp(1, BUCKETS as u64 - 2));
        (first..=current.min(self.latest))
            .map(|second| self.counts[bucket_of(second)])
            .sum()
    }

    /// Events per second over the last `span`, or since the first event if
    /// that is more recent.
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
        let stale = (second - self.latest).min(BUCKETS as u64);
        for offset in 0..stale {
            self.counts[bucket_of(second - offset)] = 0;
        }
        self.latest = second;
    }
}

fn bucket_of(second: u64) -> usize {
    (second % BUCKETS as u64) as usize
}
