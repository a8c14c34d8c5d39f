use std::time::Duration;

use crate::MonotonicTime;

/// How fast a [`ServerEvidence`] forgets and how far one event moves it.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Chance of a failure while nothing is known; backend servers return
    /// errors of their own at about this rate.
    pub prior_chance: f64,
    /// Requests that the prior weighs.
    pub prior_weight: f64,
    /// Time in which the long-term rate forgets most of what it saw; several
    /// times the pause between two short failing spells.
    pub history_span: Duration,
    /// Time in which a suspicion fades after a single failure; failing
    /// spells last about this long.
    pub suspicion_span: Duration,
    /// Most times that failures in a row lengthen the suspicion.
    pub lengthening_max: f64,
    /// Chance of a failure right after one.
    pub failed_chance: f64,
    /// Chance of a failure after a request that took too long.
    pub stalled_chance: f64,
    /// Share of a suspicion that is left after a success.
    pub cleared_share: f64,
    /// Time for which a success speaks against a new failing spell.
    pub verified_span: Duration,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        EvidenceSettings {
            prior_chance: 0.02,
            prior_weight: 8.0,
            history_span: Duration::from_secs(40),
            suspicion_span: Duration::from_millis(1_200),
            lengthening_max: 4.0,
            failed_chance: 0.85,
            stalled_chance: 0.6,
            cleared_share: 0.35,
            verified_span: Duration::from_millis(700),
        }
    }
}

impl EvidenceSettings {
    /// Settings for what one host sees on its own way to a server. A way that
    /// is cut stays so for seconds, and only the host's own success clears it.
    pub fn own_path() -> Self {
        EvidenceSettings {
            suspicion_span: Duration::from_secs(3),
            cleared_share: 0.05,
            ..Default::default()
        }
    }
}

/// What is known of a backend server's health, from the outcomes that all
/// hosts saw.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEvidence {
    failures: f64,
    total: f64,
    suspicion: f64,
    /// Failures in a row, each success halves them.
    streak: f64,
    updated: MonotonicTime,
    last_success: Option<MonotonicTime>,
    last_failure: Option<MonotonicTime>,
    last_was_stall: bool,
}

impl ServerEvidence {
    /// Takes note of an answer in time.
    pub fn note_success(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.fade(settings, now);
        self.total += 1.0;
        self.suspicion *= settings.cleared_share;
        self.streak *= 0.5;
        self.last_success = Some(now);
        self.last_was_stall = false;
    }

    /// Takes note of a request that failed.
    pub fn note_failure(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.fade(settings, now);
        self.total += 1.0;
        self.failures += 1.0;
        self.suspicion = self.suspicion.max(settings.failed_chance);
        self.streak += 1.0;
        self.last_failure = Some(now);
        self.last_was_stall = false;
    }

    /// Takes note of a request that has no answer long after it should.
    pub fn note_stall(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.fade(settings, now);
        self.suspicion = self.suspicion.max(settings.stalled_chance);
        self.streak += 1.0;
        self.last_failure = Some(now);
        self.last_was_stall = true;
    }

    /// Takes note of an error that the server gave by itself, which healthy
    /// servers do as well.
    pub fn note_error(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.fade(settings, now);
        self.total += 1.0;
        self.failures += 1.0;
        self.suspicion = self.suspicion.max(settings.failed_chance * 0.5);
        self.streak += 0.5;
        self.last_failure = Some(now);
    }

    /// Chance that a request sent now fails.
    pub fn chance(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        self.suspicion_at(settings, now)
            .max(self.spell_chance(settings, now))
    }

    /// Chance from the suspicion alone, which a single failure raises.
    pub fn suspicion_at(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let span = settings.suspicion_span.as_secs_f64()
            * self.streak.clamp(1.0, settings.lengthening_max);
        self.suspicion * (-now.since(self.updated).as_secs_f64() / span).exp()
    }

    /// The long-term rate of failures.
    pub fn history(&self, settings: &EvidenceSettings) -> f64 {
        let prior = settings.prior_chance * settings.prior_weight;
        (self.failures + prior) / (self.total + settings.prior_weight)
    }

    /// Time since the last outcome of any kind; none before the first.
    pub fn last_outcome(&self) -> Option<MonotonicTime> {
        self.last_success.max(self.last_failure)
    }

    /// Whether the last failure was a request without an answer.
    pub fn is_stalled(&self) -> bool {
        self.last_was_stall
    }

    /// The long-term rate, lowered while a success is fresh.
    fn spell_chance(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let history = self.history(settings);
        let Some(success) = self.last_success else {
            return history;
        };
        let age = now.since(success).as_secs_f64();
        history * (1.0 - 0.8 * (-age / settings.verified_span.as_secs_f64()).exp())
    }

    fn fade(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        let age = now.since(self.updated).as_secs_f64();
        self.suspicion = self.suspicion_at(settings, now);
        let kept = (-age / settings.history_span.as_secs_f64()).exp();
        self.failures *= kept;
        self.total *= kept;
        self.streak *= (-age / (8.0 * settings.suspicion_span.as_secs_f64())).exp();
        self.updated = now;
    }
}
