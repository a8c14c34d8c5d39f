use std::time::Duration;

use crate::shares::ShareLimit;

/// Settings of a [`ShareHome`](crate::ShareHome) and of a
/// [`ShareSpender`](crate::ShareSpender); the same on all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Window over which operators count a workspace's requests.
    pub window: Duration,
    /// Share of the rate limit by which a workspace may exceed it within a
    /// window; set by the operators.
    pub overshoot: f64,
    /// Number of requests by which a workspace may additionally exceed the
    /// limit; set by the operators.
    pub slack: f64,
    /// Time for which an allowance may be spent, counted by the host from when
    /// it asked.
    pub validity: Duration,
    /// Largest part of a bucket's tokens that one response grants as an
    /// allowance.
    pub allowance_part: f64,
    /// Share of the allowed excess that a home grants beyond its tokens while
    /// allowances are out, since most of them come back.
    pub overdraft_share: f64,
    /// Share of the allowed excess that a new bucket contains. The workspace's
    /// previous limit home may have granted the burst already.
    pub initial_share: f64,
    /// Share of the allowed excess that a standby home grants before it knows
    /// whether the first home is alive.
    pub standby_share: f64,
    /// Time without a response of the first home after which a standby home
    /// takes the bucket over.
    pub takeover_time: Duration,
    /// Idle time after which a bucket is reset to its initial tokens when
    /// another home held it in the meantime.
    pub reset_idle_time: Duration,
    /// Time constant with which the demand of a host is averaged.
    pub demand_time: Duration,
    /// Time without a response from any home after which a host considers
    /// itself cut off, and not the homes stalled.
    pub stall_time: Duration,
    /// Minimum interval between two reports of the same debt.
    pub debt_interval: Duration,
    /// Number of decisions that are stored for repeated requests.
    pub stored_decisions: usize,
}

impl Default for ShareSettings {
    fn default() -> Self {
        ShareSettings {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
            validity: Duration::from_millis(500),
            allowance_part: 0.5,
            overdraft_share: 0.25,
            initial_share: 0.14,
            standby_share: 0.15,
            takeover_time: Duration::from_millis(500),
            reset_idle_time: Duration::from_millis(500),
            demand_time: Duration::from_secs(1),
            stall_time: Duration::from_secs(1),
            debt_interval: Duration::from_millis(200),
            stored_decisions: 2_048,
        }
    }
}

impl ShareSettings {
    /// Requests by which a workspace may exceed its limit within a window.
    pub(super) fn excess(&self, limit: ShareLimit) -> f64 {
        let within = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        within * self.overshoot + self.slack
    }

    /// Tokens of a bucket whose previous home may have granted the burst.
    pub(super) fn initial_tokens(&self, limit: ShareLimit) -> f64 {
        let initial = self.excess(limit) * self.initial_share;
        initial.min(limit.burst).max(1.0)
    }

    /// Tokens that a standby home grants before it takes a bucket over.
    pub(super) fn standby_tokens(&self, limit: ShareLimit) -> f64 {
        let standby = self.excess(limit) * self.standby_share;
        standby.min(limit.burst).max(1.0)
    }
}
