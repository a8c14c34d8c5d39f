use std::{collections::VecDeque, time::Duration};

use crate::{
    MonotonicTime,
    detection::evidence::{BadKind, SampleClass},
};

/// Latencies of a server that are looked at.
const WINDOW: Duration = Duration::from_secs(3);
const WINDOW_ANSWERS: usize = 128;

/// Fewer answers than this give no percentile.
const ANSWERS_MIN: usize = 8;

/// Time after which a past request counts for a third.
const SHARE_LIFE: Duration = Duration::from_secs(2);

/// Latencies of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnswerLatency {
    pub(crate) header: Duration,
    pub(crate) total: Duration,
}

/// The latest latencies of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyWindow {
    answers: VecDeque<(MonotonicTime, AnswerLatency)>,
}

impl LatencyWindow {
    pub(crate) fn push(&mut self, now: MonotonicTime, latency: AnswerLatency) {
        if self.answers.len() >= WINDOW_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((now, latency));
    }

    /// The 90th percentile, if there are enough recent answers.
    pub(crate) fn percentile(&mut self, now: MonotonicTime) -> Option<AnswerLatency> {
        while let Some((at, _)) = self.answers.front()
            && now.since(*at) > WINDOW
        {
            self.answers.pop_front();
        }
        if self.answers.len() < ANSWERS_MIN {
            return None;
        }
        Some(AnswerLatency {
            header: self.percentile_of(|latency| latency.header),
            total: self.percentile_of(|latency| latency.total),
        })
    }

    fn percentile_of(&self, part: impl Fn(&AnswerLatency) -> Duration) -> Duration {
        let mut values: Vec<_> = self
            .answers
            .iter()
            .map(|(_, latency)| part(latency))
            .collect();
        let place = values.len() * 9 / 10;
        *values.select_nth_unstable(place).1
    }
}

/// Shares of requests that went wrong in the last seconds, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentShares {
    bad: [f64; BadKind::COUNT],
    all: f64,
    at: MonotonicTime,
}

impl RecentShares {
    pub(crate) fn add(&mut self, now: MonotonicTime, class: SampleClass) {
        self.fade(now);
        match class {
            SampleClass::Neutral => return,
            SampleClass::Good => {}
            SampleClass::Bad(kind) => self.bad[kind as usize] += 1.0,
        }
        self.all += 1.0;
    }

    /// The shares at `now`; none when hardly a request came.
    pub(crate) fn shares(&mut self, now: MonotonicTime) -> Option<KindShares> {
        self.fade(now);
        let millionths = |bad: f64| (bad / self.all * 1e6) as u64;
        (self.all >= 1.0).then(|| KindShares(self.bad.map(millionths)))
    }

    fn fade(&mut self, now: MonotonicTime) {
        let left = (-now.since(self.at).as_secs_f64() / SHARE_LIFE.as_secs_f64()).exp();
        self.bad.iter_mut().for_each(|bad| *bad *= left);
        self.all *= left;
        self.at = now;
    }
}

/// Shares of requests that went wrong, by kind, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KindShares([u64; BadKind::COUNT]);

impl KindShares {
    /// The share of one kind.
    pub(crate) fn of(&self, kind: BadKind) -> f64 {
        self.0[kind as usize] as f64 / 1e6
    }

    /// The share of all kinds together.
    pub(crate) fn total(&self) -> f64 {
        self.0.iter().sum::<u64>() as f64 / 1e6
    }

    /// The medians of the others' shares, for each place.
    pub(crate) fn of_others(own: &[Option<KindShares>]) -> Vec<KindShares> {
        let mut others = vec![KindShares::default(); own.len()];
        for kind in 0..BadKind::COUNT {
            let shares: Vec<_> = own.iter().map(|own| own.map(|own| own.0[kind])).collect();
            for (other, median) in others.iter_mut().zip(medians_of_others(&shares)) {
                other.0[kind] = median.unwrap_or(0);
            }
        }
        others
    }
}

/// The median of the others' values, for each place.
///
/// One server that is bad itself hardly moves it.
pub(crate) fn medians_of_others<T: Copy + Ord>(values: &[Option<T>]) -> Vec<Option<T>> {
    let mut sorted: Vec<T> = values.iter().copied().flatten().collect();
    sorted.sort_unstable();
    let median = |own: Option<T>| {
        let Some(own) = own else {
            return sorted.get(sorted.len() / 2).copied();
        };
        let place = sorted.partition_point(|value| *value < own);
        let middle = (sorted.len() - 1) / 2;
        let skipped = usize::from(place <= middle);
        sorted
            .get(middle + skipped)
            .copied()
            .filter(|_| sorted.len() > 1)
    };
    values.iter().map(|own| median(*own)).collect()
}
