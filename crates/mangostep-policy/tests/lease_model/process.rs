//! One process of a host, which decides by the real policy types.

use mangostep_policy::{
    HostLease, LeaseRecord, LeaseRules, LeaseTimes, LeaseWatch, MemberPlanner, MemberSet,
    MonotonicTime, Renewal, Standing,
};

use crate::{
    table::{Holder, Operation, Table},
    world::host_name,
};

/// Counted readings after which a holder moves its resource.
const READINGS_BETWEEN_MOVES: u64 = 30;

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
    pub(crate) is_alive: bool,
    pub(crate) paused_until: u64,
    /// Rate and reading at tick 0 of its clock.
    pub(crate) rate: f64,
    pub(crate) offset_us: f64,
    pub(crate) lease: HostLease,
    pub(crate) members: MemberSet,
    pub(crate) held_epoch: Option<u64>,
    pub(crate) next_read: MonotonicTime,
    pub(crate) next_ask: MonotonicTime,
    rules: LeaseRules,
    name: String,
    known_epoch: u64,
    /// Epoch under which it gave the resource away.
    given_epoch: Option<u64>,
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
            next_ask: started,
            rules: rules.clone(),
            name: host_name(host),
            known_epoch: 0,
            given_epoch: None,
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

    /// Whether it would act as the holder of the resource now.
    pub(crate) fn acts(&self, tick: u64) -> bool {
        self.runs(tick)
            && self.held_epoch.is_some()
            && self.lease.standing(self.now(tick)) != Standing::Lapsed
    }

    pub(crate) fn renewal(&self, renewal: Renewal) -> Operation {
        Operation::Renew {
            unchanged: self.own_version,
            record: LeaseRecord {
                host: self.name.clone(),
                incarnation: self.incarnation,
                number: renewal.number,
                confirmed: renewal.confirmed,
                member_set: self.members.version(),
            },
        }
    }

    /// Takes the answer to a renewal.
    pub(crate) fn take_renewal(
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
        self.learn(table);
        self.lease.confirm(now, number);
    }

    fn learn(&mut self, table: &Table) {
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
            let acts = is_own && self.given_epoch != Some(epoch);
            self.held_epoch = acts.then_some(epoch);
        }
    }

    /// Takes a reading of all rows; returns what it writes because of it.
    pub(crate) fn take_reading(
        &mut self,
        asked: MonotonicTime,
        now: MonotonicTime,
        table: &Table,
    ) -> Vec<Operation> {
        let records: Vec<LeaseRecord> = table
            .rows
            .iter()
            .flatten()
            .map(|row| row.record.clone())
            .collect();
        let counted = self.watch.add_reading(asked, now, &records);
        let mut writes = Vec::new();
        if !counted || self.lease.standing(now) != Standing::Held {
            return writes;
        }
        let present = table.members.as_ref();
        if let Some(set) = self.planner.plan(now, &self.watch, present, &[]) {
            writes.push(Operation::WriteMembers {
                unchanged: table.members_version,
                set,
            });
        }
        writes.extend(present.and_then(|members| self.take(now, members, table)));
        writes.extend(self.give(table));
        writes
    }

    /// Moves the resource to another host, now and then; the process stops
    /// acting before it writes, and writes again until it sees the change.
    fn give(&mut self, table: &Table) -> Option<Operation> {
        self.readings += 1;
        let old = &table.holder;
        let is_own = old.host == self.host && old.incarnation == self.incarnation;
        let is_due = self.readings.is_multiple_of(READINGS_BETWEEN_MOVES);
        if !is_own || !is_due && self.given_epoch != Some(old.epoch) {
            return None;
        }
        let others = table.rows.iter().enumerate();
        let mut others = others.filter(|(host, row)| *host != self.host && row.is_some());
        let (host, row) = others.next_back()?;
        self.given_epoch = Some(old.epoch);
        self.held_epoch = None;
        Some(Operation::Take {
            epoch: old.epoch,
            row: None,
            holder: Holder {
                host,
                incarnation: row.as_ref()?.record.incarnation,
                epoch: old.epoch + 1,
            },
        })
    }

    fn take(&self, now: MonotonicTime, members: &MemberSet, table: &Table) -> Option<Operation> {
        let old = &table.holder;
        let holder = Holder {
            host: self.host,
            incarnation: self.incarnation,
            epoch: old.epoch + 1,
        };
        if old.epoch == 0 {
            return Some(Operation::Take {
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
        Some(Operation::Take {
            epoch: old.epoch,
            row: row.filter(|_| self.rules.takeover_is_conditional),
            holder,
        })
    }
}

fn clock(rate: f64, offset_us: f64, tick: u64) -> MonotonicTime {
    MonotonicTime::from_micros((offset_us + tick as f64 * 100_000.0 * rate) as u64)
}
