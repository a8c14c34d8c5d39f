//! Which hosts are sent reports, signals and token requests.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    MonotonicTime,
    dispatch::{HostRow, HostTable, ZoneList, host_table::WATCHER_RANK_KEY},
    rendezvous_order,
};

/// Time after which a host that hears from too few watchers doubles the number
/// of hosts that it reports to: one report interval.
const TARGET_DOUBLING_TIME: Duration = Duration::from_millis(500);

impl HostTable {
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

    /// Peer addresses of the limit homes in the other zones, to which the counts
    /// of hosts are sent directly. Empty unless this host is a watcher.
    pub fn home_targets(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        if !self.own_report.is_watcher {
            return Vec::new();
        }
        let others = self.lists(now).filter(|list| list.zone != self.own.zone);
        let homes = others.flat_map(|list| self.rows_of(&list.homes));
        homes.map(|row| row.peer).collect()
    }

    /// Limit homes of a workspace, highest-ranked first. These are the strongest
    /// hosts of each zone: all hosts agree on them, their failure is detected
    /// within seconds, and a change of the load does not replace them.
    ///
    /// The places in the zones' lists are ranked, not the hosts. A host that
    /// replaces another one therefore takes over the workspaces of that one
    /// only.
    pub fn token_homes(&self, workspace: &str, now: MonotonicTime) -> Vec<&HostRow> {
        let ranked = self.ranked_homes(workspace, now);
        if !ranked.is_empty() {
            return ranked;
        }
        let names = self.rows.keys().map(String::as_str);
        let order = rendezvous_order(workspace, names);
        let rows = order.iter().filter_map(|name| self.rows.get(*name));
        rows.collect()
    }

    /// The highest-ranked limit home of a workspace. `None` while this host knows
    /// no lists.
    pub fn first_home(&self, workspace: &str, now: MonotonicTime) -> Option<&HostRow> {
        self.ranked_homes(workspace, now).into_iter().next()
    }

    /// The highest-ranked limit home of a workspace besides this host.
    pub(in crate::dispatch) fn first_other_home(
        &self,
        workspace: &str,
        now: MonotonicTime,
    ) -> Option<&HostRow> {
        let mut homes = self.ranked_homes(workspace, now).into_iter();
        homes.find(|row| row.name != self.own.name && self.is_zone_heard(&row.zone, now))
    }

    fn ranked_homes(&self, workspace: &str, now: MonotonicTime) -> Vec<&HostRow> {
        let mut places: BTreeMap<String, &HostRow> = BTreeMap::new();
        for list in self.lists(now) {
            for (index, name) in list.homes.iter().enumerate() {
                if let Some(row) = self.rows.get(name) {
                    places.insert(format!("{} {index}", list.zone), row);
                }
            }
        }
        let order = rendezvous_order(workspace, places.keys().map(String::as_str));
        order.iter().map(|place| places[*place]).collect()
    }
}
