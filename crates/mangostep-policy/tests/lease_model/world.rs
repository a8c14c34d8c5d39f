//! One run of the model: hosts, the table, messages and faults.

use std::collections::BTreeMap;

use {
    mangostep_policy::{LeaseTimes, MonotonicTime},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

use crate::{
    faults::{Endpoint, Links, draw_delay},
    process::Process,
    run::{Message, RunResult, RunSettings},
    table::{Operation, Table},
};

pub(crate) const TICKS_PER_SECOND: u64 = 10;

/// Exclusive upper bound of a message's delay.
pub(crate) const DELAY_MAX_SECONDS: u64 = 15;

#[derive(Debug)]
pub(crate) struct World {
    settings: RunSettings,
    times: LeaseTimes,
    rng: StdRng,
    links: Links,
    table: Table,
    processes: Vec<Process>,
    /// By host, the index of its current process.
    current: Vec<Option<usize>>,
    messages: BTreeMap<u64, Vec<Message>>,
    result: RunResult,
}

pub(crate) fn host_name(host: usize) -> String {
    format!("h{host}")
}

/// Tick at which the store becomes unreachable in a run without random
/// faults.
const OUTAGE_TICK: u64 = 300;

/// Range of the length of a process's pause, in ticks.
const PAUSE_TICKS: std::ops::Range<u64> = 10..400;

impl World {
    pub(crate) fn new(settings: RunSettings) -> Self {
        let all = settings.hosts + settings.spares;
        let mut world = World {
            rng: StdRng::seed_from_u64(settings.seed),
            times: LeaseTimes::default(),
            links: Links::default(),
            table: Table::new(all),
            processes: Vec::new(),
            current: vec![None; all],
            messages: BTreeMap::new(),
            result: RunResult::default(),
            settings,
        };
        for host in 0..world.settings.hosts {
            world.start(host, 0);
        }
        world
    }

    pub(crate) fn run(mut self) -> RunResult {
        for tick in 0..self.settings.ticks {
            self.draw_faults(tick);
            self.deliver(tick);
            for process in 0..self.processes.len() {
                self.step(process, tick);
            }
            self.check_holders(tick);
            if self.result.overlap.is_some() {
                break;
            }
        }
        self.result.takeovers = self.table.holder.epoch.saturating_sub(1);
        let members = self.table.members.as_ref();
        self.result.member_changes = members.map_or(0, |set| set.version() - 1);
        self.result
    }

    fn start(&mut self, host: usize, tick: u64) {
        let rate = 1.0 + self.rng.random_range(-0.01..0.01);
        let offset_us = self.rng.random_range(0.0..1e9);
        let incarnation = self.processes.len() as u64 + 1;
        let process = Process::new(
            host,
            incarnation,
            &self.settings.rules,
            &self.times,
            rate,
            offset_us,
            tick,
        );
        self.current[host] = Some(self.processes.len());
        self.processes.push(process);
    }

    fn draw_faults(&mut self, tick: u64) {
        let all = self.current.len();
        if !self.settings.faults {
            if tick == OUTAGE_TICK {
                for host in 0..all {
                    self.links
                        .take_down(Endpoint::Host(host), Endpoint::Store, u64::MAX);
                    self.links
                        .take_down(Endpoint::Store, Endpoint::Host(host), u64::MAX);
                }
            }
            return;
        }
        self.links.draw(&mut self.rng, all, tick);
        if self.rng.random_bool(0.006) {
            let host = self.rng.random_range(0..all);
            let until = tick + self.rng.random_range(PAUSE_TICKS);
            if let Some(process) = self.current[host] {
                self.processes[process].paused_until = until;
            }
        }
        if self.rng.random_bool(0.004) {
            let host = self.rng.random_range(0..all);
            self.replace_process(host, tick);
        }
    }

    /// Starts, restarts or gracefully stops the process of a host.
    fn replace_process(&mut self, host: usize, tick: u64) {
        if let Some(process) = self.current[host] {
            let old = &mut self.processes[process];
            old.is_alive = false;
            if self.rng.random_bool(0.3) {
                let leave = Operation::Leave {
                    host,
                    incarnation: old.incarnation,
                };
                self.current[host] = None;
                self.table.run(host, &leave);
                return;
            }
        }
        self.start(host, tick);
    }

    fn send(&mut self, due: u64, message: Message) {
        self.messages.entry(due).or_default().push(message);
    }

    fn call_store(&mut self, process: usize, tick: u64, operation: Operation) {
        let sender = &self.processes[process];
        let sent = sender.now(tick);
        if !self
            .links
            .is_up(Endpoint::Host(sender.host), Endpoint::Store, tick)
        {
            return;
        }
        let due = tick + draw_delay(&mut self.rng);
        self.send(
            due,
            Message::ToStore {
                process,
                operation,
                sent,
            },
        );
    }

    fn deliver(&mut self, tick: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if *entry.key() > tick {
                return;
            }
            for message in entry.remove() {
                self.deliver_one(tick, message);
            }
        }
    }

    fn deliver_one(&mut self, tick: u64, message: Message) {
        match message {
            Message::ToStore {
                process,
                operation,
                sent,
            } => self.run_at_store(tick, process, operation, sent),
            Message::FromStore { process, .. } | Message::Vouch { process, .. }
                if self.processes[process].paused_until > tick =>
            {
                let due = self.processes[process].paused_until;
                self.send(due, message);
            }
            Message::FromStore {
                process,
                operation,
                sent,
                was_written,
                table,
            } => self.handle_store_response(tick, process, operation, sent, was_written, &table),
            Message::VouchRequest {
                process,
                member,
                sent,
            } => self.handle_vouch_request(tick, process, member, sent),
            Message::Vouch {
                process,
                member,
                sent,
            } => {
                let requester = &mut self.processes[process];
                let now = requester.now(tick);
                requester.lease.record_vouch(now, &host_name(member), sent);
            }
        }
    }

    fn run_at_store(
        &mut self,
        tick: u64,
        process: usize,
        operation: Operation,
        sent: MonotonicTime,
    ) {
        let host = self.processes[process].host;
        let was_written = self.table.run(host, &operation);
        let is_lost = was_written && self.links.loses_response(host, tick);
        if is_lost
            || !self
                .links
                .is_up(Endpoint::Store, Endpoint::Host(host), tick)
        {
            return;
        }
        let due = tick + draw_delay(&mut self.rng);
        let table = Box::new(self.table.clone());
        self.send(
            due,
            Message::FromStore {
                process,
                operation,
                sent,
                was_written,
                table,
            },
        );
    }

    fn handle_store_response(
        &mut self,
        tick: u64,
        process: usize,
        operation: Operation,
        sent: MonotonicTime,
        was_written: bool,
        table: &Table,
    ) {
        let receiver = &mut self.processes[process];
        if !receiver.is_alive {
            return;
        }
        let now = receiver.now(tick);
        match operation {
            Operation::Renew { record, .. } => {
                receiver.handle_renewal(now, record.number, was_written, table);
            }
            Operation::Read => {
                for write in receiver.handle_reading(sent, now, table) {
                    self.call_store(process, tick, write);
                }
            }
            Operation::TakeOver { .. }
            | Operation::WriteMembers { .. }
            | Operation::Leave { .. } => {}
        }
    }

    fn handle_vouch_request(
        &mut self,
        tick: u64,
        process: usize,
        member: usize,
        sent: MonotonicTime,
    ) {
        let Some(responding) = self.current[member] else {
            return;
        };
        let responder = &self.processes[responding];
        if responder.paused_until > tick {
            let due = responder.paused_until;
            self.send(
                due,
                Message::VouchRequest {
                    process,
                    member,
                    sent,
                },
            );
            return;
        }
        let can_vouch = responder.lease.can_vouch(responder.now(tick));
        let requester = self.processes[process].host;
        if can_vouch
            && self
                .links
                .is_up(Endpoint::Host(member), Endpoint::Host(requester), tick)
        {
            let due = tick + draw_delay(&mut self.rng);
            self.send(
                due,
                Message::Vouch {
                    process,
                    member,
                    sent,
                },
            );
        }
    }

    fn step(&mut self, process: usize, tick: u64) {
        let stepping = &mut self.processes[process];
        if !stepping.runs(tick) {
            return;
        }
        let now = stepping.now(tick);
        if let Some(renewal) = stepping.lease.begin_renewal(now) {
            let operation = stepping.renewal_operation(renewal);
            self.call_store(process, tick, operation);
        }
        let stepping = &mut self.processes[process];
        let name = host_name(stepping.host);
        stepping
            .lease
            .extend_by_vouching(now, &name, &stepping.members);
        if now >= stepping.next_read {
            stepping.next_read = now + self.times.reading_gap_min / 2;
            self.call_store(process, tick, Operation::Read);
        }
        let stepping = &mut self.processes[process];
        if now >= stepping.next_vouch_request && stepping.lease.is_in_doubt(now) {
            stepping.next_vouch_request = now + self.times.vouch_request_interval;
            self.request_vouches(process, tick, now);
        }
    }

    fn request_vouches(&mut self, process: usize, tick: u64, sent: MonotonicTime) {
        let own = self.processes[process].host;
        for member in 0..self.current.len() {
            let is_member = self.processes[process].members.contains(&host_name(member));
            let is_up = self
                .links
                .is_up(Endpoint::Host(own), Endpoint::Host(member), tick);
            if member == own || !is_member || !is_up {
                continue;
            }
            let due = tick + draw_delay(&mut self.rng);
            self.send(
                due,
                Message::VouchRequest {
                    process,
                    member,
                    sent,
                },
            );
        }
    }

    fn check_holders(&mut self, tick: u64) {
        let acting: Vec<(usize, u64)> = self
            .processes
            .iter()
            .filter(|process| process.acts(tick))
            .map(|process| (process.host, process.incarnation))
            .collect();
        self.result.served_ticks += u64::from(!acting.is_empty());
        let has_standing = |process: &&Process| {
            let now = process.now(tick);
            process.runs(tick) && process.lease.standing_end() > now
        };
        self.result.standing = self.processes.iter().filter(has_standing).count();
        if acting.len() > 1 {
            self.result.overlap = Some((tick, acting));
        }
    }
}
