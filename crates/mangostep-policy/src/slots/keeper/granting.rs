use std::{cmp::Reverse, time::Duration};

use crate::{
    MonotonicTime, ServerDetector,
    slots::{
        KeeperAction, KeeperRole, PermitRequest, SlotKeeper, SlotRefusal,
        keeper::{PermitState, ServerKey, Waiter},
        server_state::ServerState,
    },
};

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn admit(
        &mut self,
        now: MonotonicTime,
        request: PermitRequest,
        actions: &mut Vec<KeeperAction>,
    ) {
        match self.check_request(now, &request) {
            Ok(()) => {
                let time_left = request.time_left.min(self.settings.validity_max);
                let waiter = Waiter {
                    ticket: request.ticket,
                    deadline: now + time_left,
                    wait_until: now + time_left.min(self.settings.wait_max),
                    avoid: request.avoid,
                    source: request.source,
                };
                self.queue.push(&request.workspace, waiter);
            }
            Err((refusal, retry_after)) => actions.push(KeeperAction::Refuse {
                ticket: request.ticket,
                refusal,
                retry_after,
            }),
        }
    }

    pub(super) fn check_request(
        &mut self,
        now: MonotonicTime,
        request: &PermitRequest,
    ) -> Result<(), (SlotRefusal, Duration)> {
        if self.zone.is_out() {
            return Err((SlotRefusal::ZoneOut, Duration::ZERO));
        }
        let mut servers = self.servers.values();
        let may_use = |server: &ServerState| {
            let is_excluded = request.avoid.contains(&server.name);
            !is_excluded
                && !self
                    .detector
                    .is_path_failing(now, &server.name, &request.source)
        };
        if !servers.any(|server| self.slots(now, server) > 0 && may_use(server)) {
            return Err((SlotRefusal::NoServer, self.settings.wait_max));
        }
        let wait = self.expected_wait(now, &request.workspace);
        // A request that need not wait is granted whatever the average service
        // time is; otherwise the average could never fall again.
        let is_late =
            !wait.is_zero() && wait + self.service_time.unwrap_or_default() > request.time_left;
        if is_late || request.time_left.is_zero() {
            return Err((SlotRefusal::Late, wait));
        }
        if !request.is_retry {
            self.budget.deposit();
        } else if !self.budget.withdraw() {
            return Err((SlotRefusal::OverBudget, Duration::ZERO));
        }
        Ok(())
    }

    /// Estimated wait of a new request of a workspace for a slot.
    pub(super) fn expected_wait(&self, now: MonotonicTime, workspace: &str) -> Duration {
        let capacity = self.capacity(now);
        if self.used(now) as usize + self.queue.waiting() < capacity as usize {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(workspace) + 1;
        let service_time = self.service_time.unwrap_or_default();
        service_time.mul_f64(ahead as f64 / f64::from(capacity.max(1)))
    }

    /// Usable slots of the cell, reduced by the ramp of its zone.
    pub(super) fn capacity(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let slots: u32 = servers.map(|server| self.slots(now, server)).sum();
        let share = self.zone.share(now);
        (f64::from(slots) * share).ceil() as u32
    }

    /// Slots in use at the servers that count towards [`Self::capacity`].
    pub(super) fn used(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let usable = servers.filter(|server| server.is_usable(now));
        usable.map(|server| server.used).sum()
    }

    /// Slots of a server that this keeper may grant at `now`.
    pub(super) fn slots(&self, now: MonotonicTime, server: &ServerState) -> u32 {
        if !server.is_usable(now) {
            return 0;
        }
        match self.role {
            KeeperRole::HeldFrom(from) if now >= from => server.cold_start.slots(now),
            // The permits that another keeper granted at a cold server are
            // unknown here.
            _ if !server.cold_start.is_warm(now) => 0,
            _ => (server.cold_start.slots(now) / 2).max(1),
        }
    }

    /// Grants free slots until no slot is free or no waiting request can use
    /// one.
    pub(super) fn grant_waiting(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        while self.queue.waiting() > 0 && self.used(now) < self.capacity(now) {
            let free = self.free_servers(now);
            let detector = &self.detector;
            let choose = |waiter: &Waiter| {
                let may_use = |name: &String| {
                    let is_excluded = waiter.avoid.contains(name);
                    !is_excluded && !detector.is_path_failing(now, name, &waiter.source)
                };
                let mut servers = free.iter();
                servers.find(|(_, name)| may_use(name)).map(|(key, _)| *key)
            };
            let Some((workspace, waiter, server)) = self.queue.pop(choose) else {
                return;
            };
            self.grant(now, workspace, waiter, server, actions);
        }
    }

    /// Servers with a free slot, best first.
    pub(super) fn free_servers(&self, now: MonotonicTime) -> Vec<(ServerKey, String)> {
        let uses_weights = self.trusts_suspicions(now);
        let mut free: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                server.used < self.slots(now, server)
                    && !server.is_paused(now)
                    && (!uses_weights || !server.is_suspected() || server.has_credit())
            })
            .map(|(key, server)| {
                let utilization = f64::from(server.used + 1) / f64::from(self.slots(now, server));
                (utilization, server.last_grant, key, &server.name)
            })
            .collect();
        free.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        free.into_iter()
            .map(|(_, _, key, name)| (key, name.clone()))
            .collect()
    }

    /// Whether suspicions affect grants and ejections.
    ///
    /// If more than half of a cell's servers are suspected, the network path or
    /// the load is the likely cause, not the servers.
    pub(super) fn trusts_suspicions(&self, now: MonotonicTime) -> bool {
        let listed = self
            .servers
            .values()
            .filter(|s| s.is_listed && !s.is_leaving(now));
        let (total, suspected) = listed.fold((0, 0), |(total, suspected), server| {
            let is_suspected = server.is_suspected() || server.is_ejected(now);
            (total + 1, suspected + usize::from(is_suspected))
        });
        suspected * 2 <= total
    }

    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        workspace: String,
        waiter: Waiter,
        key: ServerKey,
        actions: &mut Vec<KeeperAction>,
    ) {
        let server_count = self.servers.len();
        self.servers
            .values_mut()
            .for_each(|server| server.accrue_credit(server_count));
        self.grants += 1;
        let server = &mut self.servers[key];
        server.last_grant = self.grants;
        server.spend_credit();
        server.set_used(now, server.used + 1);
        let end = waiter.deadline + self.settings.validity_margin;
        let permit = self.permits.insert(PermitState {
            server: key,
            workspace,
            granted: now,
            end,
        });
        self.permit_ends.push(Reverse((end, permit)));
        actions.push(KeeperAction::Grant {
            ticket: waiter.ticket,
            permit,
            server: server.name.clone(),
            valid: end.since(now),
        });
    }

    /// Refuses the waiting requests that can no longer be served in time.
    pub(super) fn refuse_late(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let service_time = self.service_time.unwrap_or_default();
        let refusal = if self.zone.is_out() {
            SlotRefusal::ZoneOut
        } else {
            SlotRefusal::Late
        };
        let is_out = self.zone.is_out();
        let expired = self.queue.extract_if(|waiter| {
            is_out || waiter.wait_until <= now || waiter.deadline < now + service_time
        });
        actions.extend(expired.into_iter().map(|waiter| KeeperAction::Refuse {
            ticket: waiter.ticket,
            refusal,
            retry_after: Duration::ZERO,
        }));
    }
}
