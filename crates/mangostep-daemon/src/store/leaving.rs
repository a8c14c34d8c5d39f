use {
    mangostep_platform::{Condition, HostRow, PlatformError, TableStore, Transaction, Write, keys},
    mangostep_policy::LiveHost,
};

use crate::{prelude::*, store::StoreDuty};

/// Pause between two tries to release the row.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl StoreDuty {
    /// Gives all that the host holds to other hosts and removes its row.
    ///
    /// It tries until it succeeds or the process ends; what is left is taken
    /// over like that of a lapsed host.
    pub(super) async fn leave(&self) {
        loop {
            match self.try_leave().await {
                Ok(true) => break,
                Ok(false) => {}
                Err(err) => {
                    slog::debug!(self.context.log, "row not released"; "cause" => err.to_string());
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.context.recorder.record("host-left", &[]);
    }

    async fn try_leave(&self) -> Result<bool, PlatformError> {
        let context = &self.context;
        let Some(stale) = self.refreshed_stale_groups().await? else {
            return Ok(true);
        };
        if !stale.is_empty() {
            self.fetch_groups(&stale).await?;
        }
        for (group, change) in self.moves(&self.successors()) {
            self.write_holders(&group, change).await?;
        }
        let own = &context.settings.host;
        let holds_any = self
            .view
            .borrow()
            .entries()
            .any(|(_, entry)| entry.host == *own && entry.incarnation == context.incarnation);
        if holds_any {
            return Ok(false);
        }
        self.remove_row().await
    }

    /// The other live members.
    fn successors(&self) -> Vec<LiveHost> {
        let context = &self.context;
        let members = context.lease.members();
        let now = context.clock.now();
        let mut live = self.view.borrow().live_hosts(now, &members);
        live.retain(|host| host.name != context.settings.host);
        live
    }

    /// Reads what this host needs to leave; nothing when another process has
    /// its row.
    async fn refreshed_stale_groups(&self) -> Result<Option<Vec<String>>, PlatformError> {
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
        self.take_members(answer.row(&keys::members(fleet)));
        let mut view = self.view.borrow_mut();
        view.take_index(answer.row(&keys::holder_index(fleet)));
        // The last renewal may have been written although its answer was lost.
        if let Some(row) = answer.row(&host_key) {
            let written = row.value.as_deref().map(HostRow::parse).transpose()?;
            if written.is_some_and(|row| row.incarnation != self.context.incarnation) {
                return Ok(None);
            }
            view.own_version = row.version;
        }
        Ok(Some(view.stale_groups()))
    }

    /// Removes the row and takes the host out of the member set.
    async fn remove_row(&self) -> Result<bool, PlatformError> {
        let context = &self.context;
        let fleet = &context.settings.fleet;
        let own = context.settings.host.clone();
        let host_key = keys::host(fleet, &own);
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
        if members.contains(&own) {
            let next = members.with_changes(&[], &[own]);
            removal.conditions.push(Condition {
                key: members_key.clone(),
                version: members_version,
            });
            removal.writes.push(Write {
                key: members_key,
                value: serde_json::to_string(&next).ok(),
            });
        }
        // A lost answer is settled by the next try, which reads the row.
        Ok(self.client.transact(&removal).await?.committed)
    }
}
