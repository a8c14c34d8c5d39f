use std::time::Duration;

use crate::{balance::BalanceSettings, dispatch::EvidenceSettings};

/// Weights by which a [`ServerPool`](crate::ServerPool) ranks servers.
///
/// All costs are in seconds of a caller's time, so that they can be added.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Settings of the choice in services whose load is spread.
    pub balance: BalanceSettings,
    /// Weights of the outcomes that all hosts report.
    pub evidence: EvidenceSettings,
    /// Weights of this host's outcomes as evidence about its network path to a
    /// server.
    pub own_path: EvidenceSettings,
    /// Cost of a failed request that may have run and cannot be retried: a few
    /// times the usual target latency.
    pub lost_request_cost: Duration,
    /// Cost of a failure that can be retried: a short delay and one retry.
    pub retry_cost: Duration,
    /// Cost of a server in another availability zone: two more transfers
    /// between zones and the price of the bytes.
    pub zone_cost: Duration,
    /// Cost of a new connection: a round trip to the server, the slot that is
    /// held meanwhile, and its price.
    pub connect_cost: Duration,
    /// Cost of a server whose slots are all in use, scaled by the share in
    /// use. It spreads requests before servers are full.
    pub load_cost: Duration,
    /// Upper bound of the random cost that keeps hosts from choosing the same
    /// server.
    pub jitter: Duration,
    /// Failure probability above which a server is suspected; well above that
    /// of a server without evidence.
    pub suspected_chance: f64,
    /// Time from the last outcome to the first trial request at a suspected
    /// server; multiplied by the number of consecutive failures.
    pub trial_interval: Duration,
    /// Time for which a server that shed a request is avoided if others are as
    /// good.
    pub shed_backoff: Duration,
    /// Time for which a server is not asked after another one answered at its
    /// address. Its entry lapses within that time if it is gone.
    pub misdirected_time: Duration,
    /// Cost of a server that shed a request recently. A retry is expensive if
    /// all servers shed.
    pub shed_cost: Duration,
    /// Idle time after which a server that is likely healthy gets a request.
    /// Healthy servers must not stay without requests for two seconds.
    pub healthy_explore_interval: Duration,
    /// Failing probability below which a server is likely healthy.
    pub likely_healthy_belief: f64,
    /// Idle time after which any other server gets a request while few
    /// requests fail and no retryable requests arrive.
    pub calm_explore_interval: Duration,
    /// Like `calm_explore_interval`, for a server that is likely still
    /// failing. A fifth of these get a request in any two seconds; if three in
    /// ten servers fail, three in four of those that may be healthy get one.
    pub calm_suspect_explore_interval: Duration,
    /// Idle time after which any other server gets a request while many
    /// requests fail.
    pub explore_interval: Duration,
    /// Like `explore_interval`, while retryable requests also explore such
    /// servers.
    pub assisted_explore_interval: Duration,
    /// Like `explore_interval`, for a server that is likely still failing.
    pub suspect_explore_interval: Duration,
    /// Share of failed requests above which many requests fail: the tenth from
    /// which on operators require that most healthy servers get requests.
    pub explore_failure_share: f64,
    /// Fewest failed requests on a host for which many requests count as
    /// failing; a share of fewer is not significant.
    pub explore_failures_min: u32,
    /// Failure probability from which on a failure is expected; below that of
    /// a server without evidence.
    pub expected_failure_chance: f64,
    /// Time over which failed requests are counted for that share.
    pub explore_window: Duration,
    /// Failing probability above which a server is likely still failing.
    pub likely_failing_belief: f64,
    /// Gain of a retryable request from showing whether a server without
    /// recent evidence is healthy.
    pub verify_gain: Duration,
    /// Time constant with which the verification gain grows with the age of
    /// the last outcome.
    pub evidence_age_scale: Duration,
    /// Queued requests per slot for the most urgent priority; halved for each
    /// lower priority.
    pub queue_per_slot: f64,
    /// Idle time after which a server that joined and has answered no request
    /// gets one, also if that request cannot be retried. It must get one
    /// within two seconds.
    pub joining_interval: Duration,
    /// Share of a cold server's request rate that all hosts use together.
    pub cold_rate_share: f64,
    /// Time after which a change of an entry is known to all hosts that the store
    /// or a peer keeps current.
    pub entry_delay: Duration,
    /// Time without a report of any peer after which a host is isolated.
    pub peer_timeout: Duration,
    /// Like `check_ttl`, for an isolated host. An answer counts for the requests
    /// that waited for it.
    pub isolated_check_ttl: Duration,
    /// Time for which a host out of contact relies on a server's statement that
    /// it is not in cold start.
    pub check_ttl: Duration,
    /// Maximum time for which a host waits for such a statement. The server
    /// answers when one of its slots is free.
    pub check_timeout: Duration,
    /// Cost of asking for the statement: a round trip and a part of a slot.
    pub check_cost: Duration,
    /// Time until the start of a request is known to all hosts, some of which
    /// have a tenth of a core.
    pub signal_delay: Duration,
    /// Time after which a peer's reported number of in-flight requests is
    /// ignored.
    pub peer_load_ttl: Duration,
    /// Assumed request duration before the first sample.
    pub initial_duration: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            balance: BalanceSettings::default(),
            evidence: EvidenceSettings::default(),
            own_path: EvidenceSettings::own_path(),
            suspected_chance: 0.2,
            lost_request_cost: Duration::from_secs(4),
            retry_cost: Duration::from_millis(250),
            zone_cost: Duration::from_millis(30),
            connect_cost: Duration::from_millis(20),
            load_cost: Duration::from_millis(120),
            jitter: Duration::from_millis(20),
            trial_interval: Duration::from_millis(600),
            shed_backoff: Duration::from_millis(300),
            misdirected_time: Duration::from_secs(6),
            shed_cost: Duration::from_millis(500),
            healthy_explore_interval: Duration::from_millis(1_500),
            likely_healthy_belief: 0.1,
            calm_explore_interval: Duration::from_secs(4),
            calm_suspect_explore_interval: Duration::from_secs(10),
            explore_interval: Duration::from_millis(1_300),
            assisted_explore_interval: Duration::from_millis(1_900),
            suspect_explore_interval: Duration::from_millis(3_500),
            explore_failure_share: 0.1,
            explore_failures_min: 3,
            expected_failure_chance: 0.12,
            explore_window: Duration::from_secs(3),
            likely_failing_belief: 0.65,
            verify_gain: Duration::from_millis(60),
            evidence_age_scale: Duration::from_secs(1),
            queue_per_slot: 2.0,
            joining_interval: Duration::from_millis(500),
            cold_rate_share: 0.75,
            entry_delay: Duration::from_millis(2_500),
            peer_timeout: Duration::from_millis(1_700),
            isolated_check_ttl: Duration::from_millis(100),
            check_ttl: Duration::from_secs(1),
            check_timeout: Duration::from_millis(300),
            check_cost: Duration::from_millis(40),
            signal_delay: Duration::from_millis(100),
            peer_load_ttl: Duration::from_secs(3),
            initial_duration: Duration::from_millis(250),
        }
    }
}
