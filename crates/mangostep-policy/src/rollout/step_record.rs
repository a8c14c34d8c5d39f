use serde::{Deserialize, Serialize};

use crate::rollout::RolloutStep;

/// A step with its position among all steps of a service.
///
/// A later write of the decider's row has a higher version. Between two writes
/// a decider may only go back, which raises the revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Store version of the order.
    pub order: u64,
    /// Store version of the decider's row.
    pub version: u64,
    /// Number of times that the decider went back since that write.
    pub revision: u32,
    /// The step.
    pub step: RolloutStep,
}

impl StepRecord {
    /// Whether this record replaces another one.
    pub fn supersedes(&self, other: &Self) -> bool {
        let position = |record: &Self| (record.order, record.version, record.revision);
        position(self) > position(other)
    }
}
