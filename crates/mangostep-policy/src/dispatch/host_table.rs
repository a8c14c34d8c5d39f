use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{MonotonicTime, rendezvous_order};

/// What a host writes of itself into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name, unique in the fleet.
    pub name: String,
    /// Region that it stands in.
    pub region: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for datagrams of other hosts.
    pub peer: SocketAddr,
    /// Address at which other hosts read its copies of tables.
    pub copies: SocketAddr,
}

/// What a host tells other hosts about itself twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Requests a second from callers, over the last seconds.
    pub rate_per_s: f64,
    /// Requests a second that it can carry.
    pub capacity_per_s: f64,
    /// Whether its last call to the platform's store failed.
    pub store_failed: bool,
}

/// A host that was heard of, by itself or by another host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSighting {
    /// Its last report.
    pub report: PeerReport,
    /// When it was heard.
    pub heard: MonotonicTime,
}

/// Settings of a [`HostTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct HostTableSettings {
    /// Silence after which a host counts as gone: three reports, each half a
    /// second after the other, and a little for their delay.
    pub silence: Duration,
    /// Hosts of each zone that follow the store; the others read from them.
    /// Two may fail or be refused at once.
    pub watchers: usize,
    /// Silence after which a host that follows the store is replaced; sooner
    /// than it counts as gone, for changes must be in force within seconds.
    pub watcher_silence: Duration,
    /// Time after its start in which a host has not heard of all others: two
    /// reports of theirs, and a little for their delay.
    pub listening: Duration,
    /// Most hosts of the own availability zone that get each report.
    pub zone_peers: usize,
    /// Fewest hosts that callers of a zone are led to, as long as so many
    /// are alive: one may die and the others still have room.
    pub named_min: usize,
    /// Most hosts that callers of a zone are led to; callers take no more.
    pub named_max: usize,
    /// Share of its capacity up to which a host is planned to be used.
    pub planned_use: f64,
}

impl Default for HostTableSettings {
    fn default() -> Self {
        HostTableSettings {
            silence: Duration::from_millis(1_700),
            watchers: 3,
            watcher_silence: Duration::from_millis(1_200),
            listening: Duration::from_millis(1_200),
            zone_peers: 24,
            named_min: 4,
            named_max: 64,
            planned_use: 0.5,
        }
    }
}

/// Part of a common budget for the hosts that callers are led to; the others
/// still get callers that hold older answers.
const NAMED_SHARE: f64 = 0.75;

/// The hosts of the fleet, and which of them callers are led to.
#[derive(Clone, Debug)]
pub struct HostTable {
    settings: HostTableSettings,
    own: HostRow,
    opened: MonotonicTime,
    own_report: PeerReport,
    rows: BTreeMap<String, HostRow>,
    seen: HashMap<String, PeerSighting>,
    /// Hosts that other zones say they lead callers to.
    zone_named: HashMap<String, (Vec<String>, MonotonicTime)>,
}

impl HostTable {
    /// Opens a table with the own host alone.
    pub fn open(own: HostRow, settings: HostTableSettings, now: MonotonicTime) -> Self {
        HostTable {
            settings,
            rows: BTreeMap::from([(own.name.clone(), own.clone())]),
            own,
            opened: now,
            own_report: PeerReport::default(),
            seen: HashMap::new(),
            zone_named: HashMap::new(),
        }
    }

    /// The row of the own host.
    pub fn own(&self) -> &HostRow {
        &self.own
    }

    /// Sets what the own host reports.
    pub fn set_own_report(&mut self, report: PeerReport) {
        self.own_report = report;
    }

    /// Adds a host or takes over its new row.
    pub fn put(&mut self, row: HostRow) {
        if row.name != self.own.name {
            self.rows.insert(row.name.clone(), row);
        }
    }

    /// Forgets a host.
    pub fn remove(&mut self, name: &str) {
        if name != self.own.name {
            self.rows.remove(name);
        }
    }

    /// The row of a host.
    pub fn row(&self, name: &str) -> Option<&HostRow> {
        self.rows.get(name)
    }

    /// All rows, the own one included.
    pub fn rows(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values()
    }

    /// Takes note of a host's report about itself; tells whether it is new
    /// that the host is alive.
    pub fn note_report(&mut self, name: &str, report: PeerReport, now: MonotonicTime) -> bool {
        let was_alive = self.is_alive(name, now);
        let sighting = PeerSighting { report, heard: now };
        self.seen.insert(name.to_owned(), sighting);
        !was_alive
    }

    /// Takes note of the hosts that another zone leads its callers to.
    pub fn note_zone(&mut self, zone: &str, named: Vec<String>, now: MonotonicTime) {
        if zone != self.own.zone {
            self.zone_named.insert(zone.to_owned(), (named, now));
        }
    }

    /// Whether a host was heard of a moment ago.
    pub fn is_alive(&self, name: &str, now: MonotonicTime) -> bool {
        name == self.own.name
            || self
                .seen
                .get(name)
                .is_some_and(|seen| now.since(seen.heard) < self.settings.silence)
    }

    fn is_ready(&self, name: &str, now: MonotonicTime) -> bool {
        match name == self.own.name {
            true => self.own_report.is_ready,
            false => self.is_alive(name, now) && self.seen[name].report.is_ready,
        }
    }

    fn report(&self, name: &str) -> Option<&PeerReport> {
        match name == self.own.name {
            true => Some(&self.own_report),
            false => self.seen.get(name).map(|seen| &seen.report),
        }
    }

    fn zone_rows(&self, zone: &str) -> impl Iterator<Item = &HostRow> {
        self.rows.values().filter(move |row| row.zone == zone)
    }

    /// The hosts of the own zone that callers are led to, in order.
    ///
    /// Few hosts carry all callers of a zone, so that each sees much of what
    /// the backend servers do; as many as their capacities ask for.
    pub fn named_here(&self, now: MonotonicTime) -> Vec<&HostRow> {
        let names = self.zone_rows(&self.own.zone).map(|row| row.name.as_str());
        let ready = names.filter(|name| self.is_ready(name, now));
        let order = rendezvous_order(&self.own.zone, ready);
        let report = |name: &&str| self.report(name);
        let rate: f64 = order.iter().filter_map(report).map(|r| r.rate_per_s).sum();
        let mut planned = 0.0;
        let mut named = Vec::new();
        for name in order {
            let is_enough = named.len() >= self.settings.named_min && planned >= rate;
            if is_enough || named.len() >= self.settings.named_max {
                break;
            }
            if let (Some(row), Some(report)) = (self.rows.get(name), self.report(name)) {
                planned += report.capacity_per_s * self.settings.planned_use;
                named.push(row);
            }
        }
        named
    }

    /// The hosts that callers of a zone are led to: those of the zone, else
    /// those of the own zone, else the own host.
    pub fn named_for(&self, zone: &str, now: MonotonicTime) -> Vec<&HostRow> {
        if zone != self.own.zone
            && let Some((names, heard)) = self.zone_named.get(zone)
            && now.since(*heard) < self.settings.silence
        {
            let named = names.iter().filter_map(|name| self.rows.get(name));
            let named: Vec<&HostRow> = named.collect();
            if !named.is_empty() {
                return named;
            }
        }
        let named = self.named_here(now);
        match named.is_empty() {
            true => vec![&self.own],
            false => named,
        }
    }

    /// Whether this host follows the store: it is among the first of its zone
    /// that the store answers.
    pub fn is_watcher(&self, now: MonotonicTime) -> bool {
        let names = self.zone_rows(&self.own.zone).map(|row| row.name.as_str());
        let able = names.filter(|name| {
            *name == self.own.name
                || self.seen.get(*name).is_some_and(|seen| {
                    now.since(seen.heard) < self.settings.watcher_silence
                        && !seen.report.store_failed
                })
        });
        let order = rendezvous_order("watch", able);
        let first = order.iter().take(self.settings.watchers);
        first.into_iter().any(|name| *name == self.own.name)
    }

    /// Hosts that send requests now, the own one included.
    pub fn active(&self, now: MonotonicTime) -> usize {
        let elsewhere = self.zone_named.values();
        let fresh = elsewhere.filter(|(_, heard)| now.since(*heard) < self.settings.silence);
        let elsewhere: usize = fresh.map(|(names, _)| names.len()).sum();
        (self.named_here(now).len() + elsewhere).max(1)
    }

    /// Hosts of the own zone to report to, by a ring over their names.
    pub fn zone_peers(&self) -> Vec<&HostRow> {
        let rows: Vec<&HostRow> = self.zone_rows(&self.own.zone).collect();
        let own = rows.iter().position(|row| row.name == self.own.name);
        let start = own.map_or(0, |at| at + 1);
        let others = rows.len().saturating_sub(1);
        (0..others.min(self.settings.zone_peers))
            .map(|step| rows[(start + step) % rows.len()])
            .collect()
    }

    /// Whether callers are led to this host.
    pub fn is_named(&self, now: MonotonicTime) -> bool {
        let named = self.named_here(now);
        named.iter().any(|row| row.name == self.own.name)
    }

    /// Whether this host learns what the others send: callers are led to it,
    /// and it has listened for long enough to know the others.
    pub fn sees_others(&self, now: MonotonicTime) -> bool {
        now.since(self.opened) >= self.settings.listening && self.is_named(now)
    }

    /// This host's part of what all hosts may do together, from 0 to 1. Hosts
    /// that callers are led to share most of it, the others the rest.
    pub fn own_share(&self, now: MonotonicTime) -> f64 {
        let active = self.active(now);
        let others = self.rows.len().saturating_sub(active).max(1);
        match self.is_named(now) {
            true => NAMED_SHARE / active as f64,
            false => (1.0 - NAMED_SHARE) / others as f64,
        }
    }

    /// One host in each other zone to report to, another one each `turn`.
    pub fn far_peers(&self, turn: usize) -> Vec<&HostRow> {
        let mut zones: BTreeMap<&str, Vec<&HostRow>> = BTreeMap::new();
        for row in self.rows.values().filter(|row| row.zone != self.own.zone) {
            zones.entry(&row.zone).or_default().push(row);
        }
        zones.values().map(|rows| rows[turn % rows.len()]).collect()
    }

    /// Hosts that should learn of a request's start and end: those of the
    /// own zone that callers are led to.
    pub fn near_observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let named = self.named_here(now).into_iter();
        let others = named.filter(|row| row.name != self.own.name);
        others.map(|row| row.peer).collect()
    }

    /// Hosts that should learn of a failure: all those that callers are led
    /// to.
    pub fn observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let fresh = |heard: MonotonicTime| now.since(heard) < self.settings.silence;
        let elsewhere = self.zone_named.values().filter(|(_, heard)| fresh(*heard));
        let elsewhere = elsewhere.flat_map(|(names, _)| names);
        let elsewhere = elsewhere.filter_map(|name| self.rows.get(name));
        let mut all = self.near_observers(now);
        all.extend(elsewhere.map(|row| row.peer));
        all
    }

    /// The hosts that may count the tokens of a workspace, best first.
    pub fn token_homes(&self, workspace: &str) -> Vec<&HostRow> {
        let names = self.rows.keys().map(String::as_str);
        let order = rendezvous_order(workspace, names);
        order
            .iter()
            .filter_map(|name| self.rows.get(*name))
            .collect()
    }
}
