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
            BadKind::Timeouts => 0.0005,
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
    score: f64,
    since: Option<MonotonicTime>,
    sources: BTreeMap<String, SourceTally>,
    kinds: BTreeMap<BadKind, f64>,
    /// Good requests of the last seconds: when each began, and its source.
    recent_good: VecDeque<(MonotonicTime, String)>,
}

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
        self.score
    }

    pub(crate) fn sources(&self) -> &BTreeMap<String, SourceTally> {
        &self.sources
    }

    pub(crate) fn span(&self, now: MonotonicTime) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
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
    pub(crate) fn add(&mut self, sample: ScoredSample<'_>, ratio: f64, cap: f64) {
        if sample.class == SampleClass::Good {
            self.keep_good(sample);
        }
        if ratio < 0.0 && self.score + ratio <= 0.0 {
            self.clear();
            return;
        }
        if let SampleClass::Bad(kind) = sample.class {
            self.note_bad(sample.began);
            *self.kinds.entry(kind).or_default() += ratio;
        }
        if self.since.is_some() {
            self.score = (self.score + ratio).min(cap);
            self.tally(sample.source, ratio);
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

/// The logarithm of how much likelier an outcome is at a server that fails
/// than at a healthy one, given the shares that fail at the cell's others.
pub(crate) fn failure_ratio(
    class: SampleClass,
    others: &KindShares,
    settings: &DetectionSettings,
) -> f64 {
    let margin = SHARE_MARGIN * others.total();
    if margin >= INDISTINCT_SHARE {
        return 0.0;
    }
    let healthy = BadKind::Errors.healthy_share() + margin;
    let failing = settings.gray_share.max(3.0 * healthy);
    match class {
        SampleClass::Bad(kind) => (failing / healthy_share(kind, others)).max(1.0).ln(),
        SampleClass::Good => ((1.0 - failing) / (1.0 - healthy)).ln(),
        SampleClass::Neutral => 0.0,
    }
}

/// The same for the latency of an answer, given the shares that are slow at
/// the cell's others.
pub(crate) fn slowness_ratio(
    class: SampleClass,
    others: &KindShares,
    settings: &DetectionSettings,
) -> f64 {
    let margin = SHARE_MARGIN * others.total();
    if margin >= INDISTINCT_SHARE {
        return 0.0;
    }
    let bad = |kind, part: f64| {
        let expected = part * settings.slow_share;
        (expected / healthy_share(kind, others)).max(1.0).ln()
    };
    match class {
        SampleClass::Bad(BadKind::VerySlow) => bad(BadKind::VerySlow, VERY_SLOW_PART),
        SampleClass::Bad(kind) => bad(kind, SLOW_PART),
        SampleClass::Good => {
            let healthy = BadKind::Slow.healthy_share() + margin;
            ((1.0 - settings.slow_share) / (1.0 - healthy))
                .min(1.0)
                .ln()
        }
        SampleClass::Neutral => 0.0,
    }
}

fn healthy_share(kind: BadKind, others: &KindShares) -> f64 {
    kind.healthy_share() + SHARE_MARGIN * others.of(kind)
}
