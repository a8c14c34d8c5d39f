use {
    mangostep_platform::{Condition, HostRow, PlatformError, TableStore, Transaction, Write, keys},
    mangostep_policy::LiveHost,
};

use crate::{prelude::*, store::StoreDuty};

/// Pause between two attempts to release the row.
const LEAVE_RETRY_PAUSE: Duration = Duration::from_millis(100);

impl StoreDuty {
    /// Hands the host's resources to other hosts and removes its row.
    ///
    /// Retries until it succeeds or the process ends. Resources that remain
    /// are then taken over when the host's lease has lapsed.
    pub(super) async fn leave(&self) {
        loop {
            match self.try_leave().await {
                Ok(true) => break,
                Ok(false) => {}
                Err(err) => {
                    slog::debug!(self.context.log, "row not released"; "cause" => err.to_string());
                }
            }
            tokio::time::sleep(LEAVE_RETRY_PAUSE).await;
        }
        self.context.recorder.record("host-left", &[]);
    }

    async fn try_leave(&self) -> Result<bool, PlatformError> {
        let context = &self.context;
        let Some(stale) = self.read_stale_groups().await? else {
            return Ok(true);
        };
        if !stale.is_empty() {
            self.fetch_groups(&stale).await?;
        }
        for (group, change) in self.plan_moves(&self.successors()) {
            self.write_holders(&group, change).await?;
        }
        let own_name = &context.settings.host;
        let holds_any =
            self.view.borrow().entries().any(|(_, entry)| {
                entry.host == *own_name && entry.incarnation == context.incarnation
            });
        if holds_any {
            return Ok(false);
        }
        self.remove_row().await
    }

    /// Returns the live members other than this host.
    fn successors(&self) -> Vec<LiveHost> {
        let context = &self.context;
        let members = context.lease.members();
        let now = context.clock.now();
        let mut live = self.view.borrow().live_hosts(now, &members);
        live.retain(|host| host.name != context.settings.host);
        live
    }

    /// Reads the member set, the index of holders and the host's row, and
    /// returns the stale groups.
    ///
    /// Returns `None` if another process has taken the row.
    async fn read_stale_groups(&self) -> Result<Option<Vec<String>>, PlatformError> {
        let fleet = &self.context.settings.fleet;
        let host_key = keys::host(fleet, &self.context.settings.host);
        let read = Transaction {
            reads: vec![
                keys::holder_index(fleet),
                keys::members(fleet),
                host_key.clone(),
            ],
            ..Default::default()
        };
        let answer = self.client.transact(&read).await?;
        self.apply_members(answer.row(&keys::members(fleet)));
        let mut view = self.view.borrow_mut();
        view.apply_index(answer.row(&keys::holder_index(fleet)));
        // The last renewal may have been written even if its answer was lost.
        if let Some(row) = answer.row(&host_key) {
            let written = row.value.as_deref().map(HostRow::parse).transpose()?;
            if written.is_some_and(|row| row.incarnation != self.context.incarnation) {
                return Ok(None);
            }
            view.own_version = row.version;
        }
        Ok(Some(view.stale_groups()))
    }

    /// Removes the row, and the host from the member set; returns whether the
    /// removal was committed.
    async fn remove_row(&self) -> Result<bool, PlatformError> {
        let context = &self.context;
        let fleet = &context.settings.fleet;
        let own_name = context.settings.host.clone();
        let host_key = keys::host(fleet, &own_name);
        let members_key = keys::members(fleet);
        let members = context.lease.members();
        let (own_version, members_version) = {
            let view = self.view.borrow();
            (view.own_version, view.members_version)
        };
        let mut removal = Transaction {
            conditions: vec![Condition {
                key: host_key.clone(),
                version: own_version,
            }],
            writes: vec![Write {
                key: host_key,
                value: None,
            }],
            ..Default::default()
        };
        if members.contains(&own_name) {
            let next = members.with_changes(&[], &[own_name]);
            removal.conditions.push(Condition {
                key: members_key.clone(),
                version: members_version,
            });
            removal.writes.push(Write {
                key: members_key,
                value: serde_json::to_string(&next).ok(),
            });
        }
        // If the answer is lost, the next attempt reads the outcome from the
        // row.
        Ok(self.client.transact(&removal).await?.committed)
    }
}
