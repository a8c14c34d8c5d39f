use {
    mangostep_platform::{
        Condition, HostRow, PlatformError, Row, TableStore, Transaction, Write, keys,
    },
    mangostep_policy::{MemberSet, Standing},
};

use crate::{
    prelude::*,
    store::{StoreDuty, renewal::MembersRead, table_view::KnownRow},
};

/// How long the row of a lapsed host that is no member is kept.
const LAPSED_ROW_KEPT: Duration = Duration::from_secs(600);

/// Pause after a reading that failed.
const READING_PAUSE: Duration = Duration::from_millis(300);

impl StoreDuty {
    /// Reads all host rows again and again, and plans by them.
    pub(super) async fn read_rows(&self) {
        let times = &self.context.settings.lease;
        // Readings keep well within both bounds of the gap.
        let pause = (times.reading_gap_min + times.reading_gap_max) / 2;
        loop {
            let started = self.context.clock.now();
            let result = self.read_and_plan().await;
            if let Err(err) = &result {
                slog::debug!(self.context.log, "rows not read"; "cause" => err.to_string());
            }
            let spent = self.context.clock.now().since(started);
            let wait = match result {
                Ok(()) => pause.saturating_sub(spent),
                Err(_) => READING_PAUSE,
            };
            tokio::time::sleep(wait).await;
        }
    }

    async fn read_and_plan(&self) -> Result<(), PlatformError> {
        let context = &self.context;
        let fleet = &context.settings.fleet;
        let read = Transaction {
            reads: vec![keys::members(fleet), keys::holder_index(fleet)],
            prefixes: vec![keys::host_prefix(fleet)],
            ..Default::default()
        };
        let asked = context.clock.now();
        let answer = self.client.transact(&read).await?;
        let now = context.clock.now();
        let members = self.take_members(answer.row(&keys::members(fleet)));
        let rows = host_rows(&answer.rows, &keys::host_prefix(fleet));
        let counted = {
            let mut view = self.view.borrow_mut();
            view.take_index(answer.row(&keys::holder_index(fleet)));
            let counted = view.take_rows(asked, now, &rows);
            view.publish(context, now, &context.lease.members());
            counted
        };
        let may_plan = counted && context.lease.standing(now) == Standing::Held;
        match members {
            MembersRead::Absent if may_plan => self.plan_members(now, 0, None).await,
            MembersRead::Present(version, set) if may_plan => {
                self.plan_members(now, version, Some(&set)).await?;
                if set.members().is_empty() {
                    return Ok(());
                }
                self.plan_holders(now, &set).await?;
                self.remove_dead_rows(now, &set).await
            }
            _ => Ok(()),
        }
    }

    /// Founds, changes or settles the member set when it is due.
    async fn plan_members(
        &self,
        now: MonotonicTime,
        version: u64,
        present: Option<&MemberSet>,
    ) -> Result<(), PlatformError> {
        let planned = {
            let view = &mut *self.view.borrow_mut();
            let leaving = view.leaving();
            view.member_planner
                .plan(now, &view.watch, present, &leaving)
        };
        match planned {
            Some(set) => self.write_members(version, &set).await,
            None => Ok(()),
        }
    }

    /// Removes rows of hosts that lapsed long ago and are no members.
    ///
    /// A process that wakes after that finds its row gone and never holds
    /// anything again.
    async fn remove_dead_rows(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
    ) -> Result<(), PlatformError> {
        let fleet = &self.context.settings.fleet;
        let dead = self.view.borrow().dead_rows(now, members, LAPSED_ROW_KEPT);
        for known in dead {
            let key = keys::host(fleet, &known.row.host);
            let removal = Transaction {
                conditions: vec![Condition {
                    key: key.clone(),
                    version: known.version,
                }],
                writes: vec![Write { key, value: None }],
                ..Default::default()
            };
            self.client.transact(&removal).await?;
        }
        Ok(())
    }

    async fn write_members(&self, version: u64, set: &MemberSet) -> Result<(), PlatformError> {
        let key = keys::members(&self.context.settings.fleet);
        let write = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key: key.clone(),
                value: serde_json::to_string(set).ok(),
            }],
            reads: vec![key.clone()],
            ..Default::default()
        };
        // A lost answer is settled by the next reading.
        let answer = self.client.transact(&write).await?;
        self.take_members(answer.row(&key));
        Ok(())
    }
}

fn host_rows(rows: &[Row], prefix: &str) -> Vec<KnownRow> {
    let hosts = rows.iter().filter(|row| row.key.starts_with(prefix));
    let parsed = hosts.filter_map(|row| {
        let host = HostRow::parse(row.value.as_deref()?).ok()?;
        Some(KnownRow {
            version: row.version,
            row: host,
        })
    });
    parsed.collect()
}
