use std::{collections::VecDeque, time::Duration};

use crate::{
    MonotonicTime,
    detection::evidence::{FaultKind, SampleClass},
};

/// Bounds on the age and the number of the latencies in a percentile.
const LATENCY_WINDOW: Duration = Duration::from_secs(3);
const LATENCY_WINDOW_ANSWERS_MAX: usize = 128;

/// Fewest answers from which a percentile is computed.
const PERCENTILE_ANSWERS_MIN: usize = 8;

/// Time in which the weight of a past request decays to `1/e`.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Times from the start of a request to the header and the end of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnswerLatency {
    pub(crate) header: Duration,
    pub(crate) total: Duration,
}

/// Sliding window of the latencies of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyWindow {
    answers: VecDeque<(MonotonicTime, AnswerLatency)>,
}

impl LatencyWindow {
    pub(crate) fn push(&mut self, now: MonotonicTime, latency: AnswerLatency) {
        if self.answers.len() >= LATENCY_WINDOW_ANSWERS_MAX {
            self.answers.pop_front();
        }
        self.answers.push_back((now, latency));
    }

    /// The 90th percentile; `None` if there are too few recent answers.
    pub(crate) fn percentile(&mut self, now: MonotonicTime) -> Option<AnswerLatency> {
        while let Some((at, _)) = self.answers.front()
            && now.since(*at) > LATENCY_WINDOW
        {
            self.answers.pop_front();
        }
        if self.answers.len() < PERCENTILE_ANSWERS_MIN {
            return None;
        }
        Some(AnswerLatency {
            header: self.percentile_of(|latency| latency.header),
            total: self.percentile_of(|latency| latency.total),
        })
    }

    fn percentile_of(&self, component: impl Fn(&AnswerLatency) -> Duration) -> Duration {
        let mut values: Vec<_> = self
            .answers
            .iter()
            .map(|(_, latency)| component(latency))
            .collect();
        let rank = values.len() * 9 / 10;
        *values.select_nth_unstable(rank).1
    }
}

/// Exponentially decaying counts of requests, by fault kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentFaultShares {
    bad: [f64; FaultKind::COUNT],
    all: f64,
    at: MonotonicTime,
}

impl RecentFaultShares {
    pub(crate) fn add(&mut self, now: MonotonicTime, class: SampleClass) {
        self.decay(now);
        match class {
            SampleClass::Neutral => return,
            SampleClass::Good => {}
            SampleClass::Bad(kind) => self.bad[kind as usize] += 1.0,
        }
        self.all += 1.0;
    }

    /// The shares at `now`; `None` if the decayed request count is below 1.
    pub(crate) fn shares(&mut self, now: MonotonicTime) -> Option<FaultShares> {
        self.decay(now);
        let millionths = |bad: f64| (bad / self.all * 1e6) as u64;
        (self.all >= 1.0).then(|| FaultShares(self.bad.map(millionths)))
    }

    fn decay(&mut self, now: MonotonicTime) {
        let factor = (-now.since(self.at).as_secs_f64() / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        self.bad.iter_mut().for_each(|bad| *bad *= factor);
        self.all *= factor;
        self.at = now;
    }
}

/// Shares of requests with each kind of fault, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FaultShares([u64; FaultKind::COUNT]);

impl FaultShares {
    pub(crate) fn of(&self, kind: FaultKind) -> f64 {
        self.0[kind as usize] as f64 / 1e6
    }

    /// Sum of the shares of all kinds.
    pub(crate) fn total(&self) -> f64 {
        self.0.iter().sum::<u64>() as f64 / 1e6
    }

    /// For each server, the median of the shares of the other servers.
    pub(crate) fn of_others(own: &[Option<FaultShares>]) -> Vec<FaultShares> {
        let mut others = vec![FaultShares::default(); own.len()];
        for kind in 0..FaultKind::COUNT {
            let shares: Vec<_> = own.iter().map(|own| own.map(|own| own.0[kind])).collect();
            for (other, median) in others.iter_mut().zip(medians_of_others(&shares)) {
                other.0[kind] = median.unwrap_or(0);
            }
        }
        others
    }
}

/// For each server, the median of the values of the other servers.
///
/// The median is used because a single failing server hardly shifts it.
pub(crate) fn medians_of_others<T: Copy + Ord>(values: &[Option<T>]) -> Vec<Option<T>> {
    let mut sorted: Vec<T> = values.iter().copied().flatten().collect();
    sorted.sort_unstable();
    let median = |own: Option<T>| {
        let Some(own) = own else {
            return sorted.get(sorted.len() / 2).copied();
        };
        let rank = sorted.partition_point(|value| *value < own);
        let middle = (sorted.len() - 1) / 2;
        let offset = usize::from(rank <= middle);
        sorted
            .get(middle + offset)
            .copied()
            .filter(|_| sorted.len() > 1)
    };
    values.iter().map(|own| median(*own)).collect()
}
