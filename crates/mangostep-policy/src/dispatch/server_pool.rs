use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use {
    mangostep_objects::RequestKind,
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
};

use crate::{
    MonotonicTime,
    dispatch::{
        PoolSettings, ServerEntry, ServerEvidence, ServerStatement, SlidingCounter, StatedLimit,
        StatementCounts, StatementReport, server_backoff::ServerBackoff,
        server_statement::StatementRecord,
    },
};

new_key_type! {
    /// Key of a backend server in a [`ServerPool`].
    pub struct ServerKey;
}

/// A peer host, numbered by the host that receives its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(pub u64);

/// A request for which [`ServerPool::choose`] picks a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request is addressed to.
    pub service: &'a str,
    /// Whether the request is idempotent.
    pub kind: RequestKind,
    /// Availability zone of the choosing host.
    pub zone: &'a str,
    /// Servers that earlier attempts of the request were sent to; they are not
    /// chosen again.
    pub tried: &'a [ServerKey],
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Requests per second for the service that this host receives.
    pub own_rate_per_s: f64,
    /// Whether this host receives the start and end reports of its peers,
    /// which is the case when look-ups return it to callers.
    pub sees_peer_traffic: bool,
    /// Whether the retry budget allows a retry after a failure.
    pub may_retry: bool,
}

/// Outcome of choosing a server for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChoice {
    /// The request goes to this server.
    Send(ServerKey),
    /// No server can take the request now; the duration is the Retry-After
    /// value for the caller.
    Refuse(ChoiceRefusal, Duration),
}

/// Reason for which no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// The service has no server that accepts work.
    NoServer,
    /// Every warm server already has as many in-flight requests as it can
    /// complete in time.
    NoCapacity,
    /// All servers are in cold start and at the limit of their warm-up rate.
    AllCold,
    /// All servers that could take the request are at the rate limit that they
    /// state.
    RateLimited,
    /// All servers that could take the request stated a wait that has not
    /// ended.
    BackingOff,
}

impl ChoiceRefusal {
    /// Label of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceRefusal::NoServer => "no-server",
            ChoiceRefusal::NoCapacity => "no-room",
            ChoiceRefusal::AllCold => "all-cold",
            ChoiceRefusal::RateLimited => "rate-limited",
            ChoiceRefusal::BackingOff => "backing-off",
        }
    }
}

/// Outcome of an attempt on this host or a peer, as evidence about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerSignal {
    /// The server sent a complete response.
    Success,
    /// The connection was reset, the response was truncated or corrupt, or no
    /// response came before the deadline.
    Failure,
    /// The server itself answered with an error.
    Error,
    /// No response came long after the usual time; the request is still in
    /// flight.
    Stall,
    /// The server shed the request without running it.
    Shed,
    /// No connection was established in time, which may be a network fault
    /// between one host and the server.
    Unreachable,
    /// Nothing listens at the server's address.
    Refused,
    /// A different server listens at the server's address.
    Misdirected,
    /// The caller disconnected, which is no evidence about the server.
    Nothing,
}

impl ServerSignal {
    /// Label of the signal in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ServerSignal::Success => "success",
            ServerSignal::Failure => "lost",
            ServerSignal::Error => "error",
            ServerSignal::Stall => "stall",
            ServerSignal::Shed => "shed",
            ServerSignal::Unreachable => "unreachable",
            ServerSignal::Refused => "refused",
            ServerSignal::Misdirected => "misdirected",
            ServerSignal::Nothing => "none",
        }
    }

    /// Whether the signal is evidence that the server fails.
    pub fn is_failure(self) -> bool {
        !matches!(
            self,
            ServerSignal::Success | ServerSignal::Shed | ServerSignal::Nothing
        )
    }
}

/// A change of whether a server is suspected of failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Failure probability before the latest outcome, from 0 to 1.
    pub before: f64,
    /// Failure probability after the latest outcome, from 0 to 1.
    pub after: f64,
    /// Whether the server is suspected after the change.
    pub is_suspected: bool,
}

/// Peers that are notified of the start and end of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalScope {
    /// The zone of the sending host, whose hosts mostly use the same servers.
    OwnZone,
    /// The zone of the sending host and the zone of the server.
    BothZones,
    /// All zones, because a cold server can handle only a low rate from all
    /// hosts together.
    AllZones,
}

#[derive(Clone, Debug)]
struct ServerRecord {
    entry: ServerEntry,
    /// Outcomes of attempts from all hosts.
    evidence: ServerEvidence,
    /// Outcomes of attempts from this host alone, as evidence about its
    /// network path to the server.
    own_path: ServerEvidence,
    own_in_flight: u32,
    peers_in_flight: Vec<(PeerKey, u32, MonotonicTime)>,
    /// When any host last sent a request to the server; initially when the
    /// server was added.
    last_start: MonotonicTime,
    cold_until: MonotonicTime,
    shedding_until: MonotonicTime,
    /// Start times within the last second of requests from all reporting
    /// hosts; recorded only while the server is cold.
    cold_starts: VecDeque<MonotonicTime>,
    /// When the server is removed after its entry lapsed.
    held_until: Option<MonotonicTime>,
    statements: StatementRecord,
    backoff: ServerBackoff,
}

impl ServerRecord {
    fn in_flight(&self, span: Duration, now: MonotonicTime) -> u32 {
        let is_recent = |(_, _, seen): &&(PeerKey, u32, MonotonicTime)| now.since(*seen) < span;
        let peers = self.peers_in_flight.iter().filter(is_recent);
        self.own_in_flight + peers.map(|(_, in_flight, _)| in_flight).sum::<u32>()
    }
}

/// The backend servers that a host knows, and the choice among them.
///
/// The pool ranks servers and does not eject them: every server that accepts
/// work can be chosen, in the order of the expected cost of a failure.
/// Requests that cannot be retried go to servers with a recent success.
/// Requests that can be retried also try the others, to collect evidence.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    settings: PoolSettings,
    servers: SlotMap<ServerKey, ServerRecord>,
    by_id: HashMap<String, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    zones_out: HashSet<String>,
    /// Servers that stated that they leave, by id, with the start time of the
    /// process and the time of the statement. Their entries may lapse and
    /// return, or be read after the statement was heard.
    leaving: HashMap<String, (u64, MonotonicTime)>,
    durations: HashMap<String, Duration>,
    /// When retryable requests last arrived, by service.
    retryable: HashMap<String, RetryableTimes>,
    outcomes: HashMap<String, ServiceOutcomes>,
    host_count: usize,
}

/// Times of a service's most recent retryable requests.
#[derive(Clone, Copy, Debug, Default)]
struct RetryableTimes {
    last: Option<MonotonicTime>,
    /// The most recent one that the retry budget allowed to be retried.
    last_within_budget: Option<MonotonicTime>,
}

/// Completed requests of this host for one service.
#[derive(Clone, Debug, Default)]
struct ServiceOutcomes {
    /// When the first request ended.
    first: MonotonicTime,
    all: SlidingCounter,
    failed: SlidingCounter,
}

/// Assumed number of sending hosts until it is known. It exceeds the size of
/// any fleet, so that a cold server does not get too high a rate from all
/// hosts together.
const ASSUMED_HOSTS: usize = 1_000;

/// Time for which a statement that a server leaves is remembered; longer than
/// any planned shutdown.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Weight of a new sample in the moving average of request durations.
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

/// Failure probability from which on a warm server is no better than a cold
/// one, which runs slowly.
const COLD_FALLBACK_CHANCE: f64 = 0.25;

/// Number of consecutive failures beyond which the interval between trial
/// requests no longer grows.
const TRIAL_STREAK_MAX: u32 = 5;

/// Factor by which the trial interval is longer when the trial request would
/// stall instead of failing at once.
const STALL_TRIAL_FACTOR: u32 = 2;

/// Longest Retry-After value; callers wait at most a third of their time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

impl ServerPool {
    /// Creates an empty pool.
    pub fn open(settings: PoolSettings) -> Self {
        ServerPool {
            settings,
            host_count: ASSUMED_HOSTS,
            ..Default::default()
        }
    }

    /// Sets how many hosts send requests, including this one.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.host_count = hosts.max(1);
    }

    /// Adds a server or updates its entry.
    ///
    /// A server that was not in the pool counts as cold for at least
    /// `joining_cold`, even if its entry has a shorter warm-up. An entry with
    /// a new start time, service or address is a new server.
    pub fn put(
        &mut self,
        entry: &ServerEntry,
        joining_cold: Duration,
        now: MonotonicTime,
    ) -> ServerKey {
        let known = self.by_id.get(&entry.id).copied();
        if let Some(key) = known {
            let record = &mut self.servers[key];
            let is_same = record.entry.started_ms == entry.started_ms
                && record.entry.service == entry.service
                && record.entry.address == entry.address;
            if is_same {
                record.held_until = None;
                record.cold_until = record.cold_until.max(now + entry.cold_left);
                record.entry = entry.clone();
                return key;
            }
            self.remove(&entry.id);
        }
        let cold = entry.cold_left.max(joining_cold);
        let key = self.servers.insert(ServerRecord {
            entry: entry.clone(),
            evidence: ServerEvidence::default(),
            own_path: ServerEvidence::default(),
            own_in_flight: 0,
            peers_in_flight: Vec::new(),
            last_start: now,
            cold_until: now + cold,
            shedding_until: MonotonicTime::ZERO,
            cold_starts: VecDeque::new(),
            held_until: None,
            statements: self.known_statements(entry, now),
            backoff: ServerBackoff::default(),
        });
        self.by_id.insert(entry.id.clone(), key);
        let service = self.by_service.entry(entry.service.clone()).or_default();
        service.push(key);
        key
    }

    /// What is known of a new server's statements.
    fn known_statements(&self, entry: &ServerEntry, now: MonotonicTime) -> StatementRecord {
        match self.leaving.get(&entry.id) {
            Some((started_ms, stated)) if *started_ms == entry.started_ms => {
                StatementRecord::leaving(*stated, now)
            }
            _ => StatementRecord::default(),
        }
    }

    /// Removes a server and returns whether it was in the pool.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        if let Some(record) = self.servers.remove(key)
            && let Some(keys) = self.by_service.get_mut(&record.entry.service)
        {
            keys.retain(|other| *other != key);
        }
        true
    }

    /// Schedules the removal of a server whose entry lapsed. A server that is
    /// scheduled already keeps its earlier time.
    pub fn hold(&mut self, id: &str, until: MonotonicTime) {
        if let Some(key) = self.by_id.get(id) {
            let record = &mut self.servers[*key];
            record.held_until.get_or_insert(until);
        }
    }

    /// Removes the servers whose scheduled removal time has passed, and
    /// returns their ids.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> Vec<String> {
        let is_expired =
            |record: &&ServerRecord| record.held_until.is_some_and(|until| until <= now);
        let expired = self.servers.values().filter(is_expired);
        let expired: Vec<String> = expired.map(|record| record.entry.id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Sets the availability zones that take no work. The servers of a zone
    /// that returns to service count as cold for at least `return_cold`.
    pub fn set_zones_out(
        &mut self,
        zones: HashSet<String>,
        return_cold: Duration,
        now: MonotonicTime,
    ) {
        for record in self.servers.values_mut() {
            let zone = &record.entry.zone;
            if self.zones_out.contains(zone) && !zones.contains(zone) {
                record.cold_until = record.cold_until.max(now + return_cold);
            }
        }
        self.zones_out = zones;
    }

    /// Returns the key of the server with the given id.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the entry of a server, or `None` after its removal.
    pub fn entry(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key).map(|record| &record.entry)
    }

    /// Whether a server may get requests: it is not draining, did not state
    /// that it leaves, and its zone is in service.
    pub fn accepts_work(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|record| {
            !record.entry.is_draining
                && !record.statements.is_leaving()
                && !self.zones_out.contains(&record.entry.zone)
        })
    }

    /// Returns the entries of all servers, including draining ones.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|record| &record.entry)
    }

    /// Number of this host's in-flight requests at a server.
    pub fn own_in_flight(&self, key: ServerKey) -> u32 {
        self.servers
            .get(key)
            .map_or(0, |record| record.own_in_flight)
    }

    /// Probability that a request to the server fails, from 0 to 1; 0 for a
    /// removed server.
    pub fn failure_chance(&self, key: ServerKey, now: MonotonicTime) -> f64 {
        self.servers
            .get(key)
            .map_or(0.0, |record| self.failure_chance_of(record, now))
    }

    /// Records that this host sends a request to a server.
    pub fn start(&mut self, key: ServerKey, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.own_in_flight += 1;
        }
        self.record_start(key, now);
    }

    /// Records that this host or a peer sends a request to a server.
    pub fn record_start(&mut self, key: ServerKey, now: MonotonicTime) {
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        record.last_start = now;
        let second = Duration::from_secs(1);
        let starts = &mut record.cold_starts;
        while starts
            .front()
            .is_some_and(|start| now.since(*start) >= second)
        {
            starts.pop_front();
        }
        if record.cold_until > now {
            starts.push_back(now);
        }
    }

    /// Peers that a host of `zone` should notify of its in-flight requests at
    /// a server.
    pub fn signal_scope(&self, key: ServerKey, zone: &str, now: MonotonicTime) -> SignalScope {
        match self.servers.get(key) {
            Some(record) if record.cold_until > now => SignalScope::AllZones,
            Some(record) if record.entry.zone != zone => SignalScope::BothZones,
            _ => SignalScope::OwnZone,
        }
    }

    /// Records the end of a request that [`ServerPool::start`] counted.
    pub fn finish(&mut self, key: ServerKey) {
        if let Some(record) = self.servers.get_mut(key) {
            record.own_in_flight = record.own_in_flight.saturating_sub(1);
        }
    }

    /// Records a peer's number of in-flight requests at a server.
    pub fn record_peer_in_flight(
        &mut self,
        key: ServerKey,
        peer: PeerKey,
        in_flight: u32,
        now: MonotonicTime,
    ) {
        let span = self.settings.peer_load_ttl;
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        record
            .peers_in_flight
            .retain(|(other, _, seen)| *other != peer && now.since(*seen) < span);
        if in_flight > 0 {
            record.peers_in_flight.push((peer, in_flight, now));
        }
    }

    /// Records the outcome of an attempt of this host whose request was sent
    /// at `sent`. Returns the change if the server starts or stops being
    /// suspected.
    pub fn record_own_outcome(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let before = self.failure_chance(key, now);
        if let Some(record) = self.servers.get_mut(key)
            && signal == ServerSignal::Success
        {
            record.backoff.record_success(now);
        }
        if let Some(record) = self.servers.get_mut(key)
            && !matches!(signal, ServerSignal::Error | ServerSignal::Misdirected)
        {
            let settings = &self.settings.own_path;
            record.own_path.record(settings, signal, sent, now);
        }
        self.record_shared(key, signal, sent, now);
        self.suspicion_change(before, key, now)
    }

    /// Records the outcome of an attempt of a peer whose request was sent at
    /// `sent`. Returns the change if the server starts or stops being
    /// suspected.
    pub fn record_peer_outcome(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let before = self.failure_chance(key, now);
        self.record_shared(key, signal, sent, now);
        self.suspicion_change(before, key, now)
    }

    fn record_shared(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        if signal == ServerSignal::Shed {
            record.shedding_until = now + self.settings.shed_backoff;
        }
        // A server that one host cannot reach may be healthy for the others.
        if signal != ServerSignal::Unreachable {
            let settings = &self.settings.evidence;
            record.evidence.record(settings, signal, sent, now);
        }
    }

    fn suspicion_change(
        &self,
        before: f64,
        key: ServerKey,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let after = self.failure_chance(key, now);
        let is_suspected = |chance: f64| chance > self.settings.suspected_chance;
        let shift = SuspicionChange {
            before,
            after,
            is_suspected: is_suspected(after),
        };
        (is_suspected(before) != shift.is_suspected).then_some(shift)
    }

    /// Records what a server stated in a response to this host. Returns whether
    /// that differs from its latest statement.
    pub fn record_own_statement(
        &mut self,
        key: ServerKey,
        statement: ServerStatement,
        now: MonotonicTime,
    ) -> bool {
        let Some(record) = self.servers.get_mut(key) else {
            return false;
        };
        let has_changed = record.statements.record(statement, now, true, now);
        let (id, started_ms) = (record.entry.id.clone(), record.entry.started_ms);
        if statement.is_leaving && has_changed {
            self.record_leaving(id, started_ms, now, now);
        }
        has_changed
    }

    /// Records that a server leaves, and forgets those that stated so long ago
    /// that their processes have ended.
    fn record_leaving(
        &mut self,
        id: String,
        started_ms: u64,
        stated: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.leaving
            .retain(|_, (_, stated)| now.since(*stated) < LEAVING_MEMORY);
        self.leaving.insert(id, (started_ms, stated));
    }

    /// Records that a server shed a request of this host and stated for how
    /// long it wants none. `spread` is random, from 0 to 1, and differs between
    /// hosts.
    pub fn record_wait(&mut self, key: ServerKey, wait: Duration, spread: f64, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.backoff.record(wait, spread, now);
        }
    }

    /// Records what a server stated in a response to a peer. Returns whether
    /// that is newer than its latest statement and differs from it.
    pub fn record_peer_statement(&mut self, report: &StatementReport, now: MonotonicTime) -> bool {
        let stated = now - Duration::from_millis(report.age_ms.into());
        if report.statement.is_leaving && !self.leaving.contains_key(&report.server) {
            self.record_leaving(report.server.clone(), report.started_ms, stated, now);
        }
        let key = self.by_id.get(&report.server).copied();
        let Some(record) = key.and_then(|key| self.servers.get_mut(key)) else {
            return false;
        };
        record.entry.started_ms == report.started_ms
            && record
                .statements
                .record(report.statement, stated, false, now)
    }

    /// The statements that this host reports to its peers: a watcher passes on
    /// all that it knows, other hosts those that servers made to them. With
    /// `recent`, only statements that changed within that time count.
    pub fn statement_reports(
        &self,
        is_watcher: bool,
        recent: Option<Duration>,
        now: MonotonicTime,
    ) -> impl Iterator<Item = StatementReport> {
        self.servers.values().filter_map(move |record| {
            let (statement, stated) = record.statements.to_report(is_watcher, recent, now)?;
            Some(StatementReport {
                server: record.entry.id.clone(),
                started_ms: record.entry.started_ms,
                statement,
                age_ms: u32::try_from(now.since(stated).as_millis()).unwrap_or(u32::MAX),
            })
        })
    }

    /// Number of servers by what they state about themselves.
    pub fn statement_counts(&self, now: MonotonicTime) -> StatementCounts {
        let mut counts = StatementCounts::default();
        for record in self.servers.values() {
            counts.limited += u64::from(record.statements.rate_limit().is_some());
            counts.leaving += u64::from(record.statements.is_leaving());
            counts.waiting += u64::from(!record.backoff.left(now).is_zero());
        }
        counts
    }

    /// The rate limit that a server states. Each request to the server takes a
    /// token from a bucket that all hosts share.
    pub fn rate_limit(&self, key: ServerKey) -> Option<StatedLimit> {
        self.servers.get(key)?.statements.rate_limit()
    }

    /// Records that this host gets no token for a server before `until`.
    pub fn record_denial(&mut self, key: ServerKey, until: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.statements.record_denial(until);
        }
    }

    /// Records a retryable request for a service, and whether the retry budget
    /// allows it to be retried.
    pub fn record_retryable(&mut self, service: &str, has_budget: bool, now: MonotonicTime) {
        if !self.retryable.contains_key(service) {
            let times = RetryableTimes::default();
            self.retryable.insert(service.to_owned(), times);
        }
        if let Some(times) = self.retryable.get_mut(service) {
            times.last = Some(now);
            if has_budget {
                times.last_within_budget = Some(now);
            }
        }
    }

    /// Records a request for a service that ended on this host.
    ///
    /// `chance` is the failure probability of the last server when it was
    /// chosen. Failures at servers that were explored are not counted: they
    /// are no evidence about the other servers, and they would prolong the
    /// exploration.
    pub fn record_ended(
        &mut self,
        service: &str,
        is_served: bool,
        chance: f64,
        now: MonotonicTime,
    ) {
        if !is_served && chance >= self.settings.expected_failure_chance {
            return;
        }
        if !self.outcomes.contains_key(service) {
            let outcomes = ServiceOutcomes {
                first: now,
                ..Default::default()
            };
            self.outcomes.insert(service.to_owned(), outcomes);
        }
        if let Some(outcomes) = self.outcomes.get_mut(service) {
            outcomes.all.add(now);
            if !is_served {
                outcomes.failed.add(now);
            }
        }
    }

    /// Whether so many of the service's requests fail on this host after all
    /// retries that servers without recent evidence are explored.
    fn fails_often(&self, service: &str, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let span = settings.explore_window;
        self.outcomes.get(service).is_some_and(|outcomes| {
            let all = f64::from(outcomes.all.count_at(now, span));
            let failed = outcomes.failed.count_at(now, span);
            failed >= settings.explore_failures_min
                && f64::from(failed) > all * settings.explore_failure_share
        })
    }

    /// Adds a sample to the moving average of the service's request duration.
    pub fn record_duration(&mut self, service: &str, duration: Duration) {
        match self.durations.get_mut(service) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - DURATION_SAMPLE_WEIGHT)
                    + duration.mul_f64(DURATION_SAMPLE_WEIGHT);
            }
            None => {
                self.durations.insert(service.to_owned(), duration);
            }
        }
    }

    /// Mean duration of the service's requests; a default before the first
    /// sample.
    pub fn mean_duration(&self, service: &str) -> Duration {
        let known = self.durations.get(service).copied();
        known.unwrap_or(self.settings.initial_duration)
    }

    /// Picks the server for a request.
    ///
    /// `cold_rate_per_s` is the request rate from all hosts together that a
    /// cold server of the service can handle; `None` means no bound.
    /// `is_connected` returns whether this host has a connection to a server
    /// that the request may use.
    pub fn choose(
        &self,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: impl Fn(ServerKey) -> bool,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> ServerChoice {
        let keys = self
            .by_service
            .get(request.service)
            .map_or(&[][..], Vec::as_slice);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut refusal = ChoiceRefusal::NoServer;
        let mut shortest_wait = RETRY_AFTER_MAX;
        let (mut cold_pick, mut cold_fallback) = (None, None);
        for key in keys.iter().copied().filter(|key| self.accepts_work(*key)) {
            if request.tried.contains(&key) {
                continue;
            }
            let record = &self.servers[key];
            if let Some((reason, wait)) = self.held_back(record, request, now) {
                if matches!(refusal, ChoiceRefusal::NoServer | ChoiceRefusal::AllCold) {
                    refusal = reason;
                }
                shortest_wait = shortest_wait.min(wait);
                continue;
            }
            if record.cold_until > now {
                if refusal == ChoiceRefusal::NoServer {
                    refusal = ChoiceRefusal::AllCold;
                }
                if self.has_cold_capacity(record, cold_rate_per_s, now) {
                    if cold_fallback.is_none_or(|other| self.second_has_fewer_starts(other, key)) {
                        cold_fallback = Some(key);
                    }
                    if random.random_bool(self.cold_chance(request, cold_rate_per_s)) {
                        cold_pick = Some(key);
                    }
                }
                continue;
            }
            let (wait, has_capacity) = self.expected_wait(record, request, now);
            shortest_wait = shortest_wait.min(wait);
            if !has_capacity {
                refusal = ChoiceRefusal::NoCapacity;
                continue;
            }
            let jitter = random.random_range(0.0..=self.settings.jitter.as_secs_f64());
            let mut cost = self.cost(record, request, wait, now) + jitter;
            if !is_connected(key) {
                cost += self.settings.connect_cost.as_secs_f64();
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        if let Some(key) = cold_pick {
            return ServerChoice::Send(key);
        }
        // If the warm servers are full or likely to fail, a cold server is
        // used within its warm-up rate.
        let threshold = self.settings.lost_request_cost.as_secs_f64() * COLD_FALLBACK_CHANCE;
        let uses_cold = best.is_none_or(|(cost, _)| cost > threshold);
        if let Some(key) = cold_fallback.filter(|_| uses_cold && request.sees_peer_traffic)
            && random.random_bool(self.cold_fallback_chance(request, cold_rate_per_s))
        {
            return ServerChoice::Send(key);
        }
        match best {
            Some((_, key)) => ServerChoice::Send(key),
            None => {
                let spread = random.random_range(1.0..2.0);
                let after = shortest_wait
                    .max(self.settings.shed_backoff)
                    .mul_f64(spread);
                ServerChoice::Refuse(refusal, after.min(RETRY_AFTER_MAX))
            }
        }
    }

    /// Why and for how long this host must not send a request to a server,
    /// because of what the server stated; `None` if it may.
    fn held_back(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> Option<(ChoiceRefusal, Duration)> {
        let wait = record.backoff.left(now);
        if !wait.is_zero() {
            return Some((ChoiceRefusal::BackingOff, wait));
        }
        if !record.backoff.admits_beside(record.own_in_flight) {
            let duration = self.mean_duration(request.service);
            return Some((ChoiceRefusal::BackingOff, duration));
        }
        let denied = record.statements.denied_for(now);
        (!denied.is_zero()).then_some((ChoiceRefusal::RateLimited, denied))
    }

    fn failure_chance_of(&self, record: &ServerRecord, now: MonotonicTime) -> f64 {
        let shared = record.evidence.failure_chance(&self.settings.evidence, now);
        let own = record.own_path.belief(&self.settings.own_path, now);
        1.0 - (1.0 - shared) * (1.0 - own)
    }

    /// Whether a server of this host's zone has been idle for so long that a
    /// request that cannot be retried goes there.
    ///
    /// Servers that are likely healthy get such requests in turn, so that the
    /// hosts' evidence about them stays recent. Other servers are explored,
    /// seldom while few requests fail. While retryable requests arrive, those
    /// do both unless many requests fail.
    fn is_exploration_due(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> bool {
        let settings = &self.settings;
        let Some(outcomes) = self.outcomes.get(request.service) else {
            return false;
        };
        if record.entry.zone != request.zone || record.in_flight(settings.peer_load_ttl, now) > 0 {
            return false;
        }
        let last = record
            .evidence
            .last_outcome()
            .max(record.own_path.last_outcome());
        let last = last.unwrap_or_default().max(record.last_start);
        let idle = now.since(last.max(outcomes.first));
        let shared = record.evidence.belief(&settings.evidence, now);
        let belief = shared.max(record.own_path.belief(&settings.own_path, now));
        let fails_often = self.fails_often(request.service, now);
        let is_recent =
            |at: Option<MonotonicTime>, span: Duration| at.is_some_and(|at| now.since(at) < span);
        let retryable = self
            .retryable
            .get(request.service)
            .copied()
            .unwrap_or_default();
        if !fails_often && is_recent(retryable.last, settings.calm_explore_interval) {
            return false;
        }
        let has_retryable = is_recent(retryable.last_within_budget, settings.explore_interval);
        if belief < settings.likely_healthy_belief {
            return idle >= settings.healthy_explore_interval;
        }
        let is_suspect = belief > settings.likely_failing_belief;
        let interval = match (
            self.fails_often(request.service, now),
            has_retryable,
            is_suspect,
        ) {
            (false, true, _) | (true, true, true) => return false,
            (false, false, true) => settings.calm_suspect_explore_interval,
            (false, false, false) => settings.calm_explore_interval,
            (true, false, true) => settings.suspect_explore_interval,
            (true, true, false) => settings.assisted_explore_interval,
            (true, false, false) => settings.explore_interval,
        };
        idle >= interval
    }

    /// Whether a suspected server may get a trial request. The interval grows
    /// with the number of consecutive failures.
    fn is_trial_due(&self, record: &ServerRecord, service: &str, now: MonotonicTime) -> bool {
        let evidence = &record.evidence;
        let own = &record.own_path;
        let streak = evidence
            .streak()
            .max(own.streak())
            .clamp(1, TRIAL_STREAK_MAX);
        let factor = match evidence.is_stalled() || own.is_stalled() {
            true => streak * STALL_TRIAL_FACTOR,
            false => streak,
        };
        let last = evidence.last_outcome().max(own.last_outcome());
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let interval = match self.fails_often(service, now) {
            true => {
                (self.settings.trial_interval * factor).min(self.settings.assisted_explore_interval)
            }
            false => self.settings.trial_interval * factor,
        };
        in_flight == 0 && last.is_none_or(|at| now.since(at) >= interval)
    }

    /// Whether a cold server got fewer requests in the last second than its
    /// share of the warm-up rate allows.
    fn has_cold_capacity(
        &self,
        record: &ServerRecord,
        cold_rate_per_s: Option<f64>,
        now: MonotonicTime,
    ) -> bool {
        let second = Duration::from_secs(1);
        let starts = record
            .cold_starts
            .iter()
            .filter(|start| now.since(**start) < second);
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let rate_limit = cold_rate_per_s.unwrap_or(f64::INFINITY) * self.settings.cold_rate_share;
        in_flight < record.entry.slots && starts.count() as f64 + 1.0 <= rate_limit.max(1.0)
    }

    /// Whether `second` got fewer requests during its cold start than `first`.
    fn second_has_fewer_starts(&self, first: ServerKey, second: ServerKey) -> bool {
        let starts = |key: ServerKey| self.servers[key].cold_starts.len();
        starts(second) < starts(first)
    }

    /// Probability of sending a request to one given cold server, such that
    /// all hosts together send it a fixed share of the rate that it can
    /// handle.
    fn cold_chance(&self, request: ChoiceRequest<'_>, cold_rate_per_s: Option<f64>) -> f64 {
        let Some(rate) = cold_rate_per_s else {
            return 1.0;
        };
        let fleet_rate = self.fleet_rate(request);
        (rate * self.settings.cold_rate_share / fleet_rate).clamp(0.0, 1.0)
    }

    /// Probability of using a cold server while the warm ones cannot take the
    /// request. The requests that all hosts send there before they learn of
    /// each other's must not exceed what the server can handle.
    fn cold_fallback_chance(
        &self,
        request: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
    ) -> f64 {
        let Some(rate) = cold_rate_per_s else {
            return 1.0;
        };
        let unseen = self.fleet_rate(request) * self.settings.signal_delay.as_secs_f64();
        let capacity = (rate * self.settings.cold_rate_share).max(1.0);
        (capacity / unseen.max(f64::EPSILON)).min(1.0)
    }

    /// Estimated requests per second of all hosts together, from the rate of
    /// this host.
    fn fleet_rate(&self, request: ChoiceRequest<'_>) -> f64 {
        request.own_rate_per_s.max(0.2) * self.host_count as f64
    }

    /// Expected wait for a slot, and whether the server has capacity for the
    /// request.
    fn expected_wait(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> (Duration, bool) {
        let slots = record.entry.slots.max(1);
        let in_flight = record.in_flight(self.settings.peer_load_ttl, now);
        let duration = self.mean_duration(request.service);
        let ahead = (in_flight + 1).saturating_sub(slots);
        let wait = duration.mul_f64(f64::from(ahead) / f64::from(slots));
        let priority_share = 0.5_f64.powi(request.priority.min(8) as i32);
        let queue = (f64::from(slots) * self.settings.queue_per_slot * priority_share).floor();
        let fits = f64::from(in_flight) < f64::from(slots) + queue;
        let in_time = wait + duration < request.time_left || ahead == 0;
        (wait, fits && in_time)
    }

    /// Expected cost of sending the request to the server, in seconds.
    fn cost(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        wait: Duration,
        now: MonotonicTime,
    ) -> f64 {
        let settings = &self.settings;
        let evidence = &record.evidence;
        let slots = f64::from(record.entry.slots.max(1));
        let in_flight = f64::from(record.in_flight(settings.peer_load_ttl, now));
        let mut cost = wait.as_secs_f64() + settings.load_cost.as_secs_f64() * in_flight / slots;
        if record.entry.zone != request.zone {
            cost += settings.zone_cost.as_secs_f64();
        }
        if record.held_until.is_some() {
            cost += settings.retry_cost.as_secs_f64();
        }
        if record.shedding_until > now {
            cost += settings.shed_cost.as_secs_f64();
        }
        let chance = self.failure_chance_of(record, now);
        let is_retryable = request.kind == RequestKind::Idempotent && request.may_retry;
        if !is_retryable {
            if self.is_exploration_due(record, request, now) {
                return cost - settings.verify_gain.as_secs_f64();
            }
            return cost + chance * settings.lost_request_cost.as_secs_f64();
        }
        let retry_cost = settings.retry_cost.as_secs_f64();
        let is_own_zone = record.entry.zone == request.zone;
        if chance > settings.suspected_chance {
            // A retryable request tests whether the server is healthy again.
            // Only hosts of the server's zone send such trial requests.
            return match is_own_zone && self.is_trial_due(record, request.service, now) {
                true => cost - retry_cost,
                false => cost + chance * settings.lost_request_cost.as_secs_f64(),
            };
        }
        if !is_own_zone {
            return cost + chance * retry_cost;
        }
        // Servers without recent evidence get a bonus that grows with the age
        // of the last outcome.
        let age = evidence.last_outcome().map_or(1.0, |at| {
            let spans = now.since(at).as_secs_f64() / settings.evidence_age_scale.as_secs_f64();
            1.0 - (-spans).exp()
        });
        cost - settings.verify_gain.as_secs_f64() * age
    }
}
