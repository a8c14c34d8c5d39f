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

/// The fleet's rows as the store thread last read them.
#[derive(Debug)]
pub(super) struct TableView {
    /// Last known version of the host's own row; 0 if there is none.
    pub(super) own_version: u64,
    /// Whether this process has written its own row at least once.
    pub(super) has_written: bool,
    pub(super) index: HolderIndex,
    pub(super) index_version: u64,
    pub(super) groups: HashMap<String, KnownGroup>,
    /// Host rows of the latest reading, with their versions.
    pub(super) rows: HashMap<String, KnownRow>,
    pub(super) members_version: u64,
    pub(super) watch: LeaseWatch,
    pub(super) member_planner: MemberPlanner,
    /// Start of the period during which every reading found vacant resources.
    pub(super) vacant_since: Option<MonotonicTime>,
    /// Start of the period during which resources of this host have had
    /// another preferred holder, with the hosts that were live throughout.
    pub(super) pending_moves: Option<(MonotonicTime, Vec<LiveHost>)>,
}

/// Group of holders with the version of its row.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownGroup {
    pub(super) version: u64,
    pub(super) group: HolderGroup,
}

/// Host row with its version.
#[derive(Clone, Debug)]
pub(super) struct KnownRow {
    pub(super) version: u64,
    pub(super) row: HostRow,
}

/// Number of successive renewals that a host may miss before look-ups omit it.
const MISSED_RENEWALS_MAX: u32 = 3;

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
            pending_moves: None,
        }
    }

    /// Applies the index of holders, unless it is invalid or older than the
    /// known one.
    pub(super) fn apply_index(&mut self, row: Option<&Row>) {
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

    /// Returns the names of groups for which the index has a later generation.
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

    /// Applies a group's row, unless it is invalid or a later generation is
    /// known.
    pub(super) fn apply_group(&mut self, name: &str, row: &Row) {
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

    /// Applies a reading of all host rows; returns whether the lease watch
    /// accepted it.
    pub(super) fn apply_rows(
        &mut self,
        requested_at: MonotonicTime,
        now: MonotonicTime,
        rows: &[KnownRow],
    ) -> bool {
        let records: Vec<LeaseRecord> = rows.iter().map(|known| lease_record(&known.row)).collect();
        let is_accepted = self.watch.add_reading(requested_at, now, &records);
        let by_name = rows
            .iter()
            .map(|known| (known.row.host.clone(), known.clone()));
        self.rows = by_name.collect();
        is_accepted
    }

    /// Returns the names of the hosts that announced a planned stop.
    pub(super) fn leaving(&self) -> Vec<String> {
        let leaving = self.rows.values().filter(|known| known.row.leaving);
        leaving.map(|known| known.row.host.clone()).collect()
    }

    /// Returns the members that are eligible as holders, sorted by name.
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

    /// Returns the rows of lapsed hosts that are not members and have not
    /// renewed for at least `retention`.
    pub(super) fn expired_rows(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
        retention: Duration,
    ) -> Vec<KnownRow> {
        let is_expired = |row: &HostRow| {
            let unchanged = self.watch.unchanged_for(now, &row.host);
            !members.contains(&row.host)
                && unchanged.is_some_and(|unchanged| unchanged >= retention)
                && self
                    .watch
                    .has_lapsed(now, &row.host, row.incarnation, members)
        };
        let rows = self.rows.values();
        rows.filter(|known| is_expired(&known.row))
            .cloned()
            .collect()
    }

    /// Whether a host has missed more than [`MISSED_RENEWALS_MAX`] renewals.
    ///
    /// Look-ups omit such a host even before its lease has lapsed.
    fn is_silent(&self, now: MonotonicTime, context: &HostContext, row: &HostRow) -> bool {
        let times = &context.settings.lease;
        let silence_threshold =
            times.renewal_interval * MISSED_RENEWALS_MAX + times.reading_gap_max;
        let unchanged = self.watch.unchanged_for(now, &row.host);
        unchanged.is_some_and(|unchanged| unchanged > silence_threshold)
    }

    /// Publishes the hosts and holders to the other threads.
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
        clear_widespread_silence(&mut hosts);
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut holders = HashMap::new();
        for known in self.groups.values() {
            for (resource, entry) in &known.group.holders {
                let is_own = entry.incarnation == context.incarnation;
                if entry.host.is_empty()
                    || is_own && context.lease.is_released(resource, entry.epoch)
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
            // No rows were read yet: keep the hosts received from a peer.
            hosts.clone_from(&context.fleet.load().hosts);
        }
        context.fleet.store(Arc::new(FleetView { hosts, holders }));
    }
}

fn lease_record(row: &HostRow) -> LeaseRecord {
    LeaseRecord {
        host: row.host.clone(),
        incarnation: row.incarnation,
        number: row.renewal_number,
        confirmed: row.confirmed_renewal,
        member_set: row.member_set_version,
    }
}

/// Clears the silence of all hosts if at least half of them seem silent.
///
/// In that case, the likely fault is in the store or the connection to it.
fn clear_widespread_silence(hosts: &mut [PeerHost]) {
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
