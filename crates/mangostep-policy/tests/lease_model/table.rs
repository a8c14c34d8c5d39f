//! The simulated table: host rows, the holder of one resource, and the member
//! set.

use mangostep_policy::{LeaseRecord, MemberSet};

/// A host's row and its version in the table.
#[derive(Clone, Debug)]
pub(crate) struct StoredHost {
    pub(crate) version: u64,
    pub(crate) record: LeaseRecord,
}

/// The process that holds the resource, and the epoch of its holding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
}

/// A transaction; the response carries a copy of the table.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Read,
    /// Writes a host's row if its version is `expected_version`, which is 0
    /// for an absent row.
    Renew {
        expected_version: u64,
        record: LeaseRecord,
    },
    /// Replaces the holder of `epoch` if the host row given by number and
    /// version is unchanged.
    TakeOver {
        epoch: u64,
        row: Option<(usize, u64)>,
        holder: Holder,
    },
    WriteMembers {
        expected_version: u64,
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

    /// Runs an operation and returns whether it changed the table.
    pub(crate) fn run(&mut self, host: usize, operation: &Operation) -> bool {
        match operation {
            Operation::Read => false,
            Operation::Renew {
                expected_version,
                record,
            } => self.renew(host, *expected_version, record),
            Operation::TakeOver { epoch, row, holder } => self.take_over(*epoch, *row, holder),
            Operation::WriteMembers {
                expected_version,
                set,
            } => {
                let is_current = self.members_version == *expected_version;
                if is_current {
                    self.set_members(set.clone());
                }
                is_current
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

    fn renew(&mut self, host: usize, expected_version: u64, record: &LeaseRecord) -> bool {
        if self.version(host) != expected_version {
            return false;
        }
        let version = self.next_version();
        self.rows[host] = Some(StoredHost {
            version,
            record: record.clone(),
        });
        true
    }

    fn take_over(&mut self, epoch: u64, row: Option<(usize, u64)>, holder: &Holder) -> bool {
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
