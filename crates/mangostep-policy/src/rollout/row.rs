use serde::{Deserialize, Serialize};

use crate::rollout::RolloutStep;

/// Row in which the deciding host of a roll-out keeps its right and the step.
///
/// Each write is conditional on the version of the row, so that of two hosts
/// that consider themselves the decider only one succeeds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Store version of the order that is carried out.
    pub order: u64,
    /// Software version that the traffic moves to.
    pub target: String,
    /// Name of the deciding host.
    pub decider: String,
    /// Start of the deciding host's process, in milliseconds since the Unix
    /// epoch.
    pub incarnation: u64,
    /// Number of the write among those of the process.
    pub renewal: u64,
    /// Step in force.
    pub step: RolloutStep,
    /// Time since the order at this write, in milliseconds.
    pub elapsed_ms: u64,
}

/// A [`RolloutRow`] with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version of the store at which the row was written.
    pub version: u64,
    /// Content of the row; `None` if it could not be decoded.
    pub row: Option<RolloutRow>,
}

/// State of a roll-out as the operator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out has not ended.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old version.
    RolledBack,
}

impl RolloutRow {
    /// The state that the operator sees.
    pub fn state(&self) -> RolloutState {
        match self.step {
            RolloutStep::Completed => RolloutState::Completed,
            RolloutStep::RolledBack => RolloutState::RolledBack,
            RolloutStep::Held
            | RolloutStep::Trial(_)
            | RolloutStep::Full
            | RolloutStep::Draining => RolloutState::Running,
        }
    }
}
