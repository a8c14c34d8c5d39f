//! The table service of a run: host rows, one resource, the member set.

use mangostep_policy::{LeaseRecord, MemberSet};

/// A host's row with its version.
#[derive(Clone, Debug)]
pub(crate) struct StoredHost {
    pub(crate) version: u64,
    pub(crate) record: LeaseRecord,
}

/// Who holds the resource.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
}

/// A transaction; its answer is a copy of the table.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Read,
    /// Writes a host's row if its version is as given, 0 for none.
    Renew {
        unchanged: u64,
        record: LeaseRecord,
    },
    /// Replaces the holder of an epoch if its row is unchanged.
    Take {
        epoch: u64,
        row: Option<(usize, u64)>,
        holder: Holder,
    },
    WriteMembers {
        unchanged: u64,
        set: MemberSet,
    },
    /// Removes a host's row and the host from the member set.
    Leave {
        host: usize,
        incarnation: u64,
    },
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub(crate) rows: Vec<Option<StoredHost>>,
    pub(crate) holder: Holder,
    pub(crate) members: Option<MemberSet>,
    pub(crate) members_version: u64,
    last_version: u64,
}

impl Table {
    pub(crate) fn new(hosts: usize) -> Self {
        Table {
            rows: vec![None; hosts],
            ..Default::default()
        }
    }

    /// Runs an operation; returns whether it was written.
    pub(crate) fn run(&mut self, host: usize, operation: &Operation) -> bool {
        match operation {
            Operation::Read => false,
            Operation::Renew { unchanged, record } => self.renew(host, *unchanged, record),
            Operation::Take { epoch, row, holder } => self.take(*epoch, *row, holder),
            Operation::WriteMembers { unchanged, set } => {
                let fits = self.members_version == *unchanged;
                if fits {
                    self.set_members(set.clone());
                }
                fits
            }
            Operation::Leave { host, incarnation } => self.leave(*host, *incarnation),
        }
    }

    pub(crate) fn version(&self, host: usize) -> u64 {
        self.rows[host].as_ref().map_or(0, |row| row.version)
    }

    fn next_version(&mut self) -> u64 {
        self.last_version += 1;
        self.last_version
    }

    fn set_members(&mut self, set: MemberSet) {
        self.members = Some(set);
        self.members_version = self.next_version();
    }

    fn renew(&mut self, host: usize, unchanged: u64, record: &LeaseRecord) -> bool {
        if self.version(host) != unchanged {
            return false;
        }
        let version = self.next_version();
        self.rows[host] = Some(StoredHost {
            version,
            record: record.clone(),
        });
        true
    }

    fn take(&mut self, epoch: u64, row: Option<(usize, u64)>, holder: &Holder) -> bool {
        let is_unchanged = row.is_none_or(|(host, version)| self.version(host) == version);
        if self.holder.epoch != epoch || !is_unchanged {
            return false;
        }
        self.holder = holder.clone();
        true
    }

    fn leave(&mut self, host: usize, incarnation: u64) -> bool {
        let row = self.rows[host].as_ref();
        if row.is_none_or(|row| row.record.incarnation != incarnation) {
            return false;
        }
        let name = row.map(|row| row.record.host.clone()).unwrap_or_default();
        self.rows[host] = None;
        if let Some(set) = self.members.take() {
            self.set_members(set.with_changes(&[], &[name]));
        }
        true
    }
}
