use serde::{Deserialize, Serialize};

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// The new version gets no requests.
    Held,
    /// The new version gets this many of a thousand requests.
    Trial(u16),
    /// The new version gets all requests that its servers can take.
    Full,
    /// The old version gets no requests, and completes those that it has.
    Draining,
    /// The old version has no requests and is stopped.
    Completed,
    /// The new version failed and gets no requests again.
    RolledBack,
}

impl RolloutStep {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStep::Completed | RolloutStep::RolledBack)
    }

    /// Share of the requests that the new version is meant to get.
    pub fn share(self) -> f64 {
        match self {
            RolloutStep::Held | RolloutStep::RolledBack => 0.0,
            RolloutStep::Trial(permille) => f64::from(permille) / 1000.0,
            RolloutStep::Full | RolloutStep::Draining | RolloutStep::Completed => 1.0,
        }
    }

    /// Label of the step in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutStep::Held => "held",
            RolloutStep::Trial(_) => "trial",
            RolloutStep::Full => "full",
            RolloutStep::Draining => "draining",
            RolloutStep::Completed => "completed",
            RolloutStep::RolledBack => "rolled-back",
        }
    }
}
