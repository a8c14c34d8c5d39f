use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    MonotonicTime,
    dispatch::{HostRow, PeerReport, ReceivedReport, ZoneList},
    rendezvous_order,
};

/// Settings of a [`HostTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct HostTableSettings {
    /// Silence after which a host counts as gone: three reports, each half a
    /// second after the other, and a little for their delay.
    pub silence: Duration,
    /// Watchers of each zone. Two may fail or be refused by the store at once.
    pub watchers: usize,
    /// Silence after which a watcher is replaced; sooner than it counts as
    /// gone, for changes must be in force within seconds.
    pub watcher_silence: Duration,
    /// Further silence that each host leaves to the next better one before
    /// it becomes a watcher, so that not all do at once.
    pub succession_step: Duration,
    /// Most of that further silence.
    pub succession_max: Duration,
    /// Time that each host leaves to the next better one before it follows
    /// the store in place of watchers that the store refuses: a host tries it
    /// at once, and tells within that time.
    pub refusal_step: Duration,
    /// Time for which a host that followed the store in place of others, and
    /// was refused too, leaves it to the next.
    pub stand_down: Duration,
    /// Time after its start in which a host takes hosts that it has not heard
    /// for alive, so that not all hosts of a zone that starts are watchers.
    pub succession_start: Duration,
    /// Time after its start in which a host has not heard of all others: two
    /// reports of theirs, and a little for their delay.
    pub listening: Duration,
    /// Time for which a zone's list is used after it was heard: two of the
    /// times at which an unchanged list is sent again, and a little.
    pub list_keep: Duration,
    /// Fewest hosts that callers of a zone are led to, as long as so many
    /// are alive: one may die and the others still have room.
    pub named_min: usize,
    /// Most hosts that callers of a zone are led to; callers take no more.
    pub named_max: usize,
    /// Time for which hosts stay named after their capacity was asked for:
    /// each change of the named hosts moves callers and their connections.
    pub named_keep: Duration,
    /// Share of its capacity up to which a host is planned to be used.
    pub planned_use: f64,
    /// Requests a second from which on a host counts as serving though no
    /// caller is led to it: callers keep old answers for seconds. Checks of
    /// single hosts stay below it.
    pub serving_rate_per_s: f64,
}

impl Default for HostTableSettings {
    fn default() -> Self {
        HostTableSettings {
            silence: Duration::from_millis(1_700),
            watchers: 3,
            watcher_silence: Duration::from_millis(1_200),
            succession_step: Duration::from_millis(30),
            succession_max: Duration::from_millis(300),
            refusal_step: Duration::from_millis(250),
            stand_down: Duration::from_secs(4),
            succession_start: Duration::from_millis(600),
            listening: Duration::from_millis(1_200),
            list_keep: Duration::from_millis(4_500),
            named_min: 4,
            named_max: 64,
            named_keep: Duration::from_secs(12),
            planned_use: 0.5,
            serving_rate_per_s: 3.0,
        }
    }
}

/// Part of a common budget for the hosts that callers are led to; the others
/// still get callers that hold older answers.
const NAMED_SHARE: f64 = 0.75;

/// Time after which a host that hears too few watchers reports to twice as
/// many hosts: one turn of reports.
const LONELY_STEP: Duration = Duration::from_millis(500);

/// Resource whose rendezvous order ranks the watchers of a zone.
const WATCHER_ORDER: &str = "watch";

/// The hosts of the fleet, and which of them callers are led to.
///
/// Each zone has a few watchers, which follow the store. All hosts report to
/// the watchers of their zone. The best watcher works out the zone's
/// [`ZoneList`], and all watchers publish it, so that the hosts of a zone
/// agree, and a host that is no watcher hears of a few others only.
#[derive(Clone, Debug)]
pub struct HostTable {
    settings: HostTableSettings,
    own: HostRow,
    opened: MonotonicTime,
    own_report: PeerReport,
    rows: BTreeMap<String, HostRow>,
    seen: HashMap<String, ReceivedReport>,
    lists: BTreeMap<String, ListSighting>,
    /// Since when this host is a watcher.
    watching_since: Option<MonotonicTime>,
    /// Since when too few watchers were heard.
    lonely_since: Option<MonotonicTime>,
    /// Since when the store answers too few of the better hosts.
    refused_since: Option<MonotonicTime>,
    /// When a call of this host to the store failed, if none succeeded since.
    own_refusal: Option<MonotonicTime>,
    /// Whether the next reports go to all hosts of the zone.
    is_publishing: bool,
    /// Hosts that the zone's load asked for, at its highest of late.
    named_need: NamedNeed,
}

/// A zone's list with the watcher that told it.
#[derive(Clone, Debug)]
struct ListSighting {
    list: ZoneList,
    by: String,
    heard: MonotonicTime,
}

/// A host that goes before this one as a watcher.
#[derive(Clone, Copy, Debug)]
struct BetterHost {
    /// Whether the store answers it.
    is_able: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct NamedNeed {
    count: usize,
    at: MonotonicTime,
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
            lists: BTreeMap::new(),
            watching_since: None,
            lonely_since: None,
            refused_since: None,
            own_refusal: None,
            is_publishing: false,
            named_need: NamedNeed::default(),
        }
    }

    /// The row of the own host.
    pub fn own(&self) -> &HostRow {
        &self.own
    }

    /// The last report of the own host.
    pub fn own_report(&self) -> &PeerReport {
        &self.own_report
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

    /// Rows of the own zone, the own one included.
    pub fn zone_rows(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values().filter(|row| row.zone == self.own.zone)
    }

    /// Begins a turn of reports with the own report, and works the zone's list
    /// out if that falls to this host. Returns the report to send.
    pub fn begin_round(&mut self, report: PeerReport, now: MonotonicTime) -> &PeerReport {
        let is_watcher = !report.is_leaving && self.is_watcher(now);
        self.watching_since = match is_watcher {
            true => self.watching_since.or(Some(now)),
            false => None,
        };
        let listening = self.settings.listening;
        let watching = self.watching_since.map(|since| now.since(since));
        // A watcher that steps down tells all hosts, who look for the next.
        self.is_publishing = is_watcher || self.own_report.is_watcher;
        self.own_report = PeerReport {
            is_watcher,
            knows_zone: watching.is_some_and(|span| span >= listening),
            ..report
        };
        let watchers = self.heard_watchers(now).count() + usize::from(is_watcher);
        self.lonely_since = match watchers < self.settings.watchers.min(2) {
            true => self.lonely_since.or(Some(now)),
            false => None,
        };
        if self.makes_list(now) {
            let sighting = ListSighting {
                list: self.make_list(now),
                by: self.own.name.clone(),
                heard: now,
            };
            self.lists.insert(self.own.zone.clone(), sighting);
        }
        &self.own_report
    }

    /// Takes note of a host's report about itself; tells whether it changes
    /// which hosts take callers.
    pub fn record_report(&mut self, name: &str, report: PeerReport, now: MonotonicTime) -> bool {
        let was_ready = self.is_ready(name, now);
        let is_ready = report.is_ready;
        let sighting = ReceivedReport { report, heard: now };
        self.seen.insert(name.to_owned(), sighting);
        let able = self.better_hosts(now).filter(|better| better.is_able);
        self.refused_since = match able.count() < self.settings.watchers {
            true => self.refused_since.or(Some(now)),
            false => None,
        };
        was_ready != is_ready
    }

    /// Time since a host was heard of last; none before the first time.
    pub fn report_gap(&self, name: &str, now: MonotonicTime) -> Option<Duration> {
        self.seen.get(name).map(|seen| now.since(seen.heard))
    }

    /// Takes note of how a call of this host to the store ended.
    pub fn record_store_call(&mut self, is_answered: bool, now: MonotonicTime) {
        self.own_refusal = (!is_answered).then_some(now);
    }

    /// Takes note of a zone's list that `by` tells. The list of the own zone
    /// is taken from its best watcher.
    pub fn record_list(&mut self, by: &str, list: ZoneList, now: MonotonicTime) {
        if list.zone == self.own.zone {
            let known = self.lists.get(&list.zone);
            let is_best = known.is_none_or(|known| {
                known.by == by
                    || !self.is_heard_watcher(&known.by, now)
                    || !self.is_better_watcher(&known.by, by)
            });
            if !is_best || self.makes_list(now) {
                return;
            }
        }
        let sighting = ListSighting {
            by: by.to_owned(),
            heard: now,
            list,
        };
        self.lists.insert(sighting.list.zone.clone(), sighting);
    }

    /// Whether a host was heard of a moment ago.
    pub fn is_alive(&self, name: &str, now: MonotonicTime) -> bool {
        name == self.own.name || self.is_heard(name, self.settings.silence, now)
    }

    fn is_heard(&self, name: &str, silence: Duration, now: MonotonicTime) -> bool {
        let seen = self.seen.get(name);
        seen.is_some_and(|seen| now.since(seen.heard) < silence)
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

    /// Whether this host follows the store and collects the reports of its
    /// zone: it is among the first of its zone, or the store refuses so many
    /// of these that it follows in their place.
    pub fn is_watcher(&self, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let better: Vec<BetterHost> = self.better_hosts(now).collect();
        if better.len() < settings.watchers {
            return true;
        }
        if better.iter().filter(|host| host.is_able).count() >= settings.watchers {
            return false;
        }
        // Where the store refuses all, hosts do not try it all at once.
        let place = (self.watcher_place() + 1).saturating_sub(settings.watchers);
        let wait = settings.refusal_step * u32::try_from(place).unwrap_or(u32::MAX);
        let is_refused = |at: MonotonicTime| now.since(at) < settings.stand_down;
        let is_turn = |since: MonotonicTime| now.since(since) >= wait;
        self.refused_since.is_some_and(is_turn) && !self.own_refusal.is_some_and(is_refused)
    }

    /// Whether `first` goes before `second` as a watcher: watchers send changes
    /// to all hosts of their zone, so that those with the widest links go first.
    fn is_better_watcher(&self, first: &str, second: &str) -> bool {
        let link = |name: &str| self.rows.get(name).map_or(0, |row| row.link_mbps);
        match link(first).cmp(&link(second)) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => {
                first != second && rendezvous_order(WATCHER_ORDER, [first, second])[0] == first
            }
        }
    }

    /// The own place in the order of the zone's watchers, from 0.
    fn watcher_place(&self) -> usize {
        let names = self.zone_rows().map(|row| row.name.as_str());
        let better = names.filter(|name| self.is_better_watcher(name, &self.own.name));
        better.count()
    }

    /// The hosts of the zone that were heard and go before this one as
    /// watchers.
    fn better_hosts(&self, now: MonotonicTime) -> impl Iterator<Item = BetterHost> {
        let settings = &self.settings;
        let wait = match self.own_report.is_watcher {
            true => Duration::ZERO,
            false => {
                let place = u32::try_from(self.watcher_place()).unwrap_or(u32::MAX);
                (settings.succession_step * place).min(settings.succession_max)
            }
        };
        let is_new = now.since(self.opened) < settings.succession_start + wait;
        let names = self.zone_rows().map(|row| row.name.as_str());
        let better = names.filter(|name| self.is_better_watcher(name, &self.own.name));
        better.filter_map(move |name| match self.seen.get(name) {
            Some(seen) => {
                let silence = settings.watcher_silence + wait;
                let is_there = now.since(seen.heard) < silence && !seen.report.is_leaving;
                is_there.then_some(BetterHost {
                    is_able: !seen.report.store_failed,
                })
            }
            None => is_new.then_some(BetterHost { is_able: true }),
        })
    }

    fn is_heard_watcher(&self, name: &str, now: MonotonicTime) -> bool {
        self.is_heard(name, self.settings.watcher_silence, now) && self.seen[name].report.is_watcher
    }

    /// Other watchers of the own zone that were heard a moment ago.
    fn heard_watchers(&self, now: MonotonicTime) -> impl Iterator<Item = &HostRow> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        others.filter(move |row| self.is_heard_watcher(&row.name, now))
    }

    /// Whether this host works out its zone's list: it is the best watcher
    /// that has heard from all hosts.
    pub fn makes_list(&self, now: MonotonicTime) -> bool {
        let is_worse = |row: &HostRow| {
            !self.seen[&row.name].report.knows_zone
                || self.is_better_watcher(&self.own.name, &row.name)
        };
        self.own_report.knows_zone && self.heard_watchers(now).all(is_worse)
    }

    /// Works out the list of the own zone.
    ///
    /// Few hosts carry all callers of a zone, so that each sees much of what
    /// the backend servers do; as many as their capacities ask for.
    fn make_list(&mut self, now: MonotonicTime) -> ZoneList {
        let names = self.zone_rows().map(|row| row.name.as_str());
        let ready: Vec<&str> = names.filter(|name| self.is_ready(name, now)).collect();
        let order = rendezvous_order(&self.own.zone, ready);
        let report = |name: &&str| self.report(name);
        let rate: f64 = order.iter().filter_map(report).map(|r| r.rate_per_s).sum();
        let mut planned = 0.0;
        let mut need = 0;
        for report in order.iter().filter_map(report) {
            if planned >= rate {
                break;
            }
            planned += report.capacity_per_s * self.settings.planned_use;
            need += 1;
        }
        let need = need.clamp(self.settings.named_min, self.settings.named_max);
        let kept = self.named_need;
        let is_kept = now.since(kept.at) < self.settings.named_keep;
        let count = match is_kept {
            true => need.max(kept.count),
            false => need,
        };
        let named: Vec<String> = order.iter().take(count).map(|n| (*n).to_owned()).collect();
        let serving = self.zone_rows().filter(|row| {
            let report = self.report(&row.name);
            let is_busy = |r: &PeerReport| r.rate_per_s >= self.settings.serving_rate_per_s;
            self.is_alive(&row.name, now) && report.is_some_and(is_busy)
        });
        let serving: Vec<String> = serving.map(|row| row.name.clone()).collect();
        let late = serving.into_iter().filter(|name| !named.contains(name));
        let serving = named.iter().cloned().chain(late).collect();
        if need >= count {
            self.named_need = NamedNeed {
                count: need,
                at: now,
            };
        }
        ZoneList {
            zone: self.own.zone.clone(),
            named,
            serving,
        }
    }

    /// The lists that were heard a moment ago.
    pub fn lists(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneList> {
        let keep = self.settings.list_keep;
        let sightings = self.lists.values();
        let fresh = sightings.filter(move |sighting| now.since(sighting.heard) < keep);
        fresh.map(|sighting| &sighting.list)
    }

    fn list(&self, zone: &str, now: MonotonicTime) -> Option<&ZoneList> {
        self.lists(now).find(|list| list.zone == zone)
    }

    /// The hosts that callers of a zone are led to: those of the zone, else
    /// those of the own zone, else the own host.
    pub fn named_hosts(&self, zone: &str, now: MonotonicTime) -> Vec<&HostRow> {
        for zone in [zone, &self.own.zone] {
            let named = self.list(zone, now).map_or(&[][..], |list| &list.named);
            let rows: Vec<&HostRow> = self.rows_of(named).collect();
            if !rows.is_empty() {
                return rows;
            }
        }
        vec![&self.own]
    }

    fn rows_of<'t>(&'t self, names: &'t [String]) -> impl Iterator<Item = &'t HostRow> {
        names.iter().filter_map(|name| self.rows.get(name))
    }

    /// Hosts that callers are led to, the own one included.
    pub fn active(&self, now: MonotonicTime) -> usize {
        let named: usize = self.lists(now).map(|list| list.named.len()).sum();
        named.max(1)
    }

    /// Whether callers are led to this host.
    pub fn is_named(&self, now: MonotonicTime) -> bool {
        let list = self.list(&self.own.zone, now);
        list.is_none_or(|list| list.named.contains(&self.own.name))
    }

    /// Whether this host learns what the others send: callers are led to it,
    /// and it has listened for long enough to know the others.
    pub fn sees_peer_traffic(&self, now: MonotonicTime) -> bool {
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

    /// Hosts that should learn of a request's start and end: those of the
    /// own zone that send requests.
    pub fn zone_observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let list = self.list(&self.own.zone, now);
        self.peers_of(list.into_iter())
    }

    /// The same, and those of one other zone.
    pub fn zone_pair_observers(&self, zone: &str, now: MonotonicTime) -> Vec<SocketAddr> {
        let zones = [zone, &self.own.zone];
        self.peers_of(
            self.lists(now)
                .filter(|list| zones.contains(&list.zone.as_str())),
        )
    }

    /// Hosts that should learn of a failure: all those that send requests.
    pub fn observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        self.peers_of(self.lists(now))
    }

    fn peers_of<'t>(&'t self, lists: impl Iterator<Item = &'t ZoneList>) -> Vec<SocketAddr> {
        let rows = lists.flat_map(|list| self.rows_of(&list.serving));
        let others = rows.filter(|row| row.name != self.own.name);
        others.map(|row| row.peer).collect()
    }

    /// Hosts of the own zone to report to: all of them for a watcher, the
    /// watchers for the others. While too few watchers are heard, those hosts
    /// that may become one get reports as well, more of them as time passes.
    pub fn report_targets(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        if self.is_publishing {
            return others.map(|row| row.peer).collect();
        }
        let mut targets: Vec<SocketAddr> = self.heard_watchers(now).map(|r| r.peer).collect();
        if let Some(since) = self.lonely_since {
            let doublings = now.since(since).as_millis() / LONELY_STEP.as_millis() + 1;
            let reach = self.settings.watchers << doublings.min(8);
            let names = others.map(|row| row.name.as_str());
            let order = rendezvous_order(WATCHER_ORDER, names);
            let mut next: Vec<&HostRow> = order.iter().filter_map(|n| self.rows.get(*n)).collect();
            next.sort_by_key(|row| std::cmp::Reverse(row.link_mbps));
            for row in next.into_iter().take(reach) {
                if !targets.contains(&row.peer) {
                    targets.push(row.peer);
                }
            }
        }
        targets
    }

    /// Hosts of the other zones to report to: the watchers that were heard,
    /// and another host of each zone each `turn`. Only watchers report there.
    pub fn cross_zone_targets(&self, turn: usize, now: MonotonicTime) -> Vec<SocketAddr> {
        if !self.own_report.is_watcher {
            return Vec::new();
        }
        let mut zones: BTreeMap<&str, Vec<&HostRow>> = BTreeMap::new();
        for row in self.rows.values().filter(|row| row.zone != self.own.zone) {
            zones.entry(&row.zone).or_default().push(row);
        }
        let mut targets = Vec::new();
        for rows in zones.values() {
            let watchers = rows
                .iter()
                .filter(|row| self.is_heard_watcher(&row.name, now));
            targets.extend(watchers.map(|row| row.peer));
            targets.push(rows[turn % rows.len()].peer);
        }
        targets
    }

    /// The hosts that may count the tokens of a workspace, best first: those
    /// that callers are led to, for all hosts agree on them and learn within
    /// seconds which are gone.
    pub fn token_homes(&self, workspace: &str, now: MonotonicTime) -> Vec<&HostRow> {
        let named = self.lists(now).flat_map(|list| self.rows_of(&list.named));
        let mut names: Vec<&str> = named.map(|row| row.name.as_str()).collect();
        if names.is_empty() {
            names.extend(self.rows.keys().map(String::as_str));
        }
        let order = rendezvous_order(workspace, names);
        order
            .iter()
            .filter_map(|name| self.rows.get(*name))
            .collect()
    }
}
