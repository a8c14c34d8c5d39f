//! Which hosts follow the store for their zone.

use std::{cmp::Ordering, time::Duration};

use crate::{
    MonotonicTime,
    dispatch::{HostRow, HostTable, host_table::WATCHER_RANK_KEY},
    rendezvous_order,
};

/// A host that ranks higher than this one as a watcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct HigherHost {
    /// Whether the store answers the host.
    pub(super) is_answered: bool,
}

impl HostTable {
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
    pub(super) fn outranks(&self, first: &str, second: &str) -> bool {
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
    pub(super) fn watcher_rank(&self) -> usize {
        let names = self.zone_rows().map(|row| row.name.as_str());
        let higher = names.filter(|name| self.outranks(name, &self.own.name));
        higher.count()
    }

    /// Live hosts of the zone that rank higher than this one as watchers.
    pub(super) fn higher_hosts(&self, now: MonotonicTime) -> impl Iterator<Item = HigherHost> {
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

    pub(super) fn is_live_watcher(&self, name: &str, now: MonotonicTime) -> bool {
        self.has_reported(name, self.settings.watcher_timeout, now)
            && self.reports[name].report.is_watcher
    }

    /// Other watchers of this host's zone that reported recently.
    pub(super) fn live_watchers(&self, now: MonotonicTime) -> impl Iterator<Item = &HostRow> {
        let others = self.zone_rows().filter(|row| row.name != self.own.name);
        others.filter(move |row| self.is_live_watcher(&row.name, now))
    }
}
