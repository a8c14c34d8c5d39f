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
    dispatch::{PoolSettings, ServerEntry, ServerEvidence, SlidingCounter},
};

new_key_type! {
    /// A backend server in a [`ServerPool`].
    pub struct ServerKey;
}

/// Another host, as the one that counts it numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(pub u64);

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Whether it may be sent again.
    pub kind: RequestKind,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerKey],
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Rate of requests for the service on this host, a second.
    pub own_rate_per_s: f64,
    /// Whether this host learns what the others send: callers are led to it.
    pub sees_peer_traffic: bool,
    /// Whether a failure could be sent again within the budget.
    pub may_retry: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChoice {
    /// To this server.
    Send(ServerKey),
    /// Nowhere now; the caller may come back after the time.
    Refuse(ChoiceRefusal, Duration),
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// The service has no server that may take work.
    NoServer,
    /// All servers have as many requests as they finish in time.
    NoCapacity,
    /// All servers are in cold start and have what they bear.
    AllCold,
}

impl ChoiceRefusal {
    /// The name of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceRefusal::NoServer => "no-server",
            ChoiceRefusal::NoCapacity => "no-room",
            ChoiceRefusal::AllCold => "all-cold",
        }
    }
}

/// What an attempt, here or on another host, showed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerSignal {
    /// A whole answer.
    Success,
    /// A reset, a cut or spoiled answer, or none by the deadline.
    Failure,
    /// An error answer of the server's own.
    Error,
    /// No answer long after the usual time; the request still runs.
    Stall,
    /// The server turned the request away without running it.
    Shed,
    /// No connection was made in time, which may be the way of one host.
    Unreachable,
    /// Nothing listens at the server's address.
    Refused,
    /// Another server listens at the server's address.
    Misdirected,
    /// The caller left, which says nothing of the server.
    Nothing,
}

impl ServerSignal {
    /// The name of the signal in logs and metrics.
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

    /// Whether the signal speaks against the server.
    pub fn is_failure(self) -> bool {
        !matches!(
            self,
            ServerSignal::Success | ServerSignal::Shed | ServerSignal::Nothing
        )
    }
}

/// A server that is suspected of failing now, or no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Chance of a failure before the last outcome.
    pub before: f64,
    /// The same after it.
    pub after: f64,
    /// Whether the server is suspected now.
    pub is_suspected: bool,
}

/// Which hosts learn of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalScope {
    /// Those of the zone of the host, who mostly use the same servers.
    OwnZone,
    /// Those of the zone of the server as well.
    BothZones,
    /// Those of all zones, for a cold server bears little from all of them.
    AllZones,
}

#[derive(Clone, Debug)]
struct ServerRecord {
    entry: ServerEntry,
    /// What all hosts saw of the server.
    evidence: ServerEvidence,
    /// What this host alone saw, which shows its way to the server.
    own_path: ServerEvidence,
    own_running: u32,
    peers_running: Vec<(PeerKey, u32, MonotonicTime)>,
    /// When a host sent it a request last, and before that when it was added.
    last_start: MonotonicTime,
    cold_until: MonotonicTime,
    full_until: MonotonicTime,
    /// Requests that were sent to the server in the last second, from all
    /// hosts that told of them; kept while it is cold.
    cold_starts: VecDeque<MonotonicTime>,
    /// When an entry that lapsed is given up.
    held_until: Option<MonotonicTime>,
}

impl ServerRecord {
    fn running(&self, span: Duration, now: MonotonicTime) -> u32 {
        let fresh = |(_, _, seen): &&(PeerKey, u32, MonotonicTime)| now.since(*seen) < span;
        let peers = self.peers_running.iter().filter(fresh);
        self.own_running + peers.map(|(_, running, _)| running).sum::<u32>()
    }
}

/// The backend servers that a host knows, and the choice among them.
///
/// The pool prefers rather than ejects: every server that may take work can
/// be chosen, in the order of what the next failure would cost. Requests that
/// run at most once go to servers that answered someone well a moment ago.
/// Requests that may be sent again test the others.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    settings: PoolSettings,
    servers: SlotMap<ServerKey, ServerRecord>,
    by_id: HashMap<String, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    zones_out: HashSet<String>,
    lengths: HashMap<String, Duration>,
    /// When a service last had requests that may be repeated.
    repeatable: HashMap<String, RepeatableTimes>,
    outcomes: HashMap<String, ServiceOutcomes>,
    hosts: usize,
}

/// When requests came that may be repeated.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatableTimes {
    last: Option<MonotonicTime>,
    /// The last one for which the retry budget had room.
    last_with_room: Option<MonotonicTime>,
}

/// Ends of this host's requests for one service.
#[derive(Clone, Debug, Default)]
struct ServiceOutcomes {
    /// When the first of them ended.
    first: MonotonicTime,
    all: SlidingCounter,
    failed: SlidingCounter,
}

/// Hosts that may send requests, while they have not been counted: more than
/// a fleet has, since a cold server must not get too much from all of them.
const HOSTS_UNKNOWN: usize = 1_000;

/// Share of a new measurement in the mean length of requests.
const LENGTH_SHARE: f64 = 0.05;

/// Chance of a failure from which on a warm server is no better than a cold
/// one, which runs slowly.
const DEAR_CHANCE: f64 = 0.25;

/// Failures in a row beyond which the pauses between tests grow no more.
const TEST_STREAK_MAX: u32 = 5;

/// Times the pause where a test would hang rather than fail at once.
const STALL_TEST_FACTOR: u32 = 2;

/// Longest Retry-After; callers wait at most a third of their time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

impl ServerPool {
    /// Opens a pool without servers.
    pub fn open(settings: PoolSettings) -> Self {
        ServerPool {
            settings,
            hosts: HOSTS_UNKNOWN,
            ..Default::default()
        }
    }

    /// Sets how many hosts may send requests, this one included.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Adds a server or takes over its new entry.
    ///
    /// `joining_cold` is the time for which a server that was not known
    /// before is taken as cold, whatever its entry says.
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
            own_running: 0,
            peers_running: Vec::new(),
            last_start: now,
            cold_until: now + cold,
            full_until: MonotonicTime::ZERO,
            cold_starts: VecDeque::new(),
            held_until: None,
        });
        self.by_id.insert(entry.id.clone(), key);
        let service = self.by_service.entry(entry.service.clone()).or_default();
        service.push(key);
        key
    }

    /// Forgets a server; tells whether it was known.
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

    /// Keeps a server whose entry lapsed until the time.
    pub fn hold(&mut self, id: &str, until: MonotonicTime) {
        if let Some(key) = self.by_id.get(id) {
            let record = &mut self.servers[*key];
            record.held_until.get_or_insert(until);
        }
    }

    /// Forgets the servers that were held for long enough and returns their
    /// names.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> Vec<String> {
        let is_over = |record: &&ServerRecord| record.held_until.is_some_and(|until| until <= now);
        let over = self.servers.values().filter(is_over);
        let over: Vec<String> = over.map(|record| record.entry.id.clone()).collect();
        for id in &over {
            self.remove(id);
        }
        over
    }

    /// Sets the availability zones that take no work. Servers of a zone that
    /// comes back are cold for `return_cold`.
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

    /// Finds a server by its name.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// The entry of a server; none once it is gone.
    pub fn entry(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key).map(|record| &record.entry)
    }

    /// Whether a server may take a request at all.
    pub fn accepts_work(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|record| {
            !record.entry.is_draining && !self.zones_out.contains(&record.entry.zone)
        })
    }

    /// All servers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|record| &record.entry)
    }

    /// Requests that this host has at a server.
    pub fn own_in_flight(&self, key: ServerKey) -> u32 {
        self.servers.get(key).map_or(0, |record| record.own_running)
    }

    /// Chance that a request to the server fails, for logs.
    pub fn failure_chance(&self, key: ServerKey, now: MonotonicTime) -> f64 {
        self.servers
            .get(key)
            .map_or(0.0, |record| self.chance_of(record, now))
    }

    /// Takes note of a request that this host sends to a server.
    pub fn start(&mut self, key: ServerKey, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.own_running += 1;
        }
        self.record_start(key, now);
    }

    /// Takes note of a request that any host sends to a server.
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

    /// Which hosts should learn what a host of `zone` has running at a server.
    pub fn signal_scope(&self, key: ServerKey, zone: &str, now: MonotonicTime) -> SignalScope {
        match self.servers.get(key) {
            Some(record) if record.cold_until > now => SignalScope::AllZones,
            Some(record) if record.entry.zone != zone => SignalScope::BothZones,
            _ => SignalScope::OwnZone,
        }
    }

    /// Takes note of the end of a request that [`ServerPool::start`] counted.
    pub fn finish(&mut self, key: ServerKey) {
        if let Some(record) = self.servers.get_mut(key) {
            record.own_running = record.own_running.saturating_sub(1);
        }
    }

    /// Takes note of how many requests another host has at a server.
    pub fn record_peer_in_flight(
        &mut self,
        key: ServerKey,
        peer: PeerKey,
        running: u32,
        now: MonotonicTime,
    ) {
        let span = self.settings.peer_load_span;
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        record
            .peers_running
            .retain(|(other, _, seen)| *other != peer && now.since(*seen) < span);
        if running > 0 {
            record.peers_running.push((peer, running, now));
        }
    }

    /// Takes note of what an attempt of this host showed of a server. Its
    /// request was sent at `sent`. Tells if the server is now suspected, or no
    /// longer.
    pub fn record_own_outcome(
        &mut self,
        key: ServerKey,
        signal: ServerSignal,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspicionChange> {
        let before = self.failure_chance(key, now);
        if let Some(record) = self.servers.get_mut(key)
            && !matches!(signal, ServerSignal::Error | ServerSignal::Misdirected)
        {
            let settings = &self.settings.own_path;
            record.own_path.record(settings, signal, sent, now);
        }
        self.record_shared(key, signal, sent, now);
        self.suspicion_change(before, key, now)
    }

    /// Takes note of what an attempt of another host showed of a server. Its
    /// request was sent at `sent`. Tells if the server is now suspected, or no
    /// longer.
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
            record.full_until = now + self.settings.shed_pause;
        }
        // What one host cannot reach may be sound for the others.
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

    /// Takes note that a service has a request that may be repeated, and
    /// whether the retry budget has room for it.
    pub fn record_retryable(&mut self, service: &str, has_room: bool, now: MonotonicTime) {
        if !self.repeatable.contains_key(service) {
            let times = RepeatableTimes::default();
            self.repeatable.insert(service.to_owned(), times);
        }
        if let Some(times) = self.repeatable.get_mut(service) {
            times.last = Some(now);
            if has_room {
                times.last_with_room = Some(now);
            }
        }
    }

    /// Takes note of a request for a service that ended on this host.
    ///
    /// `chance` is that of a failure when its last server was chosen. Failures
    /// at servers that were explored say nothing of the others: counted, they
    /// would keep the exploration going.
    pub fn record_ended(
        &mut self,
        service: &str,
        is_served: bool,
        chance: f64,
        now: MonotonicTime,
    ) {
        if !is_served && chance >= self.settings.risky_chance {
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

    /// Whether so many of a service's requests fail for good on this host that
    /// servers of which nothing was heard are explored.
    fn fails_often(&self, service: &str, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let span = settings.explore_span;
        self.outcomes.get(service).is_some_and(|outcomes| {
            let all = f64::from(outcomes.all.count_at(now, span));
            let failed = outcomes.failed.count_at(now, span);
            failed >= settings.explore_failures && f64::from(failed) > all * settings.explore_share
        })
    }

    /// Takes note of how long a request of a service ran.
    pub fn record_duration(&mut self, service: &str, length: Duration) {
        match self.lengths.get_mut(service) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - LENGTH_SHARE) + length.mul_f64(LENGTH_SHARE);
            }
            None => {
                self.lengths.insert(service.to_owned(), length);
            }
        }
    }

    /// Mean length of the requests of a service.
    pub fn mean_duration(&self, service: &str) -> Duration {
        let known = self.lengths.get(service).copied();
        known.unwrap_or(self.settings.initial_length)
    }

    /// Picks the server for a request.
    ///
    /// `cold_rate_per_s` is the rate that a cold server of the service bears
    /// over all hosts; `is_connected` tells whether this host has a connection
    /// to a server that the request may use.
    pub fn choose(
        &self,
        ask: ChoiceRequest<'_>,
        cold_rate_per_s: Option<f64>,
        is_connected: impl Fn(ServerKey) -> bool,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> ServerChoice {
        let keys = self
            .by_service
            .get(ask.service)
            .map_or(&[][..], Vec::as_slice);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut refusal = ChoiceRefusal::NoServer;
        let mut shortest_wait = RETRY_AFTER_MAX;
        let (mut cold_pick, mut cold_spare) = (None, None);
        for key in keys.iter().copied().filter(|key| self.accepts_work(*key)) {
            if ask.tried.contains(&key) {
                continue;
            }
            let record = &self.servers[key];
            if record.cold_until > now {
                if refusal == ChoiceRefusal::NoServer {
                    refusal = ChoiceRefusal::AllCold;
                }
                if self.cold_fits(record, cold_rate_per_s, now) {
                    if cold_spare.is_none_or(|other| self.cold_order(other, key)) {
                        cold_spare = Some(key);
                    }
                    if random.random_bool(self.cold_chance(ask, cold_rate_per_s)) {
                        cold_pick = Some(key);
                    }
                }
                continue;
            }
            let (wait, has_room) = self.wait_at(record, ask, now);
            shortest_wait = shortest_wait.min(wait);
            if !has_room {
                refusal = ChoiceRefusal::NoCapacity;
                continue;
            }
            let jitter = random.random_range(0.0..=self.settings.jitter.as_secs_f64());
            let mut cost = self.cost(record, ask, wait, now) + jitter;
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
        // Where the warm servers most likely fail or are full, a cold one
        // takes what it bears.
        let dear = self.settings.lost_cost.as_secs_f64() * DEAR_CHANCE;
        let is_dear = best.is_none_or(|(cost, _)| cost > dear);
        if let Some(key) = cold_spare.filter(|_| is_dear && ask.sees_peer_traffic) {
            return ServerChoice::Send(key);
        }
        match best {
            Some((_, key)) => ServerChoice::Send(key),
            None => {
                let spread = random.random_range(1.0..2.0);
                let after = shortest_wait.max(self.settings.shed_pause).mul_f64(spread);
                ServerChoice::Refuse(refusal, after.min(RETRY_AFTER_MAX))
            }
        }
    }

    fn chance_of(&self, record: &ServerRecord, now: MonotonicTime) -> f64 {
        let shared = record.evidence.failure_chance(&self.settings.evidence, now);
        let own = record.own_path.belief(&self.settings.own_path, now);
        1.0 - (1.0 - shared) * (1.0 - own)
    }

    /// Whether a server of the own zone was without requests for so long that
    /// one which may run only once goes there.
    ///
    /// Servers that are most likely sound take turns, so that the hosts go on
    /// knowing it. Others are explored, rarely in calm times. While requests
    /// come that may be repeated, they do both unless many fail.
    fn is_turn_due(
        &self,
        record: &ServerRecord,
        ask: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> bool {
        let settings = &self.settings;
        let Some(outcomes) = self.outcomes.get(ask.service) else {
            return false;
        };
        if record.entry.zone != ask.zone || record.running(settings.peer_load_span, now) > 0 {
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
        let fails_often = self.fails_often(ask.service, now);
        let is_recent =
            |at: Option<MonotonicTime>, span: Duration| at.is_some_and(|at| now.since(at) < span);
        let repeatable = self
            .repeatable
            .get(ask.service)
            .copied()
            .unwrap_or_default();
        if !fails_often && is_recent(repeatable.last, settings.calm_explore_pause) {
            return false;
        }
        let has_repeatable = is_recent(repeatable.last_with_room, settings.explore_pause);
        if belief < settings.trusted_belief {
            return idle >= settings.turn_pause;
        }
        let is_suspect = belief > settings.explore_belief;
        let pause = match (
            self.fails_often(ask.service, now),
            has_repeatable,
            is_suspect,
        ) {
            (false, true, _) | (true, true, true) => return false,
            (false, false, true) => settings.calm_suspect_explore_pause,
            (false, false, false) => settings.calm_explore_pause,
            (true, false, true) => settings.suspect_explore_pause,
            (true, true, false) => settings.late_explore_pause,
            (true, false, false) => settings.explore_pause,
        };
        idle >= pause
    }

    /// Whether a suspected server may be tested: the longer it fails, the
    /// longer the pauses.
    fn is_test_due(&self, record: &ServerRecord, service: &str, now: MonotonicTime) -> bool {
        let evidence = &record.evidence;
        let own = &record.own_path;
        let streak = evidence
            .streak()
            .max(own.streak())
            .clamp(1, TEST_STREAK_MAX);
        let factor = match evidence.is_stalled() || own.is_stalled() {
            true => streak * STALL_TEST_FACTOR,
            false => streak,
        };
        let last = evidence.last_outcome().max(own.last_outcome());
        let running = record.running(self.settings.peer_load_span, now);
        let pause = match self.fails_often(service, now) {
            true => (self.settings.test_pause * factor).min(self.settings.late_explore_pause),
            false => self.settings.test_pause * factor,
        };
        running == 0 && last.is_none_or(|at| now.since(at) >= pause)
    }

    /// Whether a cold server had less than it bears in the last second.
    fn cold_fits(
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
        let running = record.running(self.settings.peer_load_span, now);
        let bears = cold_rate_per_s.unwrap_or(f64::INFINITY) * self.settings.cold_share;
        running < record.entry.slots && starts.count() as f64 + 1.0 <= bears.max(1.0)
    }

    /// Whether `second` has had less in its cold start than `first`.
    fn cold_order(&self, first: ServerKey, second: ServerKey) -> bool {
        let starts = |key: ServerKey| self.servers[key].cold_starts.len();
        starts(second) < starts(first)
    }

    /// Chance that a request goes to one given cold server, so that all hosts
    /// together send it a part of what it bears.
    fn cold_chance(&self, ask: ChoiceRequest<'_>, cold_rate_per_s: Option<f64>) -> f64 {
        let Some(rate) = cold_rate_per_s else {
            return 1.0;
        };
        let fleet_rate = ask.own_rate_per_s.max(0.2) * self.hosts as f64;
        (rate * self.settings.cold_share / fleet_rate).clamp(0.0, 1.0)
    }

    /// Expected wait for a slot, and whether the request fits.
    fn wait_at(
        &self,
        record: &ServerRecord,
        ask: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> (Duration, bool) {
        let slots = record.entry.slots.max(1);
        let running = record.running(self.settings.peer_load_span, now);
        let length = self.mean_duration(ask.service);
        let ahead = (running + 1).saturating_sub(slots);
        let wait = length.mul_f64(f64::from(ahead) / f64::from(slots));
        let rank_share = 0.5_f64.powi(ask.priority.min(8) as i32);
        let queue = (f64::from(slots) * self.settings.queue_share * rank_share).floor();
        let fits = f64::from(running) < f64::from(slots) + queue;
        let in_time = wait + length < ask.time_left || ahead == 0;
        (wait, fits && in_time)
    }

    /// What sending the request to the server is expected to cost, in
    /// seconds.
    fn cost(
        &self,
        record: &ServerRecord,
        ask: ChoiceRequest<'_>,
        wait: Duration,
        now: MonotonicTime,
    ) -> f64 {
        let settings = &self.settings;
        let evidence = &record.evidence;
        let slots = f64::from(record.entry.slots.max(1));
        let running = f64::from(record.running(settings.peer_load_span, now));
        let mut cost = wait.as_secs_f64() + settings.full_cost.as_secs_f64() * running / slots;
        if record.entry.zone != ask.zone {
            cost += settings.zone_cost.as_secs_f64();
        }
        if record.held_until.is_some() {
            cost += settings.repeat_cost.as_secs_f64();
        }
        if record.full_until > now {
            cost += settings.shed_cost.as_secs_f64();
        }
        let chance = self.chance_of(record, now);
        let is_repeatable = ask.kind == RequestKind::Idempotent && ask.may_retry;
        if !is_repeatable {
            if self.is_turn_due(record, ask, now) {
                return cost - settings.verify_cost.as_secs_f64();
            }
            return cost + chance * settings.lost_cost.as_secs_f64();
        }
        let repeat_cost = settings.repeat_cost.as_secs_f64();
        let is_near = record.entry.zone == ask.zone;
        if chance > settings.suspected_chance {
            // A request that may be repeated tells whether the server is
            // sound again. Hosts of its own zone do that.
            return match is_near && self.is_test_due(record, ask.service, now) {
                true => cost - repeat_cost,
                false => cost + chance * settings.lost_cost.as_secs_f64(),
            };
        }
        if !is_near {
            return cost + chance * repeat_cost;
        }
        // Looks after servers of which nothing was heard for long.
        let age = evidence.last_outcome().map_or(1.0, |at| {
            let spans = now.since(at).as_secs_f64() / settings.verify_span.as_secs_f64();
            1.0 - (-spans).exp()
        });
        cost - settings.verify_cost.as_secs_f64() * age
    }
}
