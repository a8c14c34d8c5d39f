use std::collections::HashMap;

use {
    mangostep_platform::{HolderGroup, HolderIndex, HostRow, Row},
    mangostep_policy::{
        LeaseRecord, LeaseTimes, LeaseWatch, LiveHost, MemberPlanner, MemberSet, MonotonicTime,
    },
};

use crate::{
    context::{FleetView, HostContext, PeerHost, ResourceHolder},
    prelude::*,
};

/// What the store thread knows of the fleet's rows.
#[derive(Debug)]
pub(super) struct TableView {
    /// Version of the host's own row as this process wrote it last.
    pub(super) own_version: u64,
    /// Whether this process has written the row.
    pub(super) has_written: bool,
    pub(super) index: HolderIndex,
    pub(super) index_version: u64,
    pub(super) groups: HashMap<String, KnownGroup>,
    /// Host rows of the latest reading, with their versions.
    pub(super) rows: HashMap<String, KnownRow>,
    pub(super) members_version: u64,
    pub(super) watch: LeaseWatch,
    pub(super) member_planner: MemberPlanner,
    /// Since when holders were seen to be missing or lapsed.
    pub(super) vacant_since: Option<MonotonicTime>,
    /// Since when another host would be the better holder of the own
    /// resources, and which hosts were live then.
    pub(super) moves: Option<(MonotonicTime, Vec<LiveHost>)>,
}

/// A group of holders with its row's version.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownGroup {
    pub(super) version: u64,
    pub(super) group: HolderGroup,
}

/// A host's row with its version.
#[derive(Clone, Debug)]
pub(super) struct KnownRow {
    pub(super) version: u64,
    pub(super) row: HostRow,
}

/// Renewals in a row that a host may miss before look-ups leave it out.
const RENEWALS_MISSED_MAX: u32 = 3;

impl TableView {
    pub(super) fn new(times: &LeaseTimes) -> Self {
        TableView {
            own_version: 0,
            has_written: false,
            index: HolderIndex::default(),
            index_version: 0,
            groups: HashMap::new(),
            rows: HashMap::new(),
            members_version: 0,
            watch: LeaseWatch::new(times.clone()),
            member_planner: MemberPlanner::default(),
            vacant_since: None,
            moves: None,
        }
    }

    /// Takes the index of holders; an unreadable one changes nothing.
    pub(super) fn take_index(&mut self, row: Option<&Row>) {
        let Some(row) = row else { return };
        if row.version < self.index_version {
            return;
        }
        let text = row.value.as_deref().unwrap_or("{}");
        if let Ok(index) = HolderIndex::parse(text) {
            self.index = index;
            self.index_version = row.version;
        }
    }

    /// The groups whose generation the index names differently.
    pub(super) fn stale_groups(&self) -> Vec<String> {
        self.index
            .groups
            .iter()
            .filter(|(name, generation)| {
                let known = self.groups.get(*name);
                known.is_none_or(|known| known.group.generation < **generation)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Takes a group's row unless a later one is known.
    pub(super) fn take_group(&mut self, name: &str, row: &Row) {
        let Some(text) = row.value.as_deref() else {
            return;
        };
        let Ok(group) = HolderGroup::parse(text) else {
            return;
        };
        let known = self.groups.entry(name.to_owned()).or_default();
        if group.generation >= known.group.generation {
            *known = KnownGroup {
                version: row.version,
                group,
            };
        }
    }

    /// Takes a reading of all host rows; returns whether it counted.
    pub(super) fn take_rows(
        &mut self,
        asked: MonotonicTime,
        now: MonotonicTime,
        rows: &[KnownRow],
    ) -> bool {
        let records: Vec<LeaseRecord> = rows.iter().map(|known| record_of(&known.row)).collect();
        let counted = self.watch.add_reading(asked, now, &records);
        let by_name = rows
            .iter()
            .map(|known| (known.row.host.clone(), known.clone()));
        self.rows = by_name.collect();
        counted
    }

    /// Names of the hosts whose rows say that they leave.
    pub(super) fn leaving(&self) -> Vec<String> {
        let leaving = self.rows.values().filter(|known| known.row.leaving);
        leaving.map(|known| known.row.host.clone()).collect()
    }

    /// Members that may be given something to hold, sorted by name.
    pub(super) fn live_hosts(&self, now: MonotonicTime, members: &MemberSet) -> Vec<LiveHost> {
        let mut live: Vec<LiveHost> = self
            .rows
            .values()
            .map(|known| &known.row)
            .filter(|row| members.contains(&row.host) && !row.leaving)
            .filter(|row| self.watch.is_live(now, &row.host))
            .map(|row| LiveHost {
                name: row.host.clone(),
                incarnation: row.incarnation,
                zone: row.zone.clone(),
            })
            .collect();
        live.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Rows of hosts that lapsed at least so long ago and are no members.
    pub(super) fn dead_rows(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
        kept: Duration,
    ) -> Vec<KnownRow> {
        let is_dead = |row: &HostRow| {
            let unchanged = self.watch.unchanged_for(now, &row.host);
            !members.contains(&row.host)
                && unchanged.is_some_and(|unchanged| unchanged >= kept)
                && self
                    .watch
                    .has_lapsed(now, &row.host, row.incarnation, members)
        };
        let rows = self.rows.values();
        rows.filter(|known| is_dead(&known.row)).cloned().collect()
    }

    /// Whether a host has let some renewals pass.
    ///
    /// It says nothing of the host's lease; look-ups stop naming it early.
    fn is_silent(&self, now: MonotonicTime, context: &HostContext, row: &HostRow) -> bool {
        let times = &context.settings.lease;
        let patience = times.renewal_interval * RENEWALS_MISSED_MAX + times.reading_gap_max;
        let unchanged = self.watch.unchanged_for(now, &row.host);
        unchanged.is_some_and(|unchanged| unchanged > patience)
    }

    /// Publishes the view to the other threads.
    pub(super) fn publish(&self, context: &HostContext, now: MonotonicTime, members: &MemberSet) {
        let is_lapsed = |row: &HostRow| {
            members.version() > 0
                && self
                    .watch
                    .has_lapsed(now, &row.host, row.incarnation, members)
        };
        let mut hosts: Vec<PeerHost> = self
            .rows
            .values()
            .map(|known| &known.row)
            .filter(|row| !is_lapsed(row))
            .map(|row| peer_host(row, self.is_silent(now, context, row)))
            .collect();
        forget_silence_of_most(&mut hosts);
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut holders = HashMap::new();
        for known in self.groups.values() {
            for (resource, entry) in &known.group.holders {
                let is_own = entry.incarnation == context.incarnation;
                if entry.host.is_empty() || is_own && context.lease.is_given(resource, entry.epoch)
                {
                    continue;
                }
                let holder = ResourceHolder {
                    host: entry.host.clone(),
                    incarnation: entry.incarnation,
                    epoch: entry.epoch,
                };
                holders.insert(resource.clone(), holder);
            }
        }
        if hosts.is_empty() {
            // Nothing was read yet; what a peer told stays.
            hosts.clone_from(&context.fleet.load().hosts);
        }
        context.fleet.store(Arc::new(FleetView { hosts, holders }));
    }
}

fn record_of(row: &HostRow) -> LeaseRecord {
    LeaseRecord {
        host: row.host.clone(),
        incarnation: row.incarnation,
        number: row.number,
        confirmed: row.confirmed,
        member_set: row.member_set,
    }
}

/// When most hosts look silent, the store or this host's way to it is.
fn forget_silence_of_most(hosts: &mut [PeerHost]) {
    let silent = hosts.iter().filter(|host| host.silent).count();
    if silent * 2 >= hosts.len() {
        for host in hosts {
            host.silent = false;
        }
    }
}

fn peer_host(row: &HostRow, silent: bool) -> PeerHost {
    PeerHost {
        name: row.host.clone(),
        incarnation: row.incarnation,
        zone: row.zone.clone(),
        front: row.front,
        peer: row.peer,
        operator: row.operator,
        leaving: row.leaving,
        version: row.version,
        running: row.running,
        silent,
    }
}
