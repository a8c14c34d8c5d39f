use std::time::Duration;

use crate::{
    MonotonicTime,
    rollout::{JudgedOutcomes, PooledReports, RolloutSettings, RolloutStep, StepRecord},
};

/// Minimum time for which the old servers drain before the completion.
const DRAIN_MIN: Duration = Duration::from_millis(300);

/// Minimum share of the requests that the new version must be able to take
/// before the old servers are drained.
const TAKEN_SHARE_MIN: f64 = 0.8;

/// Minimum time for which the new version gets all requests that it can take
/// before the old servers are drained: one report of each host.
const FULL_MIN: Duration = Duration::from_millis(600);

/// Time from a failure until all hosts apply the step back, for the bound of
/// the exposure.
const REACTION_TIME: Duration = Duration::from_secs(1);

/// What the deciding host knows when it decides on the next step.
#[derive(Clone, Copy, Debug)]
pub struct DeciderView<'a> {
    /// Time from the order until it must be completed.
    pub duration: Duration,
    /// Time since the order.
    pub elapsed: Duration,
    /// Number of hosts that should report.
    pub hosts: usize,
    /// Time since the store last confirmed the decider's right.
    pub store_age: Duration,
    /// Whether a server of the target version accepts requests.
    pub has_target: bool,
    /// Reports of all hosts.
    pub pooled: &'a PooledReports,
}

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepReason {
    /// Enough outcomes speak for the new version.
    Evidence,
    /// Nothing speaks against the new version, and the time for trials ends.
    Due,
    /// The new version fails or is slow more often than the old one.
    Failing,
    /// The deadline passed before the new version got all requests.
    Late,
    /// No host uses the old version.
    Unused,
}

impl StepReason {
    /// Label of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StepReason::Evidence => "evidence",
            StepReason::Due => "due",
            StepReason::Failing => "failing",
            StepReason::Late => "late",
            StepReason::Unused => "unused",
        }
    }
}

/// A change of the step, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct StepChange {
    /// The new step.
    pub step: RolloutStep,
    /// Why it is taken.
    pub reason: StepReason,
    /// Outcomes of both versions at the decision.
    pub judged: JudgedOutcomes,
    /// Hosts whose reports were current.
    pub heard: usize,
}

/// Decides on the steps of one roll-out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutDecider {
    step: RolloutStep,
    since: MonotonicTime,
    /// Outcomes of the new version at the beginning of the step.
    outcomes_before: u64,
    /// Requests to both versions at the beginning of the step.
    sent_before: (u64, u64),
}

impl RolloutDecider {
    /// Begins at a step that is in force.
    pub fn open(step: RolloutStep, pooled: &PooledReports, now: MonotonicTime) -> Self {
        RolloutDecider {
            step,
            since: now,
            outcomes_before: pooled.judge().new_outcomes(),
            sent_before: pooled.sent(),
        }
    }

    /// The step in force.
    pub fn step(&self) -> RolloutStep {
        self.step
    }

    /// The next step, or `None` to stay at the present one.
    pub fn next_step(
        &self,
        settings: &RolloutSettings,
        record: &StepRecord,
        view: &DeciderView<'_>,
        now: MonotonicTime,
    ) -> Option<StepChange> {
        if self.step.is_final() {
            return None;
        }
        let judged = view.pooled.judge().summary(settings);
        let heard = view.pooled.heard(settings, now);
        let (step, reason) = match judged.suspicion {
            sum if sum >= settings.alarm => (RolloutStep::RolledBack, StepReason::Failing),
            sum => {
                let is_known = view.store_age < settings.trial_ttl
                    && heard as f64 >= view.hosts as f64 * settings.heard_share;
                let may_rise = is_known && sum < settings.caution;
                self.step_within_bounds(settings, record, view, may_rise, now)?
            }
        };
        Some(StepChange {
            step,
            reason,
            judged,
            heard,
        })
    }

    fn step_within_bounds(
        &self,
        settings: &RolloutSettings,
        record: &StepRecord,
        view: &DeciderView<'_>,
        may_rise: bool,
        now: MonotonicTime,
    ) -> Option<(RolloutStep, StepReason)> {
        let is_late = view.elapsed >= view.duration;
        let in_step = now.since(self.since);
        match self.step {
            RolloutStep::Held | RolloutStep::Trial(_) if is_late => {
                Some((RolloutStep::RolledBack, StepReason::Late))
            }
            _ if !may_rise => None,
            RolloutStep::Held => {
                let first = RolloutStep::Trial(permille(settings.trial_shares[0]));
                view.has_target.then_some((first, StepReason::Evidence))
            }
            RolloutStep::Trial(share) => self.after_trial(settings, view, share, now),
            RolloutStep::Full => {
                let (old, new) = view.pooled.sent();
                let new = new.saturating_sub(self.sent_before.1) as f64;
                let all = new + old.saturating_sub(self.sent_before.0) as f64;
                let is_taken = new >= all * TAKEN_SHARE_MIN;
                let is_due = view.elapsed >= view.duration.mul_f64(settings.drain_by);
                let has_dwelt = in_step >= FULL_MIN;
                match (has_dwelt && is_taken, is_due) {
                    (true, _) => Some((RolloutStep::Draining, StepReason::Evidence)),
                    (false, true) => Some((RolloutStep::Draining, StepReason::Due)),
                    (false, false) => None,
                }
            }
            RolloutStep::Draining => {
                let is_due = view.elapsed >= view.duration.mul_f64(settings.complete_by);
                if in_step < DRAIN_MIN {
                    None
                } else if view.pooled.unconfirmed(settings, record, now) == 0 {
                    Some((RolloutStep::Completed, StepReason::Unused))
                } else {
                    is_due.then_some((RolloutStep::Completed, StepReason::Due))
                }
            }
            RolloutStep::Completed | RolloutStep::RolledBack => None,
        }
    }

    fn after_trial(
        &self,
        settings: &RolloutSettings,
        view: &DeciderView<'_>,
        share: u16,
        now: MonotonicTime,
    ) -> Option<(RolloutStep, StepReason)> {
        let dwell = dwell(settings, view);
        if now.since(self.since) < dwell {
            return None;
        }
        let mut later = settings.trial_shares.iter().copied().map(permille);
        let next = later.find(|next| *next > share);
        let is_last = next.is_none();
        let judge = view.pooled.judge();
        let outcomes = judge.new_outcomes().saturating_sub(self.outcomes_before);
        let has_evidence = outcomes >= u64::from(settings.trial_outcomes)
            && (!is_last || judge.covers_routes(settings));
        let full_by = view.duration.mul_f64(settings.full_by);
        let is_full_due = view.elapsed >= full_by;
        let is_due = view.elapsed + dwell >= full_by;
        let full_from = view.duration.mul_f64(settings.full_from);
        match next {
            _ if is_full_due => Some((RolloutStep::Full, StepReason::Due)),
            None => (has_evidence && view.elapsed >= full_from)
                .then_some((RolloutStep::Full, StepReason::Evidence)),
            Some(next) => {
                let largest = settings.trial_shares.iter().copied().fold(0.0, f64::max);
                let is_largest = next >= permille(largest);
                let is_early = is_largest && view.elapsed + dwell < full_from;
                let fits = self.fits_budget(settings, view, next);
                if is_early || !fits {
                    return None;
                }
                let reason = match (has_evidence, is_due) {
                    (true, _) => StepReason::Evidence,
                    (false, true) => StepReason::Due,
                    (false, false) => return None,
                };
                Some((RolloutStep::Trial(next), reason))
            }
        }
    }

    /// Whether the trials stay within their part of the bound if the new
    /// version gets `share` for one more step.
    fn fits_budget(&self, settings: &RolloutSettings, view: &DeciderView<'_>, share: u16) -> bool {
        let (old, new) = view.pooled.sent();
        let elapsed = view.elapsed.as_secs_f64().max(0.1);
        let rate = (old + new) as f64 / elapsed;
        let time = (dwell(settings, view) + REACTION_TIME).as_secs_f64();
        let added = rate * time * f64::from(share) / 1000.0;
        let all = rate * view.duration.as_secs_f64();
        let bound = settings.expose_share * all * settings.trial_budget;
        new as f64 + added <= bound + settings.expose_slack / 2.0
    }
}

fn dwell(settings: &RolloutSettings, view: &DeciderView<'_>) -> Duration {
    let share = view.duration.mul_f64(settings.dwell_share);
    share.max(settings.dwell_min.min(view.duration / 8))
}

fn permille(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * 1000.0).round() as u16
}
