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
            named_min: 4,
            named_max: 64,
            homes: 2,
            named_hold: Duration::from_secs(12),
            planned_utilization: 0.5,
            serving_rate_per_s: 3.0,
        }
    }
}

/// Share of a fleet-wide budget for the hosts in the look-up answers. The
/// other hosts still get callers that cache older answers.
const NAMED_SHARE: f64 = 0.75;

/// Time after which a host that hears from too few watchers doubles the number
/// of hosts that it reports to: one report interval.
const TARGET_DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Rendezvous key that ranks the watchers of a zone.
const WATCHER_RANK_KEY: &str = "watch";

/// The hosts of the fleet, and which of them look-ups return to callers (the
/// named hosts).
///
/// Each zone has a few watchers, which follow the store. All hosts report to
/// the watchers of their zone. The highest-ranked watcher computes the zone's
/// [`ZoneList`], and all watchers publish it. The hosts of a zone therefore
/// agree, and a host that is not a watcher receives reports from few others.
#[derive(Clone, Debug)]
pub struct HostTable {
    settings: HostTableSettings,
    own: HostRow,
    opened: MonotonicTime,
    own_report: PeerReport,
    rows: BTreeMap<String, HostRow>,
    reports: HashMap<String, ReceivedReport>,
    lists: BTreeMap<String, ReceivedList>,
    /// Time since which this host has been a watcher.
    watching_since: Option<MonotonicTime>,
    /// Time since which this host has heard from too few watchers.
    few_watchers_since: Option<MonotonicTime>,
    /// Time since which the store has answered too few of the hosts that rank
    /// higher.
    refused_since: Option<MonotonicTime>,
    /// Time of the last failed call of this host to the store; `None` after a
    /// success.
    own_refusal: Option<MonotonicTime>,
    /// Whether the next reports go to all hosts of the zone.
    is_publishing: bool,
    /// Largest recent number of hosts that the zone's load required.
    named_peak: NamedPeak,
}

/// A zone's list, as received from a watcher.
#[derive(Clone, Debug)]
struct ReceivedList {
    list: ZoneList,
    sender: String,
    received: MonotonicTime,
}

/// A host that ranks higher than this one as a watcher.
#[derive(Clone, Copy, Debug)]
struct HigherHost {
    /// Whether the store answers the host.
    is_answered: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct NamedPeak {
    count: usize,
    at: MonotonicTime,
}

impl HostTable {
    /// Creates a table that contains only this host.
    pub fn open(own: HostRow, settings: HostTableSettings, now: MonotonicTime) -> Self {
        HostTable {
            settings,
            rows: BTreeMap::from([(own.name.clone(), own.clone())]),
            own,
            opened: now,
            own_report: PeerReport::default(),
            reports: HashMap::new(),
            lists: BTreeMap::new(),
            watching_since: None,
            few_watchers_since: None,
            refused_since: None,
            own_refusal: None,
            is_publishing: false,
            named_peak: NamedPeak::default(),
        }
    }

    /// Row of this host.
    pub fn own(&self) -> &HostRow {
        &self.own
    }

    /// Latest report of this host, with its watcher role filled in.
    pub fn own_report(&self) -> &PeerReport {
        &self.own_report
    }

    /// Adds a host or updates its row. A row with this host's name is ignored.
    pub fn put(&mut self, row: HostRow) {
        if row.name != self.own.name {
            self.rows.insert(row.name.clone(), row);
        }
    }

    /// Removes a host; this host itself stays.
    pub fn remove(&mut self, name: &str) {
        if name != self.own.name {
            self.rows.remove(name);
        }
    }

    /// Returns the row of a host by name.
    pub fn row(&self, name: &str) -> Option<&HostRow> {
        self.rows.get(name)
    }

    /// Rows of all hosts, including this one.
    pub fn rows(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values()
    }

    /// Rows of the hosts in this host's zone, including this one.
    pub fn zone_rows(&self) -> impl Iterator<Item = &HostRow> {
        self.rows.values().filter(|row| row.zone == self.own.zone)
    }

    /// Starts a report round with this host's `report`, and computes the
    /// zone's list if this host is responsible for it. Returns the report to
    /// send.
    pub fn begin_round(&mut self, report: PeerReport, now: MonotonicTime) -> &PeerReport {
        let is_watcher = !report.is_leaving && self.is_watcher(now);
        self.watching_since = match is_watcher {
            true => self.watching_since.or(Some(now)),
            false => None,
        };
        let discovery_time = self.settings.discovery_time;
        let watching = self.watching_since.map(|since| now.since(since));
        // A watcher that steps down reports to all hosts, so that they look
        // for a replacement.
        self.is_publishing = is_watcher || self.own_report.is_watcher;
        self.own_report = PeerReport {
            is_watcher,
            knows_zone: watching.is_some_and(|span| span >= discovery_time),
            ..report
        };
        let watchers = self.live_watchers(now).count() + usize::from(is_watcher);
        self.few_watchers_since = match watchers < self.settings.watchers.min(2) {
            true => self.few_watchers_since.or(Some(now)),
            false => None,
        };
        if self.computes_list(now) {
            let received = ReceivedList {
                list: self.compute_list(now),
                sender: self.own.name.clone(),
                received: now,
            };
            self.lists.insert(self.own.zone.clone(), received);
        }
        &self.own_report
    }

    /// Records a peer's report about itself. Returns whether the peer's
    /// readiness for callers changed.
    pub fn record_report(&mut self, name: &str, report: PeerReport, now: MonotonicTime) -> bool {
        let was_ready = self.is_ready(name, now);
        let is_ready = report.is_ready;
        let received = ReceivedReport {
            report,
            received: now,
        };
        self.reports.insert(name.to_owned(), received);
        let answered = self.higher_hosts(now).filter(|higher| higher.is_answered);
        self.refused_since = match answered.count() < self.settings.watchers {
            true => self.refused_since.or(Some(now)),
            false => None,
        };
        was_ready != is_ready
    }

    /// Time since the last report of a host, or `None` before the first.
    pub fn report_gap(&self, name: &str, now: MonotonicTime) -> Option<Duration> {
        self.reports.get(name).map(|last| now.since(last.received))
    }

    /// Records whether the store answered a call of this host.
    pub fn record_store_call(&mut self, is_answered: bool, now: MonotonicTime) {
        self.own_refusal = (!is_answered).then_some(now);
    }

    /// Records a zone's list that the watcher `sender` published. The list of
    /// this host's zone is accepted only from its highest-ranked watcher.
    pub fn record_list(&mut self, sender: &str, list: ZoneList, now: MonotonicTime) {
        if list.zone == self.own.zone {
            let known = self.lists.get(&list.zone);
            let is_accepted = known.is_none_or(|known| {
                known.sender == sender
                    || !self.is_live_watcher(&known.sender, now)
                    || !self.outranks(&known.sender, sender)
            });
            if !is_accepted || self.computes_list(now) {
                return;
            }
        }
        let received = ReceivedList {
            sender: sender.to_owned(),
            received: now,
            list,
        };
        self.lists.insert(received.list.zone.clone(), received);
    }

    /// Whether a host sent a report within
    /// [`HostTableSettings::host_timeout`]; always true for this host.
    pub fn is_alive(&self, name: &str, now: MonotonicTime) -> bool {
        name == self.own.name || self.has_reported(name, self.settings.host_timeout, now)
    }

    fn has_reported(&self, name: &str, timeout: Duration, now: MonotonicTime) -> bool {
        let last = self.reports.get(name);
        last.is_some_and(|last| now.since(last.received) < timeout)
    }

    fn is_ready(&self, name: &str, now: MonotonicTime) -> bool {
        match name == self.own.name {
            true => self.own_report.is_ready,
            false => self.is_alive(name, now) && self.reports[name].report.is_ready,
        }
    }

    fn report(&self, name: &str) -> Option<&PeerReport> {
        match name == self.own.name {
            true => Some(&self.own_report),
            false => self.reports.get(name).map(|last| &last.report),
        }
    }

    /// Whether this host follows the store and collects the reports of its
    /// zone: it ranks among the first hosts of its zone, or it replaces
    /// watchers that the store refuses.
    pub fn is_watcher(&self, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let higher: Vec<HigherHost> = self.higher_hosts(now).collect();
        if higher.len() < settings.watchers {
            return true;
        }
        if higher.iter().filter(|host| host.is_answered).count() >= settings.watchers {
            return false;
        }
        // If the store refuses all hosts, they do not call it all at once.
        let rank = (self.watcher_rank() + 1).saturating_sub(settings.watchers);
        let wait = settings.refusal_step * u32::try_from(rank).unwrap_or(u32::MAX);
        let is_refused = |at: MonotonicTime| now.since(at) < settings.refusal_cooldown;
        let is_turn = |since: MonotonicTime| now.since(since) >= wait;
        self.refused_since.is_some_and(is_turn) && !self.own_refusal.is_some_and(is_refused)
    }

    /// Whether this host is the first watcher of its zone that the store
    /// answers. It verifies often that its connection to the store still works;
    /// the other watchers depend on it for that.
    pub fn is_lead_watcher(&self, now: MonotonicTime) -> bool {
        self.is_watcher(now) && !self.higher_hosts(now).any(|host| host.is_answered)
    }

    /// Whether `first` ranks higher than `second` as a watcher. Hosts with the
    /// widest links rank first, since watchers send changes to all hosts of
    /// their zone.
    fn outranks(&self, first: &str, second: &str) -> bool {
        let link = |name: &str| self.rows.get(name).map_or(0, |row| row.link_mbps);
        match link(first).cmp(&link(second)) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => {
                first != second && rendezvous_order(WATCHER_RANK_KEY, [first, second])[0] == first
            }
        }
    }

    /// Rank of this host among the zone's hosts as a watcher, from 0.
    fn watcher_rank(&self) -> usize {
        let names = self.zone_rows().map(|row| row.name.as_str());
        let higher = names.filter(|name| self.outranks(name, &self.own.name));
        higher.count()
    }

    /// Live hosts of the zone that rank higher than this one as watchers.
    fn higher_hosts(&self, now: MonotonicTime) -> impl Iterator<Item = HigherHost> {
        let settings = &self.settings;
        let wait = match self.own_report.is_watcher {
            true => Duration::ZERO,
            false => {
                let rank = u32::try_from(self.watcher_rank()).unwrap_or(u32::MAX);
                (settings.succession_step * rank).min(settings.succession_max)
            }
        };
        let is_new = now.since(self.opened) < settings.startup_grace + wait;
        let names = self.zone_rows().map(|row| row.name.as_str());
        let higher = names.filter(|name| self.outranks(name, &self.own.name));
        higher.filter_map(move |name| match self.reports.get(name) {
            Some(last) => {
                let timeout = settings.watcher_timeout + wait;
                let is_live = now.since(last.received) < timeout && !last.report.is_leaving;
                is_live.then_some(HigherHost {
                    is_answered: !last.report.store_failed,
                })
            }
            None => is_new.then_some(HigherHost { is_answered: true }),
        })
    }

    /// The other hosts of the zone that rank highest as watchers, whether or
    /// not they are alive.
    pub fn likely_watchers(&self) -> impl Iterator<Item = &HostRow> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        let mut ranked: Vec<&HostRow> = others.collect();
        ranked.sort_by(
            |first, second| match self.outranks(&first.name, &second.name) {
                true => Ordering::Less,
                false => Ordering::Greater,
            },
        );
        ranked.into_iter().take(self.settings.watchers)
    }

    fn is_live_watcher(&self, name: &str, now: MonotonicTime) -> bool {
        self.has_reported(name, self.settings.watcher_timeout, now)
            && self.reports[name].report.is_watcher
    }

    /// Other watchers of this host's zone that reported recently.
    fn live_watchers(&self, now: MonotonicTime) -> impl Iterator<Item = &HostRow> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        others.filter(move |row| self.is_live_watcher(&row.name, now))
    }

    /// Whether this host computes its zone's list: it is the highest-ranked
    /// watcher that has heard from all hosts.
    pub fn computes_list(&self, now: MonotonicTime) -> bool {
        let ranks_lower = |row: &HostRow| {
            !self.reports[&row.name].report.knows_zone || self.outranks(&self.own.name, &row.name)
        };
        self.own_report.knows_zone && self.live_watchers(now).all(ranks_lower)
    }

    /// Computes the list of this host's zone.
    ///
    /// A zone's callers are concentrated on as few hosts as the load requires,
    /// so that each of them sees many outcomes of the backend servers.
    fn compute_list(&mut self, now: MonotonicTime) -> ZoneList {
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
            planned += report.capacity_per_s * self.settings.planned_utilization;
            need += 1;
        }
        let need = need.clamp(self.settings.named_min, self.settings.named_max);
        let peak = self.named_peak;
        let is_peak_recent = now.since(peak.at) < self.settings.named_hold;
        let homes = self.strongest_hosts(&order);
        let count = match is_peak_recent {
            true => need.max(peak.count),
            false => need,
        };
        let named: Vec<String> = order.iter().take(count).map(|n| (*n).to_owned()).collect();
        let serving = self.zone_rows().filter(|row| {
            let report = self.report(&row.name);
            let is_busy = |r: &PeerReport| r.rate_per_s >= self.settings.serving_rate_per_s;
            self.is_alive(&row.name, now) && report.is_some_and(is_busy)
        });
        let serving: Vec<String> = serving.map(|row| row.name.clone()).collect();
        let unnamed = serving.into_iter().filter(|name| !named.contains(name));
        let serving = named.iter().cloned().chain(unnamed).collect();
        if need >= count {
            self.named_peak = NamedPeak {
                count: need,
                at: now,
            };
        }
        ZoneList {
            zone: self.own.zone.clone(),
            named,
            homes,
            serving,
        }
    }

    /// The hosts with the most capacity among those in `order`, which decides
    /// between equal ones.
    fn strongest_hosts(&self, order: &[&str]) -> Vec<String> {
        let capacity = |name: &str| self.report(name).map_or(0.0, |r| r.capacity_per_s);
        let mut strongest = order.to_vec();
        strongest.sort_by(|first, second| capacity(second).total_cmp(&capacity(first)));
        strongest.truncate(self.settings.homes);
        strongest.into_iter().map(str::to_owned).collect()
    }

    /// Lists of all zones that were received within
    /// [`HostTableSettings::list_ttl`].
    pub fn lists(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneList> {
        let ttl = self.settings.list_ttl;
        let received = self.lists.values();
        let fresh = received.filter(move |entry| now.since(entry.received) < ttl);
        fresh.map(|entry| &entry.list)
    }

    fn list(&self, zone: &str, now: MonotonicTime) -> Option<&ZoneList> {
        self.lists(now).find(|list| list.zone == zone)
    }

    /// Hosts that look-ups return to the callers of a zone: those of the zone,
    /// else those of this host's zone, else this host.
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

    /// Number of hosts in the look-up answers of all zones; at least 1.
    pub fn named_host_count(&self, now: MonotonicTime) -> usize {
        let named: usize = self.lists(now).map(|list| list.named.len()).sum();
        named.max(1)
    }

    /// Whether look-ups return this host to callers; true while its zone has
    /// no list.
    pub fn is_named(&self, now: MonotonicTime) -> bool {
        let list = self.list(&self.own.zone, now);
        list.is_none_or(|list| list.named.contains(&self.own.name))
    }

    /// Whether this host receives the start and end reports of its peers:
    /// look-ups return it, and it has run for long enough to know the other
    /// hosts.
    pub fn sees_peer_traffic(&self, now: MonotonicTime) -> bool {
        now.since(self.opened) >= self.settings.discovery_time && self.is_named(now)
    }

    /// Share of this host in a fleet-wide budget, from 0 to 1. The hosts in
    /// the look-up answers divide most of the budget, the other hosts the
    /// rest.
    pub fn own_share(&self, now: MonotonicTime) -> f64 {
        let named_host_count = self.named_host_count(now);
        let others = self.rows.len().saturating_sub(named_host_count).max(1);
        match self.is_named(now) {
            true => NAMED_SHARE / named_host_count as f64,
            false => (1.0 - NAMED_SHARE) / others as f64,
        }
    }

    /// Peer addresses to notify of the start and end of a request: the serving
    /// hosts of this host's zone.
    pub fn zone_observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let list = self.list(&self.own.zone, now);
        self.peers_of(list.into_iter())
    }

    /// Peer addresses of the serving hosts of this host's zone and of `zone`.
    pub fn zone_pair_observers(&self, zone: &str, now: MonotonicTime) -> Vec<SocketAddr> {
        let zones = [zone, &self.own.zone];
        self.peers_of(
            self.lists(now)
                .filter(|list| zones.contains(&list.zone.as_str())),
        )
    }

    /// Peer addresses to notify of a failure: the serving hosts of all zones.
    pub fn observers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        self.peers_of(self.lists(now))
    }

    fn peers_of<'t>(&'t self, lists: impl Iterator<Item = &'t ZoneList>) -> Vec<SocketAddr> {
        let rows = lists.flat_map(|list| self.rows_of(&list.serving));
        let others = rows.filter(|row| row.name != self.own.name);
        others.map(|row| row.peer).collect()
    }

    /// Addresses in this host's zone to report to: all hosts for a watcher,
    /// the watchers for the others. While too few watchers are heard, reports
    /// also go to the hosts that may become one, to more of them as time
    /// passes.
    pub fn report_targets(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        if self.is_publishing {
            return others.map(|row| row.peer).collect();
        }
        let mut targets: Vec<SocketAddr> = self.live_watchers(now).map(|r| r.peer).collect();
        if let Some(since) = self.few_watchers_since {
            let doublings = now.since(since).as_millis() / TARGET_DOUBLING_TIME.as_millis() + 1;
            let reach = self.settings.watchers << doublings.min(8);
            let names = others.map(|row| row.name.as_str());
            let order = rendezvous_order(WATCHER_RANK_KEY, names);
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

    /// Addresses in the other zones to report to: the known watchers, and one
    /// other host of each zone that changes with each `round`. Empty unless
    /// this host is a watcher.
    pub fn cross_zone_targets(&self, round: usize, now: MonotonicTime) -> Vec<SocketAddr> {
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
                .filter(|row| self.is_live_watcher(&row.name, now));
            targets.extend(watchers.map(|row| row.peer));
            targets.push(rows[round % rows.len()].peer);
        }
        targets
    }

    /// Candidates for counting the tokens of a workspace, highest-ranked
    /// first. These are the strongest hosts of each zone: all hosts agree on
    /// them, their failure is detected within seconds, and a change of the load
    /// does not replace them.
    pub fn token_homes(&self, workspace: &str, now: MonotonicTime) -> Vec<&HostRow> {
        let homes = self.lists(now).flat_map(|list| self.rows_of(&list.homes));
        let mut names: Vec<&str> = homes.map(|row| row.name.as_str()).collect();
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
