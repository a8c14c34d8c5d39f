use std::time::Duration;

/// Settings of the choice among the servers of a service in
/// [`LoadBalancing::Spread`](mangostep_objects::LoadBalancing).
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceSettings {
    /// Number of servers drawn from those that this host has connections to.
    pub connected_candidates: usize,
    /// Number of servers drawn from the others, so that each server is seen by
    /// some host several times a second.
    pub other_candidates: usize,
    /// Difference in cost below which two servers are equally good. Late
    /// knowledge justifies no finer ranking.
    pub cost_step: Duration,
    /// Cost of a new connection. It keeps the requests of a host on few
    /// connections, which then stay recent enough to be used again.
    pub connect_cost: Duration,
    /// Idle time after which a server is looked at even if it is not drawn,
    /// while many requests fail. Healthy servers must not stay without requests
    /// for two seconds then, and many suspected ones are healthy again.
    pub idle_interval: Duration,
    /// Time constant with which a server's speed decays to the mean of its
    /// service.
    pub speed_decay: Duration,
    /// Failure probability up to which a server counts as sound: the one that
    /// a healthy server reaches three seconds after its last success.
    pub sound_chance: f64,
    /// Failure probability up to which a server counts as unproven.
    pub unproven_chance: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            connected_candidates: 3,
            other_candidates: 1,
            cost_step: Duration::from_millis(30),
            connect_cost: Duration::from_millis(60),
            idle_interval: Duration::from_secs(1),
            speed_decay: Duration::from_secs(20),
            sound_chance: 0.06,
            unproven_chance: 0.2,
        }
    }
}
