use std::sync::atomic::Ordering;

use {
    mangostep_platform::{
        Condition, HostRow, PlatformError, Row, TableStore, Transaction, TransactionResult, Write,
        keys,
    },
    mangostep_policy::{MemberSet, Renewal},
};

use crate::{prelude::*, store::StoreDuty};

/// Longest sleep of the loop, which bounds the delay of a hastened renewal.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Upper bound on the readings of holders for one renewal, by a host that has
/// lapsed.
const HOLDER_READS_MAX: u32 = 3;

/// Outcome of reading the row of the member set.
#[derive(Debug)]
pub(super) enum MembersRead {
    /// The fleet has no member set yet.
    Absent,
    /// The version of the row, and its member set.
    Present(u64, MemberSet),
    /// The row is missing, invalid, or older than one read before.
    Outdated,
}

impl StoreDuty {
    /// Renews the host's row periodically, one renewal at a time.
    pub(super) async fn renew_row(&self) {
        let context = &self.context;
        let mut has_announced_leaving = false;
        loop {
            let now = context.clock.now();
            let leaving = context.leaving.load(Ordering::Acquire);
            if leaving && !has_announced_leaving {
                has_announced_leaving = true;
                context.lease.make_renewal_due(now);
            }
            if let Some(renewal) = context.lease.begin_renewal(now) {
                if let Err(err) = self.renew(renewal).await {
                    slog::debug!(context.log, "row not renewed"; "cause" => err.to_string());
                }
                context.lease.abandon(renewal.number);
            }
            let wait = context.lease.next_renewal().since(context.clock.now());
            let shortest = Duration::from_millis(1);
            tokio::time::sleep(wait.clamp(shortest, RENEWAL_CHECK_INTERVAL)).await;
        }
    }

    async fn renew(&self, renewal: Renewal) -> Result<(), PlatformError> {
        let answer = self
            .client
            .transact(&self.renewal_transaction(renewal))
            .await?;
        let fleet = &self.context.settings.fleet;
        self.apply_head(renewal.sent, answer.row(&keys::head(fleet)));
        let own_key = keys::host(fleet, &self.context.settings.host);
        if !answer.committed {
            self.reconcile_own_row(answer.row(&own_key));
            return Ok(());
        }
        if let Some(row) = answer.row(&own_key) {
            let mut view = self.view.borrow_mut();
            view.own_version = row.version;
            view.has_written = true;
        }
        self.apply_members(answer.row(&keys::members(fleet)));
        let index = answer.row(&keys::holder_index(fleet));
        self.view.borrow_mut().apply_index(index);
        self.confirm(renewal).await
    }

    /// Confirms a renewal.
    ///
    /// A host that has lapsed must first read the groups of holders that have
    /// changed.
    async fn confirm(&self, renewal: Renewal) -> Result<(), PlatformError> {
        let context = &self.context;
        for _ in 0..HOLDER_READS_MAX {
            let stale = self.view.borrow().stale_groups();
            let confirmation = context
                .lease
                .confirm(context, renewal.number, stale.is_empty());
            if !stale.is_empty() {
                self.fetch_groups(&stale).await?;
            }
            if confirmation.is_some() {
                break;
            }
        }
        Ok(())
    }

    fn renewal_transaction(&self, renewal: Renewal) -> Transaction {
        let settings = &self.context.settings;
        let fleet = &settings.fleet;
        let own_key = keys::host(fleet, &settings.host);
        let unchanged = Condition {
            key: own_key.clone(),
            version: self.view.borrow().own_version,
        };
        let write = Write {
            key: own_key.clone(),
            value: Some(self.own_row(renewal).to_text()),
        };
        Transaction {
            conditions: vec![unchanged],
            writes: vec![write],
            reads: vec![
                own_key,
                keys::head(fleet),
                keys::members(fleet),
                keys::holder_index(fleet),
            ],
            prefixes: Vec::new(),
        }
    }

    fn own_row(&self, renewal: Renewal) -> HostRow {
        let context = &self.context;
        let settings = &context.settings;
        let addresses = context.addresses.get().copied();
        let addresses = addresses.expect("the loop starts once the addresses are known");
        HostRow {
            host: settings.host.clone(),
            incarnation: context.incarnation,
            zone: settings.zone.clone(),
            front: addresses.front,
            peer: addresses.peer,
            operator: addresses.operator,
            leaving: context.leaving.load(Ordering::Acquire),
            running: context.in_flight.load(Ordering::Acquire),
            version: context.snapshot.load().version(),
            renewal_number: renewal.number,
            confirmed_renewal: renewal.confirmed,
            member_set_version: context.lease.members().version(),
        }
    }

    /// Handles a renewal that was not committed, according to the row read.
    ///
    /// If an earlier write of this process took effect although its answer was
    /// lost, or the row existed when the process started, the next renewal
    /// uses the row's version. Otherwise another process has taken the row,
    /// and the lease ends.
    fn reconcile_own_row(&self, row: Option<&Row>) {
        let context = &self.context;
        let mut view = self.view.borrow_mut();
        let version = row.map_or(0, |row| row.version);
        let text = row.and_then(|row| row.value.as_deref());
        let written = text.and_then(|text| HostRow::parse(text).ok());
        let is_own = written.is_some_and(|row| row.incarnation == context.incarnation);
        if is_own || !view.has_written {
            view.own_version = version;
            view.has_written |= is_own;
            context.lease.make_renewal_due(context.clock.now());
            return;
        }
        slog::error!(context.log, "row taken by another process"; "host" => &context.settings.host);
        context.recorder.record("lease-replaced", &[]);
        context.lease.end(context);
    }

    /// Applies the member set in a row, unless a later row was read before.
    pub(super) fn apply_members(&self, row: Option<&Row>) -> MembersRead {
        let Some(row) = row else {
            return MembersRead::Outdated;
        };
        let mut view = self.view.borrow_mut();
        if row.version < view.members_version {
            return MembersRead::Outdated;
        }
        view.members_version = row.version;
        let Some(text) = row.value.as_deref() else {
            return MembersRead::Absent;
        };
        let Ok(members) = serde_json::from_str::<MemberSet>(text) else {
            slog::error!(self.context.log, "member set not understood"; "row" => text);
            return MembersRead::Outdated;
        };
        if self.context.lease.update_members(&members) {
            self.record_members(&members);
        }
        MembersRead::Present(row.version, members)
    }

    fn record_members(&self, members: &MemberSet) {
        let fields = [
            ("version", members.version().to_string()),
            ("members", members.members().len().to_string()),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, text.as_str()));
        self.context.recorder.record("member-set-changed", &fields);
    }

    /// Reads the given groups of holders and publishes the view.
    pub(super) async fn fetch_groups(&self, names: &[String]) -> Result<(), PlatformError> {
        let context = &self.context;
        let fleet = &context.settings.fleet;
        let read = Transaction {
            reads: names
                .iter()
                .map(|name| keys::holders(fleet, name))
                .collect(),
            ..Default::default()
        };
        let answer: TransactionResult = self.client.transact(&read).await?;
        let mut view = self.view.borrow_mut();
        for (name, key) in names.iter().zip(&read.reads) {
            if let Some(row) = answer.row(key) {
                view.apply_group(name, row);
            }
        }
        view.publish(context, context.clock.now(), &context.lease.members());
        Ok(())
    }
}
