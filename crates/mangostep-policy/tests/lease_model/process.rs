//! A host process that makes its decisions with the real policy types.

use mangostep_policy::{
    HostLease, LeaseRecord, LeaseRules, LeaseTimes, LeaseWatch, MemberPlanner, MemberSet,
    MonotonicTime, Renewal, Standing,
};

use crate::{
    table::{Holder, Operation, Table},
    world::host_name,
};

/// Number of readings that count after which a holder hands its resource
/// over to another host.
const READINGS_BETWEEN_HANDOVERS: u64 = 30;

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
    pub(crate) is_alive: bool,
    pub(crate) paused_until: u64,
    /// Rate of the process's clock, and its reading at tick 0.
    pub(crate) rate: f64,
    pub(crate) offset_us: f64,
    pub(crate) lease: HostLease,
    pub(crate) members: MemberSet,
    pub(crate) held_epoch: Option<u64>,
    pub(crate) next_read: MonotonicTime,
    pub(crate) next_vouch_request: MonotonicTime,
    rules: LeaseRules,
    name: String,
    known_epoch: u64,
    /// Epoch in which the process handed the resource over.
    handed_over_epoch: Option<u64>,
    readings: u64,
    own_version: u64,
    has_written: bool,
    watch: LeaseWatch,
    planner: MemberPlanner,
}

impl Process {
    pub(crate) fn new(
        host: usize,
        incarnation: u64,
        rules: &LeaseRules,
        times: &LeaseTimes,
        rate: f64,
        offset_us: f64,
        tick: u64,
    ) -> Self {
        let started = clock(rate, offset_us, tick);
        Process {
            host,
            incarnation,
            is_alive: true,
            paused_until: 0,
            rate,
            offset_us,
            lease: HostLease::with_rules(times.clone(), rules.clone(), started),
            members: MemberSet::default(),
            held_epoch: None,
            next_read: started,
            next_vouch_request: started,
            rules: rules.clone(),
            name: host_name(host),
            known_epoch: 0,
            handed_over_epoch: None,
            readings: 0,
            own_version: 0,
            has_written: false,
            watch: LeaseWatch::with_rules(times.clone(), rules.clone()),
            planner: MemberPlanner::default(),
        }
    }

    pub(crate) fn now(&self, tick: u64) -> MonotonicTime {
        clock(self.rate, self.offset_us, tick)
    }

    pub(crate) fn runs(&self, tick: u64) -> bool {
        self.is_alive && self.paused_until <= tick
    }

    /// Whether the process would act as the holder of the resource now.
    pub(crate) fn acts(&self, tick: u64) -> bool {
        self.runs(tick)
            && self.held_epoch.is_some()
            && self.lease.standing(self.now(tick)) != Standing::Lapsed
    }

    pub(crate) fn renewal_operation(&self, renewal: Renewal) -> Operation {
        Operation::Renew {
            expected_version: self.own_version,
            record: LeaseRecord {
                host: self.name.clone(),
                incarnation: self.incarnation,
                number: renewal.number,
                confirmed: renewal.confirmed,
                member_set: self.members.version(),
            },
        }
    }

    /// Handles the response to a renewal.
    pub(crate) fn handle_renewal(
        &mut self,
        now: MonotonicTime,
        number: u64,
        was_written: bool,
        table: &Table,
    ) {
        let row = table.rows[self.host].as_ref();
        if !was_written {
            let is_own = row.is_some_and(|row| row.record.incarnation == self.incarnation);
            if is_own || !self.has_written {
                self.own_version = table.version(self.host);
                self.has_written |= is_own;
                self.lease.abandon(number);
                self.lease.make_renewal_due(now);
            } else {
                self.lease.end();
            }
            return;
        }
        self.own_version = self.own_version.max(table.version(self.host));
        self.has_written = true;
        self.learn_table(table);
        self.lease.confirm(now, number);
    }

    fn learn_table(&mut self, table: &Table) {
        let members = table.members.as_ref();
        let members = members.filter(|set| set.version() >= self.members.version());
        if let Some(members) = members {
            self.members = members.clone();
        }
        if table.holder.epoch >= self.known_epoch {
            self.known_epoch = table.holder.epoch;
            let is_own = table.holder
                == Holder {
                    host: self.host,
                    incarnation: self.incarnation,
                    epoch: table.holder.epoch,
                };
            let epoch = table.holder.epoch;
            let acts = is_own && self.handed_over_epoch != Some(epoch);
            self.held_epoch = acts.then_some(epoch);
        }
    }

    /// Handles a reading of all rows and returns the resulting writes.
    pub(crate) fn handle_reading(
        &mut self,
        sent: MonotonicTime,
        now: MonotonicTime,
        table: &Table,
    ) -> Vec<Operation> {
        let records: Vec<LeaseRecord> = table
            .rows
            .iter()
            .flatten()
            .map(|row| row.record.clone())
            .collect();
        let is_counted = self.watch.add_reading(sent, now, &records);
        let mut writes = Vec::new();
        if !is_counted || self.lease.standing(now) != Standing::Held {
            return writes;
        }
        let current = table.members.as_ref();
        if let Some(set) = self.planner.plan(now, &self.watch, current, &[]) {
            writes.push(Operation::WriteMembers {
                expected_version: table.members_version,
                set,
            });
        }
        writes.extend(current.and_then(|members| self.take_over(now, members, table)));
        writes.extend(self.hand_over(table));
        writes
    }

    /// Hands the resource over to another host from time to time.
    ///
    /// The process stops acting as holder before it writes the change, and
    /// repeats the write until it reads the change.
    fn hand_over(&mut self, table: &Table) -> Option<Operation> {
        self.readings += 1;
        let old = &table.holder;
        let is_own = old.host == self.host && old.incarnation == self.incarnation;
        let is_due = self.readings.is_multiple_of(READINGS_BETWEEN_HANDOVERS);
        if !is_own || !is_due && self.handed_over_epoch != Some(old.epoch) {
            return None;
        }
        let others = table.rows.iter().enumerate();
        let mut others = others.filter(|(host, row)| *host != self.host && row.is_some());
        let (host, row) = others.next_back()?;
        self.handed_over_epoch = Some(old.epoch);
        self.held_epoch = None;
        Some(Operation::TakeOver {
            epoch: old.epoch,
            row: None,
            holder: Holder {
                host,
                incarnation: row.as_ref()?.record.incarnation,
                epoch: old.epoch + 1,
            },
        })
    }

    fn take_over(
        &self,
        now: MonotonicTime,
        members: &MemberSet,
        table: &Table,
    ) -> Option<Operation> {
        let old = &table.holder;
        let holder = Holder {
            host: self.host,
            incarnation: self.incarnation,
            epoch: old.epoch + 1,
        };
        if old.epoch == 0 {
            return Some(Operation::TakeOver {
                epoch: 0,
                row: None,
                holder,
            });
        }
        let is_own = old.host == self.host && old.incarnation == self.incarnation;
        let old_name = host_name(old.host);
        if is_own
            || !self
                .watch
                .has_lapsed(now, &old_name, old.incarnation, members)
        {
            return None;
        }
        let row = table.rows[old.host].as_ref();
        let row = row.filter(|row| row.record.incarnation == old.incarnation);
        let row = row.map(|row| (old.host, row.version));
        Some(Operation::TakeOver {
            epoch: old.epoch,
            row: row.filter(|_| self.rules.takeover_is_conditional),
            holder,
        })
    }
}

fn clock(rate: f64, offset_us: f64, tick: u64) -> MonotonicTime {
    MonotonicTime::from_micros((offset_us + tick as f64 * 100_000.0 * rate) as u64)
}
