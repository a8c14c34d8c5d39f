use std::time::Duration;

use crate::{MonotonicTime, ServerAction, detection::DetectionSettings};

/// Weights of a server in the successive steps of a trial.
const TRIAL_WEIGHTS: [f64; 2] = [0.1, 0.5];

/// Fewest good answers that complete a step of a trial after `trial_step`.
const TRIAL_ANSWERS_MIN: u32 = 3;

/// Stage of a server between ejection and full use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ServerStage {
    #[default]
    InUse,
    Ejected {
        until: MonotonicTime,
    },
    Trial {
        step: usize,
        since: MonotonicTime,
        good: u32,
    },
}

/// Tracks the stage of a server and the number of its ejections.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageTracker {
    stage: ServerStage,
    /// Ejections since the count was last reset, which happens after
    /// `forget_after` in full use.
    ejections: u32,
    /// Time of the last readmission.
    in_use_since: MonotonicTime,
}

impl StageTracker {
    pub(crate) fn stage(&self) -> ServerStage {
        self.stage
    }

    pub(crate) fn is_in_use(&self) -> bool {
        self.stage == ServerStage::InUse
    }

    pub(crate) fn is_in_trial(&self) -> bool {
        matches!(self.stage, ServerStage::Trial { .. })
    }

    /// Ejects the server and returns the duration, which doubles with each
    /// ejection that is not forgotten, up to `max_ejection_time`.
    pub(crate) fn eject(&mut self, now: MonotonicTime, settings: &DetectionSettings) -> Duration {
        let is_forgotten = now.since(self.in_use_since) > settings.forget_after;
        if self.is_in_use() && is_forgotten {
            self.ejections = 0;
        }
        let unbounded = settings
            .base_ejection_time
            .saturating_mul(1 << self.ejections.min(16));
        let hold = unbounded.min(settings.max_ejection_time);
        self.ejections += 1;
        self.stage = ServerStage::Ejected { until: now + hold };
        hold
    }

    /// Counts a good answer towards the current trial step, if there is one.
    pub(crate) fn record_good_answer(&mut self) {
        if let ServerStage::Trial { good, .. } = &mut self.stage {
            *good += 1;
        }
    }

    /// Moves to the next stage or trial step if its condition is met.
    ///
    /// A trial does not advance while there is evidence against the server.
    pub(crate) fn advance(
        &mut self,
        now: MonotonicTime,
        has_evidence: bool,
        settings: &DetectionSettings,
    ) -> Option<ServerAction> {
        match self.stage {
            ServerStage::InUse => None,
            ServerStage::Ejected { until } if now < until => None,
            ServerStage::Ejected { .. } => Some(self.start_step(0, now)),
            ServerStage::Trial { step, since, good } => {
                let is_step_expired = now.since(since) >= settings.trial_step;
                let has_enough_answers = good >= settings.trial_answers
                    || (is_step_expired && good >= TRIAL_ANSWERS_MIN);
                if has_evidence || !has_enough_answers {
                    return None;
                }
                Some(self.start_step(step + 1, now))
            }
        }
    }

    fn start_step(&mut self, step: usize, now: MonotonicTime) -> ServerAction {
        let Some(weight) = TRIAL_WEIGHTS.get(step) else {
            self.stage = ServerStage::InUse;
            self.in_use_since = now;
            return ServerAction::Readmit;
        };
        self.stage = ServerStage::Trial {
            step,
            since: now,
            good: 0,
        };
        ServerAction::Suspect { weight: *weight }
    }
}
