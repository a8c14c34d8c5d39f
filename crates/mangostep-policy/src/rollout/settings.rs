use std::time::Duration;

/// Settings of the roll-outs of software versions.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Largest share of a service's requests, from the order to its deadline,
    /// that a failing version may get.
    pub expose_share: f64,
    /// Number of requests by which that share may be exceeded.
    pub expose_slack: f64,
    /// Time after its fiftieth failure within which a failing version must get
    /// no more requests.
    pub rollback: Duration,
    /// Shares of the requests that the new version gets one after the other
    /// before it gets all.
    pub trial_shares: [f64; 3],
    /// Share of `expose_share` that the trials may use together.
    pub trial_budget: f64,
    /// Minimum time at one step, as a share of the order's duration.
    pub dwell_share: f64,
    /// Minimum time at one step: outcomes of requests that began in the step
    /// must arrive.
    pub dwell_min: Duration,
    /// Share of the order's duration before which the new version does not get
    /// all requests. A fault that begins late is found while few requests meet
    /// it, and all requests of a tenth of the duration exceed the bound.
    pub full_from: f64,
    /// Share of the order's duration after which a version without a sign of a
    /// fault gets all requests even if few outcomes are known.
    pub full_by: f64,
    /// Share of the duration after which the old version's servers are drained.
    pub drain_by: f64,
    /// Share of the duration after which the roll-out is completed although
    /// some hosts did not confirm that the old servers are unused.
    pub complete_by: f64,
    /// Fewest outcomes of the new version at each trial.
    pub trial_outcomes: u32,
    /// Fewest outcomes of the new version on each route that gets at least
    /// `route_share` of the service's requests.
    pub route_outcomes: u32,
    /// Share of the requests from which on a route is judged by itself before
    /// the new version gets all requests.
    pub route_share: f64,
    /// Assumed failure rate of the old version before its outcomes are known.
    pub failure_prior: f64,
    /// Difference to the old version's rate of failed or slow requests that is
    /// tolerated: hosts know the state of the new servers less well.
    pub tolerance: f64,
    /// Difference beyond the tolerance that a failing version is tested for.
    pub fault_share: f64,
    /// The same three figures for servers whose state was not known.
    pub untried_prior: f64,
    /// See `untried_prior`.
    pub untried_tolerance: f64,
    /// See `untried_prior`.
    pub untried_fault_share: f64,
    /// Sum of log-likelihood ratios at which a version counts as failing.
    pub alarm: f64,
    /// Sum above which no step up is taken.
    pub caution: f64,
    /// Factor over the old version's mean duration from which on a response
    /// counts as slow.
    pub slow_factor: u32,
    /// Number of durations from which on the old version's mean is used.
    pub slow_least: u32,
    /// Number of the old version's latest outcomes to which the new version is
    /// compared.
    pub reference_outcomes: f64,
    /// Interval between two writes of the decider's row.
    pub renew_interval: Duration,
    /// Interval between attempts after a failed call to the store.
    pub retry_interval: Duration,
    /// Time without a renewal after which the highest-ranked host takes over.
    pub takeover: Duration,
    /// Additional time for each host that ranks higher.
    pub takeover_step: Duration,
    /// Time without a renewal after which a host reads the row itself.
    pub read_after: Duration,
    /// Age of a trial step from which on it is not applied.
    pub trial_ttl: Duration,
    /// Age of the step to all requests from which on it is not applied.
    pub full_ttl: Duration,
    /// Age of the drain from which on it is not applied.
    pub drain_ttl: Duration,
    /// Time for which the old servers get nothing after the completion. Their
    /// entries lapse within that time.
    pub completed_hold: Duration,
    /// Age up to which a host's report counts as current.
    pub report_ttl: Duration,
    /// Age from which on a silent host counts as dead.
    pub host_ttl: Duration,
    /// Share of the hosts whose reports must be current for a step up.
    pub heard_share: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            expose_share: 0.1,
            expose_slack: 50.0,
            rollback: Duration::from_secs(5),
            trial_shares: [0.02, 0.04, 0.15],
            trial_budget: 0.6,
            dwell_share: 0.08,
            dwell_min: Duration::from_millis(1_000),
            full_from: 0.71,
            full_by: 0.75,
            drain_by: 0.81,
            complete_by: 0.95,
            trial_outcomes: 20,
            route_outcomes: 10,
            route_share: 0.05,
            failure_prior: 0.02,
            tolerance: 0.05,
            fault_share: 0.1,
            untried_prior: 0.25,
            untried_tolerance: 0.1,
            untried_fault_share: 0.25,
            alarm: 7.0,
            caution: 2.5,
            slow_factor: 3,
            slow_least: 8,
            reference_outcomes: 1_000.0,
            renew_interval: Duration::from_millis(700),
            retry_interval: Duration::from_millis(400),
            takeover: Duration::from_millis(2_500),
            takeover_step: Duration::from_millis(1_200),
            read_after: Duration::from_secs(3),
            trial_ttl: Duration::from_millis(2_200),
            full_ttl: Duration::from_millis(2_800),
            drain_ttl: Duration::from_secs(10),
            completed_hold: Duration::from_secs(10),
            report_ttl: Duration::from_millis(1_300),
            host_ttl: Duration::from_millis(3_000),
            heard_share: 0.6,
        }
    }
}
