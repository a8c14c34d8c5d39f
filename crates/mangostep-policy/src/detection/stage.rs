use std::time::Duration;

use crate::{MonotonicTime, ServerAction, detection::DetectionSettings};

/// Shares of a healthy server's work that a server gets in a trial.
const TRIAL_WEIGHTS: [f64; 2] = [0.1, 0.5];

/// Good answers without which no time ends a step of a trial.
const TRIAL_ANSWERS_MIN: u32 = 3;

/// What a server is used for.
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

/// The stage of a server and the ejections that led to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageKeeper {
    stage: ServerStage,
    /// Ejections that are not forgotten yet.
    ejections: u32,
    /// When the server came back into full use.
    in_use_since: MonotonicTime,
}

impl StageKeeper {
    pub(crate) fn stage(&self) -> ServerStage {
        self.stage
    }

    pub(crate) fn is_in_use(&self) -> bool {
        self.stage == ServerStage::InUse
    }

    pub(crate) fn is_in_trial(&self) -> bool {
        matches!(self.stage, ServerStage::Trial { .. })
    }

    /// Ejects the server for longer than the last time.
    pub(crate) fn eject(&mut self, now: MonotonicTime, settings: &DetectionSettings) -> Duration {
        let is_forgotten = now.since(self.in_use_since) > settings.forget_after;
        if self.is_in_use() && is_forgotten {
            self.ejections = 0;
        }
        let doubled = settings
            .base_ejection_time
            .saturating_mul(1 << self.ejections.min(16));
        let hold = doubled.min(settings.max_ejection_time);
        self.ejections += 1;
        self.stage = ServerStage::Ejected { until: now + hold };
        hold
    }

    /// Counts a good answer towards the end of a trial.
    pub(crate) fn count_good(&mut self) {
        if let ServerStage::Trial { good, .. } = &mut self.stage {
            *good += 1;
        }
    }

    /// Moves to the next stage when it is due.
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
                let is_slow_step = now.since(since) >= settings.trial_step;
                let enough =
                    good >= settings.trial_answers || (is_slow_step && good >= TRIAL_ANSWERS_MIN);
                if has_evidence || !enough {
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
