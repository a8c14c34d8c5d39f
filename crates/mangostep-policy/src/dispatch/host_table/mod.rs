//! The hosts of the fleet.

mod lists;
mod presence;
mod settings;
mod targets;
mod watchers;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use self::presence::CountedZone;
pub use self::settings::HostTableSettings;
use crate::{
    MonotonicTime,
    dispatch::{HostRow, PeerReport, ReceivedReport, ZoneList},
};

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
    /// When a limit home last changed.
    homes_changed: MonotonicTime,
    /// Highest serial number of a list of this host's zone.
    own_serial: u64,
    /// Number of hosts of each zone.
    zone_sizes: BTreeMap<String, usize>,
    /// The latest counts of the hosts of each zone.
    zones: BTreeMap<String, CountedZone>,
    /// When a host of each zone last requested a token.
    contacts: BTreeMap<String, MonotonicTime>,
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
            zone_sizes: BTreeMap::from([(own.zone.clone(), 1)]),
            zones: BTreeMap::new(),
            contacts: BTreeMap::new(),
            own,
            opened: now,
            own_report: PeerReport::default(),
            reports: HashMap::new(),
            lists: BTreeMap::new(),
            homes_changed: now,
            own_serial: 0,
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
            *self.zone_sizes.entry(row.zone.clone()).or_default() += 1;
            let replaced = self.rows.insert(row.name.clone(), row);
            self.uncount(replaced.as_ref());
        }
    }

    /// Removes a host; this host itself stays.
    pub fn remove(&mut self, name: &str) {
        if name != self.own.name {
            let removed = self.rows.remove(name);
            self.uncount(removed.as_ref());
        }
    }

    /// Removes a row from the number of hosts of its zone.
    fn uncount(&mut self, row: Option<&HostRow>) {
        if let Some(size) = row.and_then(|row| self.zone_sizes.get_mut(&row.zone)) {
            *size -= 1;
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
        if self.own_report.knows_zone {
            self.count_own_zone(now);
        }
        if self.computes_list(now) {
            let list = self.compute_list(now);
            self.own_serial = list.serial;
            let received = ReceivedList {
                list,
                sender: self.own.name.clone(),
                received: now,
            };
            self.insert_list(received, now);
        }
        self.own_report.list_serial = self.own_serial;
        &self.own_report
    }

    /// Records a peer's report about itself. Returns whether the peer's
    /// readiness for callers changed.
    pub fn record_report(&mut self, name: &str, report: PeerReport, now: MonotonicTime) -> bool {
        let was_ready = self.is_ready(name, now);
        let is_ready = report.is_ready;
        let row = self.rows.get(name);
        if row.is_some_and(|row| row.zone == self.own.zone) {
            self.own_serial = self.own_serial.max(report.list_serial);
        }
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

    /// Records a zone's list that the watcher `sender` published, unless a later
    /// one is known. The list of this host's zone is accepted only from its
    /// highest-ranked watcher. Returns whether the limit homes of another zone
    /// changed.
    pub fn record_list(&mut self, sender: &str, list: ZoneList, now: MonotonicTime) -> bool {
        let known = self.lists.get(&list.zone);
        let valid = known.filter(|known| self.is_valid(known, now));
        let is_own_zone = list.zone == self.own.zone;
        if is_own_zone {
            self.own_serial = self.own_serial.max(list.serial);
        }
        if valid.is_some_and(|known| known.list.serial >= list.serial) {
            return false;
        }
        if is_own_zone && !self.accepts_own_list(sender, now) {
            return false;
        }
        let received = ReceivedList {
            sender: sender.to_owned(),
            received: now,
            list,
        };
        self.insert_list(received, now) && !is_own_zone
    }

    /// Whether a later list of this host's zone is accepted from a sender.
    fn accepts_own_list(&self, sender: &str, now: MonotonicTime) -> bool {
        // This host was paused: it keeps the homes that another watcher has
        // chosen in the meantime.
        if self.computes_list(now) {
            return true;
        }
        // Watchers of other zones relay lists, but have no rank in this one.
        if self.zone_rows().all(|row| row.name != sender) {
            return false;
        }
        self.lists.get(&self.own.zone).is_none_or(|known| {
            known.sender == sender
                || !self.is_live_watcher(&known.sender, now)
                || !self.outranks(&known.sender, sender)
        })
    }

    /// Stores a list. Returns whether the limit homes of its zone changed.
    fn insert_list(&mut self, received: ReceivedList, now: MonotonicTime) -> bool {
        let known = self.lists.get(&received.list.zone);
        let is_changed = known.is_none_or(|known| known.list.homes != received.list.homes);
        if is_changed {
            self.homes_changed = now;
        }
        self.lists.insert(received.list.zone.clone(), received);
        is_changed
    }

    /// Time since a limit home of any zone last changed, as far as this host
    /// knows.
    pub fn settled_time(&self, now: MonotonicTime) -> Duration {
        now.since(self.homes_changed)
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
}
