use std::time::Duration;

/// An operator's order to move a service to a software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: String,
    /// Software version that the traffic moves to.
    pub target: String,
    /// Time from the order until the move must be completed.
    pub duration: Duration,
}
