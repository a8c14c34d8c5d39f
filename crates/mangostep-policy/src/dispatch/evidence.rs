use std::time::Duration;

use crate::MonotonicTime;

/// How a [`ServerEvidence`] weighs outcomes.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Share of servers that fail at a time, while nothing is known of one.
    pub failing_share: f64,
    /// Time in which a belief returns to that share; failing spells last
    /// about this long.
    pub spell_span: Duration,
    /// Chance that a failing server fails a request.
    pub failing_chance: f64,
    /// Chance that a sound server fails a request: errors of its own, or an
    /// answer that is lost.
    pub sound_chance: f64,
    /// Chance that a sound server takes too long.
    pub stall_chance: f64,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        EvidenceSettings {
            failing_share: 0.1,
            spell_span: Duration::from_secs(8),
            failing_chance: 0.75,
            sound_chance: 0.015,
            stall_chance: 0.03,
        }
    }
}

impl EvidenceSettings {
    /// Settings for what one host sees on its own way to a server: few ways
    /// are cut, a cut one lets nothing through, and most resets come from the
    /// server itself.
    pub fn own_path() -> Self {
        EvidenceSettings {
            failing_share: 0.01,
            spell_span: Duration::from_secs(6),
            failing_chance: 0.95,
            sound_chance: 0.1,
            stall_chance: 0.01,
        }
    }
}

/// The belief whether a backend server is in a failing spell, from the
/// outcomes that hosts saw.
///
/// The belief follows Bayes' rule from outcome to outcome, and returns to the
/// share of failing servers in between, since spells begin and end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEvidence {
    /// Chance that the server is in a spell; none before the first outcome.
    belief: Option<f64>,
    updated: MonotonicTime,
    /// Failures in a row.
    streak: u32,
    last_was_stall: bool,
}

/// Bounds of a belief, so that a few outcomes can always turn it.
const BELIEF_MIN: f64 = 0.002;
const BELIEF_MAX: f64 = 0.98;

impl ServerEvidence {
    /// Takes note of an answer in time.
    pub fn note_success(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        let failing = 1.0 - settings.failing_chance;
        self.update(settings, failing, 1.0 - settings.sound_chance, now);
        self.streak = 0;
        self.last_was_stall = false;
    }

    /// Takes note of a request that failed.
    pub fn note_failure(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.update(
            settings,
            settings.failing_chance,
            settings.sound_chance,
            now,
        );
        self.streak += 1;
        self.last_was_stall = false;
    }

    /// Takes note of a request that has no answer long after it should, or
    /// of a server to which no connection can be made.
    pub fn note_stall(&mut self, settings: &EvidenceSettings, now: MonotonicTime) {
        self.update(
            settings,
            settings.failing_chance,
            settings.stall_chance,
            now,
        );
        self.streak += 1;
        self.last_was_stall = true;
    }

    /// Chance that the server is in a failing spell.
    pub fn belief(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let rest = settings.failing_share;
        let Some(belief) = self.belief else {
            return rest;
        };
        let spans = now.since(self.updated).as_secs_f64() / settings.spell_span.as_secs_f64();
        rest + (belief - rest) * (-spans).exp()
    }

    /// Chance that a request sent now fails.
    pub fn chance(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let belief = self.belief(settings, now);
        belief * settings.failing_chance + (1.0 - belief) * settings.sound_chance
    }

    /// When the last outcome was seen; none before the first.
    pub fn last_outcome(&self) -> Option<MonotonicTime> {
        self.belief.map(|_| self.updated)
    }

    /// Failures since the last success.
    pub fn streak(&self) -> u32 {
        self.streak
    }

    /// Whether the last outcome was a request without an answer.
    pub fn is_stalled(&self) -> bool {
        self.last_was_stall
    }

    fn update(
        &mut self,
        settings: &EvidenceSettings,
        if_failing: f64,
        if_sound: f64,
        now: MonotonicTime,
    ) {
        let before = self.belief(settings, now);
        let failing = before * if_failing;
        let belief = failing / (failing + (1.0 - before) * if_sound);
        self.belief = Some(belief.clamp(BELIEF_MIN, BELIEF_MAX));
        self.updated = now;
    }
}
