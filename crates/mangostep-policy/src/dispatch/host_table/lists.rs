//! Which hosts of a zone look-ups return to callers.

use crate::{
    MonotonicTime,
    dispatch::{HostRow, HostTable, PeerReport, ZoneList, host_table::NamedPeak},
    rendezvous_order,
};

/// Share of a fleet-wide budget for the hosts in the look-up answers. The
/// other hosts still get callers that cache older answers.
const NAMED_SHARE: f64 = 0.75;

impl HostTable {
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
    pub(super) fn compute_list(&mut self, now: MonotonicTime) -> ZoneList {
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
    pub(super) fn strongest_hosts(&self, order: &[&str]) -> Vec<String> {
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

    pub(super) fn list(&self, zone: &str, now: MonotonicTime) -> Option<&ZoneList> {
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

    pub(super) fn rows_of<'t>(&'t self, names: &'t [String]) -> impl Iterator<Item = &'t HostRow> {
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
}
