use crate::{MonotonicTime, admission::RankRates};

/// A request's claim to room, by which waiting requests are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitClaim {
    /// Priority of the workspace, or of the route if the workspace has none.
    pub priority: u32,
    /// Priority of the route.
    pub route_priority: u32,
    /// Name of the workspace; empty for open routes.
    pub workspace: String,
    /// Whether a caller of the workspace was told to come back about now.
    pub is_return: bool,
    /// Latest time at which the request is admitted and still ends within its
    /// target latency.
    pub admit_by: MonotonicTime,
    /// Size of the request in memory.
    pub bytes: u64,
}

impl WaitClaim {
    /// Rank for which rates are counted.
    pub fn rank(&self) -> usize {
        RankRates::rank_of(self.priority)
    }

    /// The priorities, in the order in which they decide.
    pub(super) fn urgency(&self) -> (u32, u32) {
        (self.priority, self.route_priority)
    }
}
