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

/// How long another host must be the better holder before a resource moves.
const MOVE_AFTER: Duration = Duration::from_secs(6);

/// A change of who holds what, by group.
#[derive(Debug, Default)]
pub(super) struct HolderChange {
    /// New entries by resource.
    entries: BTreeMap<String, HolderEntry>,
    /// Versions of lapsed holders' rows, which must not have changed.
    unchanged: BTreeMap<String, u64>,
    /// Resources taken over from lapsed holders.
    taken: usize,
}

/// Why a resource may be given to somebody now.
#[derive(Debug)]
enum Vacancy {
    /// Nobody holds it.
    Free,
    /// Its holder's process has lapsed and has no row any more.
    Gone,
    /// Its holder has lapsed, if this version of its row is unchanged.
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
    /// Gives what nobody holds to live hosts, takes over from lapsed ones,
    /// and moves own resources to hosts that should hold them.
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
        let changes = self.vacancies(now, members, &live, &resources);
        for (group, change) in changes {
            self.write_holders(&group, change).await?;
        }
        let moves = self.due_moves(now, &live);
        for (group, change) in moves {
            self.write_holders(&group, change).await?;
        }
        Ok(())
    }

    /// All resources that the configuration asks for.
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

    /// Resources to be given to somebody now, by this host.
    ///
    /// Hosts act in an order, so that they do not all write at once: each
    /// waits as many longest gaps as there are live hosts before it.
    fn vacancies(
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
                change.unchanged.insert(key, version);
            }
            change.taken += usize::from(!matches!(vacancy, Vacancy::Free));
        }
        if changes.is_empty() {
            view.vacant_since = None;
            return changes;
        }
        let since = *view.vacant_since.get_or_insert(now);
        let names = live.iter().map(|host| host.name.as_str());
        let order = rendezvous_order("holder-planning", names);
        let own = &self.context.settings.host;
        let rank = order.iter().position(|name| name == own);
        let rank = u32::try_from(rank.unwrap_or(order.len())).unwrap_or(u32::MAX);
        let patience = self.context.settings.lease.reading_gap_max * rank;
        if now.since(since) < patience {
            changes.clear();
        }
        changes
    }

    /// Own resources that other hosts should hold, once that was so for long.
    fn due_moves(&self, now: MonotonicTime, live: &[LiveHost]) -> BTreeMap<String, HolderChange> {
        let changes = self.moves(live);
        let mut view = self.view.borrow_mut();
        if changes.is_empty() {
            view.moves = None;
            return changes;
        }
        let since = match &view.moves {
            Some((since, known)) if known == live => *since,
            _ => {
                view.moves = Some((now, live.to_vec()));
                now
            }
        };
        drop(view);
        if now.since(since) < MOVE_AFTER {
            return self.given_again(changes);
        }
        changes
    }

    /// Keeps the moves that were begun before but not written.
    fn given_again(
        &self,
        mut changes: BTreeMap<String, HolderChange>,
    ) -> BTreeMap<String, HolderChange> {
        for change in changes.values_mut() {
            change.entries.retain(|resource, entry| {
                let held_under = entry.epoch.saturating_sub(1);
                self.context.lease.is_given(resource, held_under)
            });
        }
        changes.retain(|_, change| !change.entries.is_empty());
        changes
    }

    /// Own resources that one of the live hosts should rather hold.
    pub(super) fn moves(&self, live: &[LiveHost]) -> BTreeMap<String, HolderChange> {
        let planner = HolderPlanner::new(live);
        let own = &self.context.settings.host;
        let view = self.view.borrow();
        let mut changes: BTreeMap<String, HolderChange> = BTreeMap::new();
        for (resource, entry) in view.entries() {
            let is_own = entry.host == *own && entry.incarnation == self.context.incarnation;
            if !is_own {
                continue;
            }
            let better = planner.holder(resource);
            let is_given = self.context.lease.is_given(resource, entry.epoch);
            if better.is_some_and(|host| host.name == *own) && !is_given {
                continue;
            }
            let change = changes.entry(holder_group(resource)).or_default();
            change.set(resource, entry.epoch + 1, better);
        }
        changes
    }

    /// Writes a change of holders; own resources in it are given up first.
    pub(super) async fn write_holders(
        &self,
        group: &str,
        change: HolderChange,
    ) -> Result<(), PlatformError> {
        let context = &self.context;
        self.give_up(&change);
        let transaction = self
            .view
            .borrow()
            .holder_transaction(context, group, &change);
        // A lost answer is settled by the next renewal, which reads the index.
        let answer = self.client.transact(&transaction).await?;
        let fleet = &context.settings.fleet;
        let mut view = self.view.borrow_mut();
        view.take_index(answer.row(&keys::holder_index(fleet)));
        if let Some(row) = answer.row(&keys::holders(fleet, group)) {
            view.take_group(group, row);
        }
        view.publish(context, context.clock.now(), &context.lease.members());
        drop(view);
        if answer.committed {
            self.record_change(group, &change);
        }
        Ok(())
    }

    /// Stops acting as holder before the change is written, so that no two
    /// hosts ever act at once.
    fn give_up(&self, change: &HolderChange) {
        let context = &self.context;
        let view = self.view.borrow();
        for resource in change.entries.keys() {
            let Some(entry) = view.entry(resource) else {
                continue;
            };
            let is_own =
                entry.host == context.settings.host && entry.incarnation == context.incarnation;
            if is_own {
                context.lease.give(resource, entry.epoch);
            }
        }
        view.publish(context, context.clock.now(), &context.lease.members());
    }

    fn record_change(&self, group: &str, change: &HolderChange) {
        let fields = [
            ("group", group.to_owned()),
            ("resources", change.entries.len().to_string()),
            ("taken", change.taken.to_string()),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, text.as_str()));
        let name = if change.taken > 0 {
            "takeover"
        } else {
            "holders-changed"
        };
        self.context.recorder.record(name, &fields);
    }
}

impl TableView {
    /// The entry of a resource, if anybody ever held it.
    pub(super) fn entry(&self, resource: &str) -> Option<&HolderEntry> {
        let known = self.groups.get(&holder_group(resource))?;
        known.group.holders.get(resource)
    }

    /// All entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&String, &HolderEntry)> {
        self.groups.values().flat_map(|known| &known.group.holders)
    }

    /// Tells whether a resource may be given to somebody now.
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
            // Somebody else may have changed it since the change was planned.
            if entry.epoch == epoch + 1 {
                next.holders.insert(resource.clone(), entry.clone());
            }
        }
        let mut index = self.index.clone();
        index.groups.insert(group.to_owned(), next.generation);
        let group_key = keys::holders(fleet, group);
        let index_key = keys::holder_index(fleet);
        let rows = change.unchanged.iter();
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
