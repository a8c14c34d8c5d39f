use std::time::Duration;

use crate::{MonotonicTime, dispatch::ServerSignal};

/// Probability of one kind of outcome, given that the server is failing or
/// healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeChances {
    /// Probability while the server is failing.
    pub failing: f64,
    /// Probability while the server is healthy.
    pub healthy: f64,
}

/// Model by which a [`ServerEvidence`] weighs outcomes.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Share of servers that are failing at any time; the belief before the
    /// first outcome.
    pub prior: f64,
    /// Time constant with which a belief decays to that share. Servers fail
    /// for periods of about this length.
    pub decay_time: Duration,
    /// Probability that a failing server fails a request.
    pub failing_failure_chance: f64,
    /// Probability that a healthy server fails a request.
    pub healthy_failure_chance: f64,
    /// A complete response in time.
    pub success: OutcomeChances,
    /// A reset, or a truncated or corrupt response.
    pub failure: OutcomeChances,
    /// An error response; healthy servers give one to one request in a
    /// hundred.
    pub error: OutcomeChances,
    /// No response long after the usual time, or no connection in time.
    pub stall: OutcomeChances,
    /// Nothing listens at the address; a healthy server resets connections
    /// beyond its limit.
    pub refused: OutcomeChances,
    /// A different server listens at the address.
    pub misdirected: OutcomeChances,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        EvidenceSettings {
            prior: 0.2,
            decay_time: Duration::from_secs(10),
            failing_failure_chance: 0.7,
            healthy_failure_chance: 0.015,
            success: OutcomeChances {
                failing: 0.3,
                healthy: 0.975,
            },
            failure: OutcomeChances {
                failing: 0.5,
                healthy: 0.004,
            },
            error: OutcomeChances {
                failing: 0.3,
                healthy: 0.013,
            },
            stall: OutcomeChances {
                failing: 0.4,
                healthy: 0.02,
            },
            refused: OutcomeChances {
                failing: 0.5,
                healthy: 0.004,
            },
            misdirected: OutcomeChances {
                failing: 0.5,
                healthy: 0.0005,
            },
        }
    }
}

impl EvidenceSettings {
    /// Settings for the evidence of one host about its own network path to a
    /// server: few paths are broken, a broken one lets nothing through, and
    /// most resets come from the server itself.
    pub fn own_path() -> Self {
        EvidenceSettings {
            prior: 0.01,
            decay_time: Duration::from_secs(6),
            failing_failure_chance: 0.95,
            healthy_failure_chance: 0.0,
            success: OutcomeChances {
                failing: 0.05,
                healthy: 0.9,
            },
            failure: OutcomeChances {
                failing: 0.9,
                healthy: 0.1,
            },
            error: OutcomeChances {
                failing: 1.0,
                healthy: 1.0,
            },
            stall: OutcomeChances {
                failing: 0.95,
                healthy: 0.01,
            },
            refused: OutcomeChances {
                failing: 0.95,
                healthy: 0.1,
            },
            misdirected: OutcomeChances {
                failing: 1.0,
                healthy: 1.0,
            },
        }
    }

    fn chances(&self, signal: ServerSignal) -> Option<OutcomeChances> {
        match signal {
            ServerSignal::Success => Some(self.success),
            ServerSignal::Failure => Some(self.failure),
            ServerSignal::Error => Some(self.error),
            ServerSignal::Stall | ServerSignal::Unreachable => Some(self.stall),
            ServerSignal::Refused => Some(self.refused),
            ServerSignal::Misdirected => Some(self.misdirected),
            ServerSignal::Shed | ServerSignal::Nothing => None,
        }
    }
}

/// Belief that a backend server is failing, from the outcomes that hosts
/// report.
///
/// Each outcome updates the belief by Bayes' rule. Between outcomes the belief
/// decays to the share of failing servers, since servers fail and recover. A
/// success is evidence for the time at which its request was sent: a success
/// of a request that was sent before the last failure is ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEvidence {
    /// Probability that the server is failing; `None` before the first
    /// outcome.
    belief: Option<f64>,
    updated: MonotonicTime,
    /// Latest send time among the failed requests.
    failed_send: Option<MonotonicTime>,
    /// Number of consecutive failures.
    streak: u32,
    last_was_stall: bool,
}

/// Bounds of a belief, so that a few outcomes can always reverse it.
const BELIEF_MIN: f64 = 0.002;
const BELIEF_MAX: f64 = 0.98;

impl ServerEvidence {
    /// Updates the belief with the outcome of a request that was sent at
    /// `sent`.
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
        let weight = before * chances.failing;
        let belief = weight / (weight + (1.0 - before) * chances.healthy);
        self.belief = Some(belief.clamp(BELIEF_MIN, BELIEF_MAX));
        self.updated = now;
    }

    /// Probability that the server is failing, from 0 to 1.
    pub fn belief(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let prior = settings.prior;
        let Some(belief) = self.belief else {
            return prior;
        };
        let decays = now.since(self.updated).as_secs_f64() / settings.decay_time.as_secs_f64();
        prior + (belief - prior) * (-decays).exp()
    }

    /// Probability that a request sent now fails, from 0 to 1.
    pub fn failure_chance(&self, settings: &EvidenceSettings, now: MonotonicTime) -> f64 {
        let belief = self.belief(settings, now);
        belief * settings.failing_failure_chance + (1.0 - belief) * settings.healthy_failure_chance
    }

    /// Time of the last outcome that changed the belief, or `None` before the
    /// first.
    pub fn last_outcome(&self) -> Option<MonotonicTime> {
        self.belief.map(|_| self.updated)
    }

    /// Number of failures since the last success.
    pub fn streak(&self) -> u32 {
        self.streak
    }

    /// Whether the last outcome was a request without a response, or a
    /// connection that was not established in time.
    pub fn is_stalled(&self) -> bool {
        self.last_was_stall
    }
}
