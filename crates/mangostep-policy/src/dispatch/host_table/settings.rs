use std::time::Duration;

/// Settings of a [`HostTable`](crate::HostTable).
#[derive(Clone, Debug, PartialEq)]
pub struct HostTableSettings {
    /// Time without a report after which a host counts as dead: three reports
    /// at intervals of half a second, and some allowance for delay.
    pub host_timeout: Duration,
    /// Number of watchers in each zone. Two may fail or be refused by the
    /// store at the same time.
    pub watchers: usize,
    /// Time without a report after which a watcher is replaced. It is shorter
    /// than `host_timeout`, since changes must be in force within seconds.
    pub watcher_timeout: Duration,
    /// Additional time, for each host that ranks higher, before a host becomes
    /// a watcher, so that not all hosts do so at the same time.
    pub succession_step: Duration,
    /// Upper bound of the additional time.
    pub succession_max: Duration,
    /// Time, for each host that ranks higher, before a host follows the store
    /// in place of watchers that the store refuses. A host calls the store at
    /// once and reports the result within that time.
    pub refusal_step: Duration,
    /// Time for which a host that replaced refused watchers, and was refused
    /// too, is no watcher, so that the next host tries.
    pub refusal_cooldown: Duration,
    /// Time after its start in which a host assumes that hosts without a
    /// report are alive, so that not all hosts of a starting zone become
    /// watchers.
    pub startup_grace: Duration,
    /// Time after its start until a host has heard from all others: two report
    /// intervals, and some allowance for delay.
    pub discovery_time: Duration,
    /// Time for which a zone's list is valid after it was received: twice the
    /// interval at which an unchanged list is sent again, and some allowance
    /// for delay.
    pub list_ttl: Duration,
    /// Time after two zones last heard from each other until they are out of
    /// contact: a report interval in each direction, another one on the way to
    /// this host, and some allowance for delay.
    pub contact_timeout: Duration,
    /// Time after a limit home last heard from a zone until it no longer grants
    /// the zone's share: two report intervals. Until then, homes on both sides of
    /// a network partition may grant the same tokens.
    pub home_contact_timeout: Duration,
    /// Time after a host took over the tokens of a bucket in which a request
    /// from a zone proves contact with the zone. Counts arrive later.
    pub contact_begin: Duration,
    /// Fewest hosts in the look-up answers of a zone if so many are alive: one
    /// may die while the others still have enough capacity.
    pub named_min: usize,
    /// Most hosts in the look-up answers of a zone; callers take no more.
    pub named_max: usize,
    /// Number of hosts of a zone that count the tokens of workspaces.
    pub homes: usize,
    /// Time for which hosts stay in the look-up answers after the load
    /// required them: each change moves callers and their connections.
    pub named_hold: Duration,
    /// Planned utilization of a host, as a share of its capacity.
    pub planned_utilization: f64,
    /// Whether look-up answers spread callers by the capacity of the hosts. The
    /// hosts with the most capacity are then named first, and an idle zone
    /// names all its hosts.
    pub weighs_capacity: bool,
    /// Requests per second of a zone up to which it counts as idle.
    pub idle_rate_per_s: f64,
    /// Requests per second from which on a host counts as serving even if it
    /// is not in the look-up answers: callers cache old answers for seconds.
    /// Health checks of single hosts stay below this rate.
    pub serving_rate_per_s: f64,
}

impl Default for HostTableSettings {
    fn default() -> Self {
        HostTableSettings {
            host_timeout: Duration::from_millis(1_700),
            watchers: 3,
            watcher_timeout: Duration::from_millis(1_200),
            succession_step: Duration::from_millis(30),
            succession_max: Duration::from_millis(300),
            refusal_step: Duration::from_millis(250),
            refusal_cooldown: Duration::from_secs(4),
            startup_grace: Duration::from_millis(600),
            discovery_time: Duration::from_millis(1_200),
            list_ttl: Duration::from_millis(4_500),
            contact_timeout: Duration::from_millis(2_000),
            home_contact_timeout: Duration::from_millis(1_100),
            contact_begin: Duration::from_secs(2),
            named_min: 4,
            named_max: 64,
            homes: 2,
            named_hold: Duration::from_secs(12),
            planned_utilization: 0.5,
            weighs_capacity: false,
            idle_rate_per_s: 1.0,
            serving_rate_per_s: 3.0,
        }
    }
}
