use serde::{Deserialize, Serialize};

use crate::rollout::{RouteTally, StepRecord};

/// What a host reports to its peers about one roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service whose traffic moves.
    pub service: String,
    /// Store version of the order.
    pub order: u64,
    /// The step that the sender last heard of.
    pub step: Option<StepRecord>,
    /// Name of the host that decided on it.
    pub decider: String,
    /// Time since the decider's right to that step was confirmed, in
    /// milliseconds.
    pub step_age_ms: u32,
    /// Whether the sender applies the step.
    pub is_applied: bool,
    /// Requests that the sender has in flight at servers of the old version.
    pub old_in_flight: u32,
    /// Requests sent to the old version since the order.
    pub old_sent: u64,
    /// Requests sent to the target version since the order.
    pub new_sent: u64,
    /// Outcomes since the order; empty after the end of the roll-out.
    pub routes: Vec<RouteTally>,
}
