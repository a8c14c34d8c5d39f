//! The backend servers that a host knows.

mod checks;
mod choosing;
mod explaining;
mod joining;
mod outcomes;
mod room;
mod spreading;
mod statements;
mod versions;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

pub use self::versions::ServerStanding;
use slotmap::{SlotMap, new_key_type};

use crate::{
    AgedFigure, FigureSource, MonotonicTime, VersionGate,
    balance::{KindDurations, ServerSpeed},
    dispatch::{
        PoolSettings, ServerEntry, ServerEvidence, SignalScope, SlidingCounter,
        server_backoff::ServerBackoff, server_check::CheckRecord,
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

#[derive(Clone, Debug)]
struct ServerRecord {
    entry: ServerEntry,
    /// Outcomes of attempts from all hosts.
    evidence: ServerEvidence,
    /// Outcomes of attempts from this host alone, as evidence about its
    /// network path to the server.
    own_path: ServerEvidence,
    own_in_flight: u32,
    /// Requests in flight by peer, as last reported.
    peers_in_flight: Vec<AgedFigure<f64>>,
    /// How fast the server is, from the successes of all hosts.
    speed: ServerSpeed,
    /// When any host last sent a request to the server; initially when the
    /// server was added.
    last_start: MonotonicTime,
    /// When the current or latest cold start began.
    cold_since: MonotonicTime,
    cold_until: MonotonicTime,
    shedding_until: MonotonicTime,
    /// Start times within the last second of requests from all reporting
    /// hosts; recorded only while the server is cold.
    cold_starts: VecDeque<MonotonicTime>,
    /// When the server is removed after its entry lapsed.
    held_until: Option<MonotonicTime>,
    /// Until when the server is not asked, because another one answered at its
    /// address.
    misdirected_until: MonotonicTime,
    statements: StatementRecord,
    backoff: ServerBackoff,
    check: CheckRecord,
}

impl ServerRecord {
    fn in_flight(&self, span: Duration, now: MonotonicTime) -> u32 {
        let is_recent = |figure: &&AgedFigure<f64>| figure.age(now) < span;
        let peers = self.peers_in_flight.iter().filter(is_recent);
        self.own_in_flight + peers.map(|figure| *figure.value()).sum::<f64>() as u32
    }

    /// Records that the server is in cold start until `until` or later.
    fn extend_cold(&mut self, until: MonotonicTime, now: MonotonicTime) {
        if self.cold_until <= now && until > now {
            self.cold_since = now;
        }
        self.cold_until = self.cold_until.max(until);
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
    kind_durations: HashMap<String, KindDurations>,
    /// Services whose load is spread.
    spread_services: HashSet<String>,
    /// When retryable requests last arrived, by service.
    retryable: HashMap<String, RetryableTimes>,
    outcomes: HashMap<String, ServiceOutcomes>,
    host_count: usize,
    /// When the entries were last known to be current.
    contact: Option<MonotonicTime>,
    /// When this host last heard a peer; `None` if it never did.
    heard: Option<MonotonicTime>,
    /// When this host read the entries for the first time.
    joined: Option<MonotonicTime>,
    /// Services that move to a new software version.
    gates: HashMap<String, VersionGate>,
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
                if !entry.cold_left.is_zero() {
                    record.check.clear_restart();
                }
                record.extend_cold(now + entry.cold_left, now);
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
            speed: ServerSpeed::default(),
            last_start: now,
            cold_since: now,
            cold_until: now + cold,
            shedding_until: MonotonicTime::ZERO,
            cold_starts: VecDeque::new(),
            held_until: None,
            misdirected_until: MonotonicTime::ZERO,
            statements: self.known_statements(entry, now),
            backoff: ServerBackoff::default(),
            check: CheckRecord::default(),
        });
        self.by_id.insert(entry.id.clone(), key);
        let service = self.by_service.entry(entry.service.clone()).or_default();
        service.push(key);
        key
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
                record.extend_cold(now + return_cold, now);
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
    /// that it leaves, its entry did not lapse for good, and its zone is in
    /// service.
    pub fn accepts_work(&self, key: ServerKey, now: MonotonicTime) -> bool {
        self.servers.get(key).is_some_and(|record| {
            !record.entry.is_draining
                && !record.statements.is_leaving()
                && record.held_until.is_none_or(|until| until > now)
                && !self.zones_out.contains(&record.entry.zone)
        })
    }

    /// Whether a server is in cold start, as far as this host knows.
    pub fn is_cold(&self, key: ServerKey, now: MonotonicTime) -> bool {
        self.servers
            .get(key)
            .is_some_and(|record| record.cold_until > now)
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

    /// Records that this host sends a request to a server.
    pub fn start(&mut self, key: ServerKey, now: MonotonicTime) {
        if let Some(record) = self.servers.get_mut(key) {
            record.own_in_flight += 1;
            if let Some(gate) = self.gates.get_mut(&record.entry.service) {
                gate.record_start(&record.entry.version);
            }
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
            // Only the rate of cold servers needs all hosts to know.
            Some(record) if record.cold_until > now && !self.is_spread(&record.entry.service) => {
                SignalScope::AllZones
            }
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
        let source = FigureSource::Peer(peer);
        record
            .peers_in_flight
            .retain(|figure| figure.source() != source && figure.age(now) < span);
        if in_flight > 0 {
            let figure = AgedFigure::new(in_flight.into(), now, source);
            record.peers_in_flight.push(figure);
        }
    }
}
