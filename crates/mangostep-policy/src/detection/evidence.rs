use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    MonotonicTime, OutcomeKind,
    detection::{DetectionSettings, reference::FaultShares},
};

/// Class of one request as evidence about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleClass {
    Good,
    Bad(FaultKind),
    /// Gives no evidence, such as a request whose caller disconnected early.
    Neutral,
}

/// Kind of fault that a request shows at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FaultKind {
    Errors,
    Refusals,
    ConnectFailures,
    TruncatedAnswers,
    Timeouts,
    WrongAnswers,
    Slow,
    VerySlow,
}

impl FaultKind {
    pub(crate) const COUNT: usize = 8;

    /// Fault kind of an outcome; `None` if the outcome is no failure.
    pub(crate) fn of(outcome: OutcomeKind) -> Option<FaultKind> {
        match outcome {
            OutcomeKind::ServerError => Some(FaultKind::Errors),
            OutcomeKind::Refused => Some(FaultKind::Refusals),
            OutcomeKind::ConnectFailed => Some(FaultKind::ConnectFailures),
            OutcomeKind::CutAnswer => Some(FaultKind::TruncatedAnswers),
            OutcomeKind::Timeout => Some(FaultKind::Timeouts),
            OutcomeKind::WrongAnswer => Some(FaultKind::WrongAnswers),
            _ => None,
        }
    }

    /// Reason in verdicts, and label value of counters.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            FaultKind::Errors => "errors",
            FaultKind::Refusals => "refusals",
            FaultKind::ConnectFailures => "connect-failures",
            FaultKind::TruncatedAnswers => "cut-answers",
            FaultKind::Timeouts => "timeouts",
            FaultKind::WrongAnswers => "wrong-answers",
            FaultKind::Slow | FaultKind::VerySlow => "slow",
        }
    }

    /// Expected share of requests with this fault at a healthy server.
    fn healthy_share(self) -> f64 {
        match self {
            FaultKind::Errors => 0.01,
            FaultKind::Refusals => 0.05,
            FaultKind::ConnectFailures => 0.005,
            FaultKind::TruncatedAnswers => 0.003,
            FaultKind::Timeouts => 0.0003,
            FaultKind::WrongAnswers => 0.0001,
            FaultKind::Slow => 0.05,
            FaultKind::VerySlow => 0.01,
        }
    }
}

/// If the weighted share of bad requests at the other servers reaches this
/// bound, a sample gives no evidence about a single server.
const OTHERS_FAULT_SHARE_MAX: f64 = 0.25;

/// Factor by which the fault shares of the other servers are weighted.
const OTHERS_SHARE_FACTOR: f64 = 1.5;

/// Fractions of `slow_share` that are expected as slow and as very slow
/// answers of a slow server.
const SLOW_FRACTION: f64 = 2.0 / 3.0;
const VERY_SLOW_FRACTION: f64 = 4.0 / 9.0;

/// Evidence against a server, collected since its scores were last zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultEvidence {
    /// Score of the hypothesis that a share of the requests fails.
    partial_score: f64,
    /// Score of the hypothesis that nearly all requests fail, which takes only
    /// a few requests to detect.
    total_score: f64,
    fault_samples: u32,
    since: Option<MonotonicTime>,
    sources: BTreeMap<String, SourceTally>,
    kinds: BTreeMap<FaultKind, f64>,
    /// Start time and source of the latest good requests.
    recent_good: VecDeque<(MonotonicTime, String)>,
}

/// Evidence with fewer bad requests must cover `sparse_span`.
const DENSE_SAMPLES_MIN: u32 = 3;

/// Bound on the good requests that are stored because evidence may later be
/// extended back to before they began.
const RECENT_GOOD_MAX: usize = 128;

/// Contribution of one source to the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SourceTally {
    pub(crate) score: f64,
    pub(crate) samples: u32,
}

/// A classified request that is added to the evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoredSample<'s> {
    pub(crate) source: &'s str,
    pub(crate) class: SampleClass,
    pub(crate) began: MonotonicTime,
}

impl FaultEvidence {
    pub(crate) fn score(&self) -> f64 {
        self.partial_score.max(self.total_score)
    }

    pub(crate) fn sources(&self) -> &BTreeMap<String, SourceTally> {
        &self.sources
    }

    pub(crate) fn span(&self, now: MonotonicTime) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether the evidence suffices for an ejection: its score reaches
    /// `threshold` and it covers the required time.
    pub(crate) fn is_conclusive(
        &self,
        now: MonotonicTime,
        threshold: f64,
        settings: &DetectionSettings,
    ) -> bool {
        let is_sparse = self.fault_samples < DENSE_SAMPLES_MIN;
        let span = match is_sparse {
            true => settings.sparse_span,
            false => settings.evidence_span,
        };
        self.score() >= threshold && self.span(now) >= span
    }

    /// Reason of the fault kind that contributes most to the score.
    pub(crate) fn reason(&self) -> &'static str {
        let largest = self.kinds.iter().max_by(|a, b| a.1.total_cmp(b.1));
        largest.map_or("errors", |(kind, _)| kind.reason())
    }

    pub(crate) fn clear(&mut self) {
        *self = FaultEvidence {
            recent_good: std::mem::take(&mut self.recent_good),
            ..Default::default()
        };
    }

    /// Adds one request; a good one that lowers both scores to zero clears the
    /// evidence.
    pub(crate) fn add(&mut self, sample: ScoredSample<'_>, ratio: LogLikelihoodRatio, cap: f64) {
        if sample.class == SampleClass::Good {
            self.record_good(sample);
        }
        let partial_score = (self.partial_score + ratio.partial).clamp(0.0, cap);
        let total_score = (self.total_score + ratio.total).clamp(0.0, cap);
        if sample.class == SampleClass::Good && partial_score.max(total_score) <= 0.0 {
            self.clear();
            return;
        }
        if let SampleClass::Bad(kind) = sample.class {
            self.extend_back_to(sample.began);
            self.fault_samples += 1;
            *self.kinds.entry(kind).or_default() += ratio.partial;
        }
        if self.since.is_some() {
            self.partial_score = partial_score;
            self.total_score = total_score;
            let log_ratio = match sample.class {
                SampleClass::Bad(_) => ratio.partial.max(ratio.total),
                _ => ratio.partial,
            };
            self.add_to_source(sample.source, log_ratio);
        }
    }

    fn record_good(&mut self, sample: ScoredSample<'_>) {
        if self.recent_good.len() >= RECENT_GOOD_MAX {
            self.recent_good.pop_front();
        }
        self.recent_good
            .push_back((sample.began, sample.source.to_owned()));
    }

    /// Moves the start of the evidence back to the start of a bad request.
    ///
    /// Good requests that began after the bad one and ended before it count as
    /// samples of their sources: they show that the server answers requests
    /// on the paths from these sources.
    fn extend_back_to(&mut self, began: MonotonicTime) {
        if self.since.is_some_and(|since| since <= began) {
            return;
        }
        let until = self.since.unwrap_or(MonotonicTime::MAX);
        self.since = Some(began);
        let is_after_start = |good: &&(MonotonicTime, String)| good.0 > began && good.0 < until;
        let sources: Vec<String> = self
            .recent_good
            .iter()
            .filter(is_after_start)
            .map(|(_, source)| source.clone())
            .collect();
        for source in sources {
            self.add_to_source(&source, 0.0);
        }
    }

    fn add_to_source(&mut self, source: &str, log_ratio: f64) {
        if !self.sources.contains_key(source) {
            let tally = SourceTally::default();
            self.sources.insert(source.to_owned(), tally);
        }
        if let Some(tally) = self.sources.get_mut(source) {
            tally.score += log_ratio;
            tally.samples += 1;
        }
    }
}

/// Logarithm of how much more likely an outcome is at a failing server than
/// at a healthy one, for each of the two scores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LogLikelihoodRatio {
    /// For a server at which a share of the requests fails.
    partial: f64,
    /// For a server at which nearly all requests fail.
    total: f64,
}

/// Expected share of bad requests at a server that fails nearly all of them.
const TOTAL_FAILURE_SHARE: f64 = 0.9;

/// Weighs the failure or success of a request against the fault shares of the
/// cell's other servers.
pub(crate) fn failure_log_ratio(
    class: SampleClass,
    others: &FaultShares,
    settings: &DetectionSettings,
) -> LogLikelihoodRatio {
    let others_share = OTHERS_SHARE_FACTOR * others.total();
    if others_share >= OTHERS_FAULT_SHARE_MAX {
        return LogLikelihoodRatio::default();
    }
    let healthy = FaultKind::Errors.healthy_share() + others_share;
    let failing = settings.gray_share.max(3.0 * healthy);
    match class {
        SampleClass::Bad(kind) => {
            let healthy = healthy_share(kind, others);
            LogLikelihoodRatio {
                partial: (failing / healthy).max(1.0).ln(),
                total: (TOTAL_FAILURE_SHARE / healthy).max(1.0).ln(),
            }
        }
        SampleClass::Good => LogLikelihoodRatio {
            partial: ((1.0 - failing) / (1.0 - healthy)).ln(),
            total: ((1.0 - TOTAL_FAILURE_SHARE) / (1.0 - healthy)).ln(),
        },
        SampleClass::Neutral => LogLikelihoodRatio::default(),
    }
}

/// Weighs the latency of a request against the shares of slow answers at the
/// cell's other servers.
pub(crate) fn slowness_log_ratio(
    class: SampleClass,
    others: &FaultShares,
    settings: &DetectionSettings,
) -> LogLikelihoodRatio {
    let others_share = OTHERS_SHARE_FACTOR * others.total();
    if others_share >= OTHERS_FAULT_SHARE_MAX {
        return LogLikelihoodRatio::default();
    }
    let bad = |kind, fraction: f64| {
        let expected = fraction * settings.slow_share;
        (expected / healthy_share(kind, others)).max(1.0).ln()
    };
    let partial = match class {
        SampleClass::Bad(FaultKind::VerySlow) => bad(FaultKind::VerySlow, VERY_SLOW_FRACTION),
        SampleClass::Bad(kind) => bad(kind, SLOW_FRACTION),
        SampleClass::Good => {
            let healthy = FaultKind::Slow.healthy_share() + others_share;
            ((1.0 - settings.slow_share) / (1.0 - healthy))
                .min(1.0)
                .ln()
        }
        SampleClass::Neutral => 0.0,
    };
    LogLikelihoodRatio {
        partial,
        total: 0.0,
    }
}

fn healthy_share(kind: FaultKind, others: &FaultShares) -> f64 {
    kind.healthy_share() + OTHERS_SHARE_FACTOR * others.of(kind)
}
