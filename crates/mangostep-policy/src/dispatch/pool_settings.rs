use std::time::Duration;

use crate::dispatch::EvidenceSettings;

/// Weights by which a [`ServerPool`](crate::ServerPool) orders servers.
///
/// All costs are in seconds of a caller's time, so that they can be added.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// How outcomes are weighed.
    pub evidence: EvidenceSettings,
    /// How outcomes of this host alone are weighed, which show its way to a
    /// server.
    pub own_path: EvidenceSettings,
    /// Cost of a request that may have run and cannot be sent again; a few
    /// times the usual target latency.
    pub lost_cost: Duration,
    /// Cost of a failure that can be sent again: a little time and a repeat.
    pub repeat_cost: Duration,
    /// Cost of leaving the own availability zone: two more passes between
    /// zones and the price of the bytes.
    pub zone_cost: Duration,
    /// Cost of a new connection: passes to the server and back, the slot that
    /// it holds meanwhile, and its price.
    pub connect_cost: Duration,
    /// Cost of the last slot of a server, which spreads work before servers
    /// are full.
    pub full_cost: Duration,
    /// Span of the random cost that keeps hosts from choosing alike.
    pub jitter: Duration,
    /// Chance of a failure from which on a server is suspected: well above
    /// that of a server of which nothing is known.
    pub suspected_chance: f64,
    /// Time between an outcome and the first request that tests a suspected
    /// server; longer with each failure.
    pub test_pause: Duration,
    /// Time for which a server that turned a request away is passed over if
    /// others are as good.
    pub shed_pause: Duration,
    /// Cost of a server that turned a request away a moment ago: the repeat
    /// is dear where all servers do so.
    pub shed_cost: Duration,
    /// Time without requests after which a server that is most likely sound
    /// gets one. Sound servers must not stay without requests for two seconds.
    pub turn_pause: Duration,
    /// Belief in a failing spell below which a server is most likely sound.
    pub trusted_belief: f64,
    /// Time without requests after which another server gets one in calm
    /// times, where no requests come that may be repeated.
    pub calm_explore_pause: Duration,
    /// The same for a server that most likely fails still. A fifth of these
    /// have a request in any two seconds; where three in ten servers fail,
    /// three in four of those that may be sound have one.
    pub calm_suspect_explore_pause: Duration,
    /// Time without requests after which another server gets one while many
    /// requests fail.
    pub explore_pause: Duration,
    /// The same where requests that may be repeated look after such servers.
    pub late_explore_pause: Duration,
    /// The same for a server that most likely fails still.
    pub suspect_explore_pause: Duration,
    /// Share of failed requests above which many fail: the tenth from which on
    /// operators ask that most sound servers get requests.
    pub explore_share: f64,
    /// Fewest failed requests of a host for that; fewer say little of a share.
    pub explore_failures: u32,
    /// Chance of a failure from which on one was to be expected: below that of
    /// a server of which nothing is known.
    pub risky_chance: f64,
    /// Time over which failed requests are counted for it.
    pub explore_span: Duration,
    /// Belief in a failing spell above which a server most likely fails still.
    pub explore_belief: f64,
    /// Gain of showing whether a server of which nothing was heard for long
    /// is sound, for requests that may be sent again.
    pub verify_cost: Duration,
    /// Time after which little is known of a server.
    pub verify_span: Duration,
    /// Waiting requests a slot, for the most urgent kind. Less urgent kinds
    /// get half as many for each rank.
    pub queue_share: f64,
    /// Share of the rate that a cold server bears which hosts use together.
    pub cold_share: f64,
    /// Time after which another host's number of running requests is stale.
    pub peer_load_span: Duration,
    /// Length of a request while none has been measured.
    pub initial_length: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            evidence: EvidenceSettings::default(),
            own_path: EvidenceSettings::own_path(),
            suspected_chance: 0.2,
            lost_cost: Duration::from_secs(4),
            repeat_cost: Duration::from_millis(250),
            zone_cost: Duration::from_millis(30),
            connect_cost: Duration::from_millis(20),
            full_cost: Duration::from_millis(120),
            jitter: Duration::from_millis(20),
            test_pause: Duration::from_millis(600),
            shed_pause: Duration::from_millis(300),
            shed_cost: Duration::from_millis(500),
            turn_pause: Duration::from_millis(1_500),
            trusted_belief: 0.1,
            calm_explore_pause: Duration::from_secs(4),
            calm_suspect_explore_pause: Duration::from_secs(10),
            explore_pause: Duration::from_millis(1_300),
            late_explore_pause: Duration::from_millis(1_900),
            suspect_explore_pause: Duration::from_millis(3_500),
            explore_share: 0.1,
            explore_failures: 3,
            risky_chance: 0.12,
            explore_span: Duration::from_secs(3),
            explore_belief: 0.65,
            verify_cost: Duration::from_millis(60),
            verify_span: Duration::from_secs(1),
            queue_share: 2.0,
            cold_share: 0.75,
            peer_load_span: Duration::from_secs(3),
            initial_length: Duration::from_millis(250),
        }
    }
}
