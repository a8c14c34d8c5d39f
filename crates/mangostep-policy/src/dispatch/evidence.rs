use std::time::Duration;

use crate::{MonotonicTime, dispatch::ServerSignal};

/// How often a server gives one kind of outcome, while it fails and while it
/// is sound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeChances {
    /// In a failing spell.
    pub failing: f64,
    /// While sound.
    pub sound: f64,
}

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
    /// Chance that a sound server fails a request.
    pub sound_chance: f64,
    /// An answer in time.
    pub success: OutcomeChances,
    /// A reset, a cut or a spoiled answer.
    pub loss: OutcomeChances,
    /// An error answer, which sound servers give to one request in a hundred.
    pub error: OutcomeChances,
    /// No answer long after the usual time, or no connection in time.
    pub stall: OutcomeChances,
    /// Nothing listens at the address; a sound server resets connections
    /// beyond its bound.
    pub refused: OutcomeChances,
    /// Another server listens at the address.
    pub misdirected: OutcomeChances,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        EvidenceSettings {
            failing_share: 0.2,
            spell_span: Duration::from_secs(10),
            failing_chance: 0.7,
            sound_chance: 0.015,
            success: OutcomeChances {
                failing: 0.3,
                sound: 0.975,
            },
            loss: OutcomeChances {
                failing: 0.5,
                sound: 0.004,
            },
            error: OutcomeChances {
                failing: 0.3,
                sound: 0.013,
            },
            stall: OutcomeChances {
                failing: 0.4,
                sound: 0.02,
            },
            refused: OutcomeChances {
                failing: 0.5,
                sound: 0.004,
            },
            misdirected: OutcomeChances {
                failing: 0.5,
                sound: 0.0005,
            },
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
            sound_chance: 0.0,
            success: OutcomeChances {
                failing: 0.05,
                sound: 0.9,
            },
            loss: OutcomeChances {
                failing: 0.9,
                sound: 0.1,
            },
            error: OutcomeChances {
                failing: 1.0,
                sound: 1.0,
            },
            stall: OutcomeChances {
                failing: 0.95,
                sound: 0.01,
            },
            refused: OutcomeChances {
                failing: 0.95,
                sound: 0.1,
            },
            misdirected: OutcomeChances {
                failing: 1.0,
                sound: 1.0,
            },
        }
    }

    fn chances(&self, signal: ServerSignal) -> Option<OutcomeChances> {
        match signal {
            ServerSignal::Success => Some(self.success),
            ServerSignal::Failure => Some(self.loss),
            ServerSignal::Error => Some(self.error),
            ServerSignal::Stall | ServerSignal::Unreachable => Some(self.stall),
            ServerSignal::Refused => Some(self.refused),
            ServerSignal::Misdirected => Some(self.misdirected),
            ServerSignal::Shed | ServerSignal::Nothing => None,
        }
    }
}

/// The belief whether a backend server is in a failing spell, from the
/// outcomes that hosts saw.
///
/// The belief follows Bayes' rule from outcome to outcome, and returns to the
/// share of failing servers in between, since spells begin and end. A success
/// speaks for the time at which its request was sent: one that was sent before
/// the last failure does not clear the server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEvidence {
    /// Chance that the server is in a spell; none before the first outcome.
    belief: Option<f64>,
    updated: MonotonicTime,
    /// When the failed request was sent that was sent last.
    failed_send: Option<MonotonicTime>,
    /// Failures in a row.
    streak: u32,
    last_was_stall: bool,
}

/// Bounds of a belief, so that a few outcomes can always turn it.
const BELIEF_MIN: f64 = 0.002;
const BELIEF_MAX: f64 = 0.98;

impl ServerEvidence {
    /// Takes note of the outcome of a request that was sent at `sent`.
    pub fn record(
        &mut self,
        settings: &EvidenceSettings,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(chances) = settings.chances(signal) else {
            return;
        };
        if signal == ServerSignal::Success {
            if self.failed_send.is_some_and(|failed| sent <= failed) {
                return;
            }
            self.streak = 0;
            self.last_was_stall = false;
        } else {
            self.failed_send = self.failed_send.max(Some(sent));
            self.streak += 1;
            self.last_was_stall = matches!(signal, ServerSignal::Stall | ServerSignal::Unreachable);
        }
        let before = self.belief(settings, now);
        let failing = before * chances.failing;
        let belief = failing / (failing + (1.0 - before) * chances.sound);
        self.belief = Some(belief.clamp(BELIEF_MIN, BELIEF_MAX));
        self.updated = now;
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
    pub fn failure_chance(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
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
}
