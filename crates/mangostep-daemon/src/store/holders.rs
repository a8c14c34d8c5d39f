use std::collections::BTreeMap;

use {
    mangostep_platform::{
        Condition, HolderEntry, PlatformError, TableStore, Transaction, Write, holder_group, keys,
    },
    mangostep_policy::{
        HOMES_PER_SHARD, HolderPlanner, LiveHost, MemberSet, SHARD_COUNT, cell_name,
        rendezvous_order, shard_name,
    },
};

use crate::{
    prelude::*,
    store::{StoreDuty, table_view::TableView},
};

/// Time for which another host must be the preferred holder before a resource
/// is moved to it.
const MOVE_DELAY: Duration = Duration::from_secs(6);

/// New holders of resources of one group.
#[derive(Debug, Default)]
pub(super) struct HolderChange {
    /// New entries by resource.
    entries: BTreeMap<String, HolderEntry>,
    /// Versions of the rows of lapsed holders, by row key; the change is only
    /// written if the rows still have them.
    expected_versions: BTreeMap<String, u64>,
    /// Number of resources in it that are taken over from lapsed holders.
    takeover_count: usize,
}

/// Reason why a resource may be assigned to a new holder.
#[derive(Debug)]
enum Vacancy {
    /// No host holds it.
    Free,
    /// The lease of its holder's process has lapsed, and its row was removed
    /// or replaced.
    Gone,
    /// The lease of its holder has lapsed, provided that the holder's row
    /// still has this version.
    Lapsed(u64),
}

impl HolderChange {
    fn set(&mut self, resource: &str, epoch: u64, host: Option<&LiveHost>) {
        let entry = HolderEntry {
            host: host.map(|host| host.name.clone()).unwrap_or_default(),
            incarnation: host.map_or(0, |host| host.incarnation),
            epoch,
        };
        self.entries.insert(resource.to_owned(), entry);
    }
}

impl StoreDuty {
    /// Assigns vacant resources and those of lapsed holders to live hosts, and
    /// moves resources of this host to their preferred holders.
    pub(super) async fn plan_holders(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
    ) -> Result<(), PlatformError> {
        let stale = self.view.borrow().stale_groups();
        if !stale.is_empty() {
            self.fetch_groups(&stale).await?;
        }
        let live = self.view.borrow().live_hosts(now, members);
        if live.is_empty() {
            return Ok(());
        }
        let resources = self.resources();
        let changes = self.plan_assignments(now, members, &live, &resources);
        for (group, change) in changes {
            self.write_holders(&group, change).await?;
        }
        let due_moves = self.due_moves(now, &live);
        for (group, change) in due_moves {
            self.write_holders(&group, change).await?;
        }
        Ok(())
    }

    /// Returns the names of all homes, and of the cells that the configuration
    /// defines.
    fn resources(&self) -> Vec<String> {
        let snapshot = self.context.snapshot.load();
        let shards = (0..SHARD_COUNT)
            .flat_map(|shard| (0..HOMES_PER_SHARD).map(move |k| shard_name(shard, k)));
        let mut resources: Vec<String> = shards.collect();
        for service in snapshot.services() {
            let cells = service.zones.iter();
            resources.extend(cells.map(|zone| cell_name(&service.name, zone)));
        }
        resources
    }

    /// Returns the vacant resources with their new holders, if it is this
    /// host's turn to assign them.
    ///
    /// Hosts take turns so that they do not all write at once: each waits one
    /// maximum reading gap for each live host before it in the order.
    fn plan_assignments(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
        live: &[LiveHost],
        resources: &[String],
    ) -> BTreeMap<String, HolderChange> {
        let planner = HolderPlanner::new(live);
        let mut view = self.view.borrow_mut();
        let mut changes: BTreeMap<String, HolderChange> = BTreeMap::new();
        for resource in resources {
            let group = holder_group(resource);
            let entry = view.entry(resource).cloned().unwrap_or_default();
            let Some(vacancy) = view.vacancy(now, members, &entry) else {
                continue;
            };
            let change = changes.entry(group).or_default();
            change.set(resource, entry.epoch + 1, planner.holder(resource));
            if let Vacancy::Lapsed(version) = vacancy {
                let key = keys::host(&self.context.settings.fleet, &entry.host);
                change.expected_versions.insert(key, version);
            }
            change.takeover_count += usize::from(!matches!(vacancy, Vacancy::Free));
        }
        if changes.is_empty() {
            view.vacant_since = None;
            return changes;
        }
        let since = *view.vacant_since.get_or_insert(now);
        let names = live.iter().map(|host| host.name.as_str());
        let order = rendezvous_order("holder-planning", names);
        let own_name = &self.context.settings.host;
        let rank = order.iter().position(|name| name == own_name);
        let rank = u32::try_from(rank.unwrap_or(order.len())).unwrap_or(u32::MAX);
        let turn_delay = self.context.settings.lease.reading_gap_max * rank;
        if now.since(since) < turn_delay {
            changes.clear();
        }
        changes
    }

    /// Returns the moves of this host's resources that have been due for
    /// [`MOVE_DELAY`] with the same live hosts, or were started before.
    fn due_moves(&self, now: MonotonicTime, live: &[LiveHost]) -> BTreeMap<String, HolderChange> {
        let changes = self.plan_moves(live);
        let mut view = self.view.borrow_mut();
        if changes.is_empty() {
            view.pending_moves = None;
            return changes;
        }
        let since = match &view.pending_moves {
            Some((since, known)) if known == live => *since,
            _ => {
                view.pending_moves = Some((now, live.to_vec()));
                now
            }
        };
        drop(view);
        if now.since(since) < MOVE_DELAY {
            return self.retain_started_moves(changes);
        }
        changes
    }

    /// Retains the moves whose resources this host has released, but whose
    /// change was not written.
    fn retain_started_moves(
        &self,
        mut changes: BTreeMap<String, HolderChange>,
    ) -> BTreeMap<String, HolderChange> {
        for change in changes.values_mut() {
            change.entries.retain(|resource, entry| {
                let held_epoch = entry.epoch.saturating_sub(1);
                self.context.lease.is_released(resource, held_epoch)
            });
        }
        changes.retain(|_, change| !change.entries.is_empty());
        changes
    }

    /// Returns the moves of this host's resources to their preferred holders
    /// among the live hosts.
    ///
    /// A released resource is included even if this host is preferred
    /// again.
    pub(super) fn plan_moves(&self, live: &[LiveHost]) -> BTreeMap<String, HolderChange> {
        let planner = HolderPlanner::new(live);
        let own_name = &self.context.settings.host;
        let view = self.view.borrow();
        let mut changes: BTreeMap<String, HolderChange> = BTreeMap::new();
        for (resource, entry) in view.entries() {
            let is_own = entry.host == *own_name && entry.incarnation == self.context.incarnation;
            if !is_own {
                continue;
            }
            let preferred = planner.holder(resource);
            let is_released = self.context.lease.is_released(resource, entry.epoch);
            if preferred.is_some_and(|host| host.name == *own_name) && !is_released {
                continue;
            }
            let change = changes.entry(holder_group(resource)).or_default();
            change.set(resource, entry.epoch + 1, preferred);
        }
        changes
    }

    /// Writes a change of holders, after releasing the resources in it
    /// that this host holds.
    pub(super) async fn write_holders(
        &self,
        group: &str,
        change: HolderChange,
    ) -> Result<(), PlatformError> {
        let context = &self.context;
        self.release_resources(&change);
        let transaction = self
            .view
            .borrow()
            .holder_transaction(context, group, &change);
        // If the answer is lost, the next renewal reads the outcome from the
        // index.
        let answer = self.client.transact(&transaction).await?;
        let fleet = &context.settings.fleet;
        let mut view = self.view.borrow_mut();
        view.apply_index(answer.row(&keys::holder_index(fleet)));
        if let Some(row) = answer.row(&keys::holders(fleet, group)) {
            view.apply_group(group, row);
        }
        view.publish(context, context.clock.now(), &context.lease.members());
        drop(view);
        if answer.committed {
            self.record_change(group, &change);
        }
        Ok(())
    }

    /// Stops acting as holder of the resources in a change.
    ///
    /// This precedes the write, so that two hosts never act as holder at once.
    fn release_resources(&self, change: &HolderChange) {
        let context = &self.context;
        let view = self.view.borrow();
        for resource in change.entries.keys() {
            let Some(entry) = view.entry(resource) else {
                continue;
            };
            let is_own =
                entry.host == context.settings.host && entry.incarnation == context.incarnation;
            if is_own {
                context.lease.record_release(resource, entry.epoch);
            }
        }
        view.publish(context, context.clock.now(), &context.lease.members());
    }

    fn record_change(&self, group: &str, change: &HolderChange) {
        let fields = [
            ("group", group.to_owned()),
            ("resources", change.entries.len().to_string()),
            ("taken", change.takeover_count.to_string()),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, text.as_str()));
        let name = if change.takeover_count > 0 {
            "takeover"
        } else {
            "holders-changed"
        };
        self.context.recorder.record(name, &fields);
    }
}

impl TableView {
    /// Returns the entry of a resource; `None` if it never had a holder.
    pub(super) fn entry(&self, resource: &str) -> Option<&HolderEntry> {
        let known = self.groups.get(&holder_group(resource))?;
        known.group.holders.get(resource)
    }

    /// Returns the entries of all groups, by resource.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&String, &HolderEntry)> {
        self.groups.values().flat_map(|known| &known.group.holders)
    }

    /// Returns why the resource of an entry may be assigned to a new holder;
    /// `None` if its holder may still act.
    fn vacancy(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
        entry: &HolderEntry,
    ) -> Option<Vacancy> {
        if entry.host.is_empty() {
            return Some(Vacancy::Free);
        }
        if !self
            .watch
            .has_lapsed(now, &entry.host, entry.incarnation, members)
        {
            return None;
        }
        let row = self.rows.get(&entry.host);
        let row = row.filter(|known| known.row.incarnation == entry.incarnation);
        Some(row.map_or(Vacancy::Gone, |known| Vacancy::Lapsed(known.version)))
    }

    fn holder_transaction(
        &self,
        context: &HostContext,
        group: &str,
        change: &HolderChange,
    ) -> Transaction {
        let fleet = &context.settings.fleet;
        let known = self.groups.get(group).cloned().unwrap_or_default();
        let mut next = known.group;
        next.generation += 1;
        for (resource, entry) in &change.entries {
            let epoch = next.holders.get(resource).map_or(0, |held| held.epoch);
            // Another host may have reassigned the resource since the change
            // was planned.
            if entry.epoch == epoch + 1 {
                next.holders.insert(resource.clone(), entry.clone());
            }
        }
        let mut index = self.index.clone();
        index.groups.insert(group.to_owned(), next.generation);
        let group_key = keys::holders(fleet, group);
        let index_key = keys::holder_index(fleet);
        let rows = change.expected_versions.iter();
        let mut conditions: Vec<Condition> = rows
            .map(|(key, version)| Condition {
                key: key.clone(),
                version: *version,
            })
            .collect();
        conditions.push(Condition {
            key: group_key.clone(),
            version: known.version,
        });
        conditions.push(Condition {
            key: index_key.clone(),
            version: self.index_version,
        });
        let writes = vec![
            Write {
                key: group_key.clone(),
                value: Some(next.to_text()),
            },
            Write {
                key: index_key.clone(),
                value: Some(index.to_text()),
            },
        ];
        Transaction {
            conditions,
            writes,
            reads: vec![group_key, index_key],
            prefixes: Vec::new(),
        }
    }
}
