use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    MonotonicTime, OutcomeKind,
    detection::{DetectionSettings, reference::KindShares},
};

/// What one request says about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleClass {
    Good,
    Bad(BadKind),
    /// Says nothing, such as a caller that went away early.
    Neutral,
}

/// A way in which a request goes wrong at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BadKind {
    Errors,
    Refusals,
    ConnectFailures,
    CutAnswers,
    Timeouts,
    WrongAnswers,
    Slow,
    VerySlow,
}

impl BadKind {
    /// How many kinds there are.
    pub(crate) const COUNT: usize = 8;

    /// The kind of an outcome, if it is a failure.
    pub(crate) fn of(outcome: OutcomeKind) -> Option<BadKind> {
        match outcome {
            OutcomeKind::ServerError => Some(BadKind::Errors),
            OutcomeKind::Refused => Some(BadKind::Refusals),
            OutcomeKind::ConnectFailed => Some(BadKind::ConnectFailures),
            OutcomeKind::CutAnswer => Some(BadKind::CutAnswers),
            OutcomeKind::Timeout => Some(BadKind::Timeouts),
            OutcomeKind::WrongAnswer => Some(BadKind::WrongAnswers),
            _ => None,
        }
    }

    /// The word in verdicts and labels.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            BadKind::Errors => "errors",
            BadKind::Refusals => "refusals",
            BadKind::ConnectFailures => "connect-failures",
            BadKind::CutAnswers => "cut-answers",
            BadKind::Timeouts => "timeouts",
            BadKind::WrongAnswers => "wrong-answers",
            BadKind::Slow | BadKind::VerySlow => "slow",
        }
    }

    /// Share of requests that go wrong so at a healthy server.
    fn healthy_share(self) -> f64 {
        match self {
            BadKind::Errors => 0.01,
            BadKind::Refusals => 0.05,
            BadKind::ConnectFailures => 0.005,
            BadKind::CutAnswers => 0.003,
            BadKind::Timeouts => 0.0003,
            BadKind::WrongAnswers => 0.0001,
            BadKind::Slow => 0.05,
            BadKind::VerySlow => 0.01,
        }
    }
}

/// Share of bad requests at the other servers from which nothing is told
/// about one of them.
const INDISTINCT_SHARE: f64 = 0.25;

/// How much more the other servers' share counts than what was seen.
const SHARE_MARGIN: f64 = 1.5;

/// Parts of the slow answers of a slow server.
const SLOW_PART: f64 = 2.0 / 3.0;
const VERY_SLOW_PART: f64 = 4.0 / 9.0;

/// Evidence against a server since its score was last zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerEvidence {
    /// Against a server of which a share of the requests goes wrong.
    score: f64,
    /// Against a server of which nearly all do; few requests show it.
    total_score: f64,
    bad_samples: u32,
    since: Option<MonotonicTime>,
    sources: BTreeMap<String, SourceTally>,
    kinds: BTreeMap<BadKind, f64>,
    /// Good requests of the last seconds: when each began, and its source.
    recent_good: VecDeque<(MonotonicTime, String)>,
}

/// Fewer bad requests than this must stretch over a longer time.
const SPARSE_SAMPLES: u32 = 3;

/// Good requests that are kept for the evidence that may follow.
const RECENT_GOOD_MAX: usize = 128;

/// The part that one source has in the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SourceTally {
    pub(crate) score: f64,
    pub(crate) samples: u32,
}

/// One request as evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoredSample<'s> {
    pub(crate) source: &'s str,
    pub(crate) class: SampleClass,
    /// When the request began.
    pub(crate) began: MonotonicTime,
}

impl ServerEvidence {
    pub(crate) fn score(&self) -> f64 {
        self.score.max(self.total_score)
    }

    pub(crate) fn sources(&self) -> &BTreeMap<String, SourceTally> {
        &self.sources
    }

    pub(crate) fn span(&self, now: MonotonicTime) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether it asks for an ejection, or for another one in a trial.
    pub(crate) fn is_due(
        &self,
        now: MonotonicTime,
        threshold: f64,
        settings: &DetectionSettings,
    ) -> bool {
        let is_sparse = self.bad_samples < SPARSE_SAMPLES;
        let span = match is_sparse {
            true => settings.sparse_span,
            false => settings.evidence_span,
        };
        self.score() >= threshold && self.span(now) >= span
    }

    /// The reason with the largest part in the score.
    pub(crate) fn reason(&self) -> &'static str {
        let largest = self.kinds.iter().max_by(|a, b| a.1.total_cmp(b.1));
        largest.map_or("errors", |(kind, _)| kind.reason())
    }

    pub(crate) fn clear(&mut self) {
        *self = ServerEvidence {
            recent_good: std::mem::take(&mut self.recent_good),
            ..Default::default()
        };
    }

    /// Adds one request; a score that falls to zero clears the evidence.
    pub(crate) fn add(&mut self, sample: ScoredSample<'_>, ratio: SampleRatio, cap: f64) {
        if sample.class == SampleClass::Good {
            self.keep_good(sample);
        }
        let score = (self.score + ratio.share).clamp(0.0, cap);
        let total_score = (self.total_score + ratio.total).clamp(0.0, cap);
        if sample.class == SampleClass::Good && score.max(total_score) <= 0.0 {
            self.clear();
            return;
        }
        if let SampleClass::Bad(kind) = sample.class {
            self.note_bad(sample.began);
            self.bad_samples += 1;
            *self.kinds.entry(kind).or_default() += ratio.share;
        }
        if self.since.is_some() {
            self.score = score;
            self.total_score = total_score;
            let part = match sample.class {
                SampleClass::Bad(_) => ratio.share.max(ratio.total),
                _ => ratio.share,
            };
            self.tally(sample.source, part);
        }
    }

    fn keep_good(&mut self, sample: ScoredSample<'_>) {
        if self.recent_good.len() >= RECENT_GOOD_MAX {
            self.recent_good.pop_front();
        }
        self.recent_good
            .push_back((sample.began, sample.source.to_owned()));
    }

    /// Moves the start of the evidence back to where a bad request began.
    ///
    /// Requests that began later and ended well before it was given up speak
    /// for the server on the paths of their sources.
    fn note_bad(&mut self, began: MonotonicTime) {
        if self.since.is_some_and(|since| since <= began) {
            return;
        }
        let until = self.since.unwrap_or(MonotonicTime::MAX);
        self.since = Some(began);
        let later = |good: &&(MonotonicTime, String)| good.0 > began && good.0 < until;
        let sources: Vec<String> = self
            .recent_good
            .iter()
            .filter(later)
            .map(|(_, source)| source.clone())
            .collect();
        for source in sources {
            self.tally(&source, 0.0);
        }
    }

    fn tally(&mut self, source: &str, ratio: f64) {
        if !self.sources.contains_key(source) {
            let tally = SourceTally::default();
            self.sources.insert(source.to_owned(), tally);
        }
        if let Some(tally) = self.sources.get_mut(source) {
            tally.score += ratio;
            tally.samples += 1;
        }
    }
}

/// What one request adds to the two scores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SampleRatio {
    /// If a share of the requests goes wrong.
    share: f64,
    /// If nearly all go wrong.
    total: f64,
}

/// Share of bad requests at a server that does nearly nothing right.
const TOTAL_FAILURE: f64 = 0.9;

/// The logarithm of how much likelier an outcome is at a server that fails
/// than at a healthy one, given the shares that fail at the cell's others.
pub(crate) fn failure_ratio(
    class: SampleClass,
    others: &KindShares,
    settings: &DetectionSettings,
) -> SampleRatio {
    let margin = SHARE_MARGIN * others.total();
    if margin >= INDISTINCT_SHARE {
        return SampleRatio::default();
    }
    let healthy = BadKind::Errors.healthy_share() + margin;
    let failing = settings.gray_share.max(3.0 * healthy);
    match class {
        SampleClass::Bad(kind) => {
            let healthy = healthy_share(kind, others);
            SampleRatio {
                share: (failing / healthy).max(1.0).ln(),
                total: (TOTAL_FAILURE / healthy).max(1.0).ln(),
            }
        }
        SampleClass::Good => SampleRatio {
            share: ((1.0 - failing) / (1.0 - healthy)).ln(),
            total: ((1.0 - TOTAL_FAILURE) / (1.0 - healthy)).ln(),
        },
        SampleClass::Neutral => SampleRatio::default(),
    }
}

/// The same for the latency of an answer, given the shares that are slow at
/// the cell's others.
pub(crate) fn slowness_ratio(
    class: SampleClass,
    others: &KindShares,
    settings: &DetectionSettings,
) -> SampleRatio {
    let margin = SHARE_MARGIN * others.total();
    if margin >= INDISTINCT_SHARE {
        return SampleRatio::default();
    }
    let bad = |kind, part: f64| {
        let expected = part * settings.slow_share;
        (expected / healthy_share(kind, others)).max(1.0).ln()
    };
    let share = match class {
        SampleClass::Bad(BadKind::VerySlow) => bad(BadKind::VerySlow, VERY_SLOW_PART),
        SampleClass::Bad(kind) => bad(kind, SLOW_PART),
        SampleClass::Good => {
            let healthy = BadKind::Slow.healthy_share() + margin;
            ((1.0 - settings.slow_share) / (1.0 - healthy))
                .min(1.0)
                .ln()
        }
        SampleClass::Neutral => 0.0,
    };
    SampleRatio { share, total: 0.0 }
}

fn healthy_share(kind: BadKind, others: &KindShares) -> f64 {
    kind.healthy_share() + SHARE_MARGIN * others.of(kind)
}
