//! Moves the traffic of a service to the servers of a new software version.
//!
//! An operator's [`RolloutOrder`] is carried out by one host at a time, which
//! holds the right to decide by a conditional write of the [`RolloutRow`]. It
//! raises the exposure of the new version by steps, while [`VersionJudge`]
//! compares the outcomes of both versions over all hosts. Every host applies
//! the [`RolloutStep`] that it last heard of, as long as that is recent.

mod decider;
mod decider_role;
mod exposure;
mod order;
mod outcome_tally;
mod pooled_reports;
mod report;
mod row;
mod settings;
mod step;
mod step_record;
mod version_judge;

pub use self::{
    decider::{DeciderView, RolloutDecider, StepChange, StepReason},
    decider_role::{DeciderRole, RoleAction, RoleEvent, RoleView},
    exposure::{Exposure, VersionGate, VersionSide},
    order::RolloutOrder,
    outcome_tally::{OutcomeTally, RouteTally},
    pooled_reports::PooledReports,
    report::RolloutReport,
    row::{RolloutRow, RolloutState, VersionedRow},
    settings::RolloutSettings,
    step::RolloutStep,
    step_record::StepRecord,
    version_judge::{JudgedOutcomes, VersionJudge},
};
