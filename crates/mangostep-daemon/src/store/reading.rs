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

/// Time after which the row of a lapsed host that is not a member is removed.
const LAPSED_ROW_RETENTION: Duration = Duration::from_secs(600);

/// Pause after a failed reading.
const FAILED_READING_PAUSE: Duration = Duration::from_millis(300);

impl StoreDuty {
    /// Reads all host rows periodically, and updates the member set and the
    /// holders accordingly.
    pub(super) async fn read_rows(&self) {
        let times = &self.context.settings.lease;
        // The middle of the permitted range, far from both bounds.
        let pause = (times.reading_gap_min + times.reading_gap_max) / 2;
        loop {
            let started = self.context.clock.now();
            let result = self.read_and_plan().await;
            if let Err(err) = &result {
                slog::debug!(self.context.log, "rows not read"; "cause" => err.to_string());
            }
            let elapsed = self.context.clock.now().since(started);
            let wait = match result {
                Ok(()) => pause.saturating_sub(elapsed),
                Err(_) => FAILED_READING_PAUSE,
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
        let requested_at = context.clock.now();
        let answer = self.client.transact(&read).await?;
        let now = context.clock.now();
        let members = self.apply_members(answer.row(&keys::members(fleet)));
        let rows = parse_host_rows(&answer.rows, &keys::host_prefix(fleet));
        let is_accepted = {
            let mut view = self.view.borrow_mut();
            view.apply_index(answer.row(&keys::holder_index(fleet)));
            let is_accepted = view.apply_rows(requested_at, now, &rows);
            view.publish(context, now, &context.lease.members());
            is_accepted
        };
        let may_plan = is_accepted && context.lease.standing(now) == Standing::Held;
        match members {
            MembersRead::Absent if may_plan => self.plan_members(now, 0, None).await,
            MembersRead::Present(version, set) if may_plan => {
                self.plan_members(now, version, Some(&set)).await?;
                if set.members().is_empty() {
                    return Ok(());
                }
                self.plan_holders(now, &set).await?;
                self.remove_expired_rows(now, &set).await
            }
            _ => Ok(()),
        }
    }

    /// Creates, changes or settles the member set if the planner decides so.
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

    /// Removes the rows of hosts that lapsed long ago and are not members.
    ///
    /// A process that resumes after its row was removed can no longer renew
    /// its lease, and never holds a resource again.
    async fn remove_expired_rows(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
    ) -> Result<(), PlatformError> {
        let fleet = &self.context.settings.fleet;
        let expired = self
            .view
            .borrow()
            .expired_rows(now, members, LAPSED_ROW_RETENTION);
        for known in expired {
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
        // If the answer is lost, the next reading returns the member set.
        let answer = self.client.transact(&write).await?;
        self.apply_members(answer.row(&key));
        Ok(())
    }
}

fn parse_host_rows(rows: &[Row], prefix: &str) -> Vec<KnownRow> {
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
