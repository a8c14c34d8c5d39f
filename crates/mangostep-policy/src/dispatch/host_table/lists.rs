//! Which hosts of a zone look-ups return to callers.

use crate::{
    MonotonicTime,
    dispatch::{
        HostRow, HostTable, PeerReport, ZoneList,
        host_table::{NamedPeak, ReceivedList},
    },
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
        let mut order = rendezvous_order(&self.own.zone, ready);
        if self.settings.weighs_capacity {
            self.sort_by_capacity(&mut order);
        }
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
        // The next callers of an idle zone may all come at once.
        if self.settings.weighs_capacity && rate < self.settings.idle_rate_per_s {
            need = order.len();
        }
        let need = need.clamp(self.settings.named_min, self.settings.named_max);
        let peak = self.named_peak;
        let is_peak_recent = now.since(peak.at) < self.settings.named_hold;
        let homes = self.home_hosts(&order);
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
            serial: self.next_serial(),
            weights: self.capacity_weights(&named),
            named,
            homes,
            serving,
        }
    }

    /// Number of the next list of this host's zone. It exceeds those of all lists
    /// that this host knows, and of those that were lost when all hosts
    /// restarted.
    fn next_serial(&self) -> u64 {
        (self.own_serial + 1).max(self.own_report.incarnation)
    }

    /// The hosts with the most capacity among those in `order`, which decides
    /// between equal ones. Hosts that are in the known list keep their places:
    /// each move of a limit home may let two of them grant tokens at once.
    fn home_hosts(&self, order: &[&str]) -> Vec<String> {
        let mut strongest = order.to_vec();
        self.sort_by_capacity(&mut strongest);
        strongest.truncate(self.settings.homes);
        let least = strongest.last().map_or(0.0, |name| self.capacity(name));
        let is_kept = |name: &str| order.contains(&name) && self.capacity(name) >= least;
        let mut places: Vec<Option<&str>> = vec![None; strongest.len()];
        if let Some(known) = self.lists.get(&self.own.zone) {
            for (place, name) in places.iter_mut().zip(&known.list.homes) {
                *place = Some(name.as_str()).filter(|name| is_kept(name));
            }
        }
        let taken: Vec<&str> = places.iter().copied().flatten().collect();
        let mut new = strongest.into_iter().filter(|name| !taken.contains(name));
        let homes = places
            .into_iter()
            .filter_map(|kept| kept.or_else(|| new.next()));
        homes.map(str::to_owned).collect()
    }

    /// Sorts hosts by their capacity, the largest first; equal ones keep their
    /// order.
    fn sort_by_capacity(&self, names: &mut [&str]) {
        names.sort_by(|first, second| self.capacity(second).total_cmp(&self.capacity(first)));
    }

    /// Requests per second that a host can handle by its report; 0 if unknown.
    fn capacity(&self, name: &str) -> f64 {
        self.report(name).map_or(0.0, |r| r.capacity_per_s)
    }

    /// Weights of the named hosts in proportion to their capacity, as small as
    /// possible. Callers pick one of the addresses of an answer at random, so
    /// that a host that occurs in it twice gets twice as many callers.
    fn capacity_weights(&self, named: &[String]) -> Vec<u8> {
        if !self.settings.weighs_capacity {
            return Vec::new();
        }
        let capacities: Vec<f64> = named.iter().map(|name| self.capacity(name)).collect();
        let least = capacities.iter().copied().fold(f64::INFINITY, f64::min);
        let total: f64 = capacities.iter().sum();
        // The answer has a bounded number of addresses.
        let unit = least.max(total / self.settings.named_max as f64);
        let weight = |capacity: &f64| (capacity / unit).floor().clamp(1.0, 255.0) as u8;
        match unit > 0.0 {
            true => capacities.iter().map(weight).collect(),
            false => Vec::new(),
        }
    }

    /// Lists of all zones that are in contact, or whose list was received within
    /// [`HostTableSettings::list_ttl`]. Lists that did not change are sent so
    /// rarely that the counts of hosts show sooner whether a zone still runs.
    ///
    /// [`HostTableSettings::list_ttl`]: crate::HostTableSettings::list_ttl
    pub fn lists(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneList> {
        let received = self.lists.values();
        let valid = received.filter(move |entry| self.is_valid(entry, now));
        valid.map(|entry| &entry.list)
    }

    pub(super) fn is_valid(&self, entry: &ReceivedList, now: MonotonicTime) -> bool {
        now.since(entry.received) < self.settings.list_ttl
            || self.is_in_recent_contact(&entry.list.zone, now)
    }

    pub(super) fn list(&self, zone: &str, now: MonotonicTime) -> Option<&ZoneList> {
        self.lists(now).find(|list| list.zone == zone)
    }

    /// Hosts that look-ups return to the callers of a zone: those of the zone,
    /// else those of this host's zone, else this host. A host occurs as often
    /// as its weight says, up to [`HostTableSettings::named_max`] entries.
    ///
    /// [`HostTableSettings::named_max`]: crate::HostTableSettings::named_max
    pub fn named_hosts(&self, zone: &str, now: MonotonicTime) -> Vec<&HostRow> {
        for zone in [zone, &self.own.zone] {
            let Some(list) = self.list(zone, now) else {
                continue;
            };
            let mut rows = self.weighted_rows(list);
            if !rows.is_empty() {
                rows.truncate(self.settings.named_max);
                return rows;
            }
        }
        vec![&self.own]
    }

    /// Rows of a list's named hosts: each once, then again those with a larger
    /// weight.
    fn weighted_rows(&self, list: &ZoneList) -> Vec<&HostRow> {
        let most = (0..list.named.len()).map(|index| list.weight(index)).max();
        let rounds = 0..most.unwrap_or_default();
        let names = rounds.flat_map(|round| {
            let named = list.named.iter().enumerate();
            named.filter(move |(index, _)| list.weight(*index) > round)
        });
        names.filter_map(|(_, name)| self.rows.get(name)).collect()
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
    /// the look-up answers divide most of the budget by their weights, the
    /// other hosts the rest.
    pub fn own_share(&self, now: MonotonicTime) -> f64 {
        let others = self.rows.len().saturating_sub(self.named_host_count(now));
        match self.is_named(now) {
            true => {
                let total: u32 = self.lists(now).map(ZoneList::total_weight).sum();
                NAMED_SHARE * f64::from(self.own_weight(now)) / f64::from(total.max(1))
            }
            false => (1.0 - NAMED_SHARE) / others.max(1) as f64,
        }
    }

    /// Weight of this host in the look-up answers of its zone.
    fn own_weight(&self, now: MonotonicTime) -> u8 {
        let list = self.list(&self.own.zone, now);
        list.and_then(|list| {
            let index = list.named.iter().position(|name| *name == self.own.name)?;
            Some(list.weight(index))
        })
        .unwrap_or(1)
    }
}
