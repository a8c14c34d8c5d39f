use std::{cmp::Reverse, time::Duration};

use crate::{
    MonotonicTime, ServerDetector,
    slots::{
        KeeperAction, KeeperRole, PermitRequest, SlotKeeper, SlotRefusal,
        keeper::{OpenGrant, ServerKey, Waiter},
        server_state::ServerState,
    },
};

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn ask(
        &mut self,
        now: MonotonicTime,
        ask: PermitRequest,
        actions: &mut Vec<KeeperAction>,
    ) {
        match self.check_ask(now, &ask) {
            Ok(()) => {
                let left = ask.left.min(self.settings.validity_max);
                let waiter = Waiter {
                    ticket: ask.ticket,
                    deadline: now + left,
                    answer_by: now + left.min(self.settings.wait_max),
                    avoid: ask.avoid,
                    source: ask.source,
                };
                self.queue.push(&ask.workspace, waiter);
            }
            Err((refusal, retry_after)) => actions.push(KeeperAction::Refuse {
                ticket: ask.ticket,
                refusal,
                retry_after,
            }),
        }
    }

    pub(super) fn check_ask(
        &mut self,
        now: MonotonicTime,
        ask: &PermitRequest,
    ) -> Result<(), (SlotRefusal, Duration)> {
        if self.zone.is_out() {
            return Err((SlotRefusal::ZoneOut, Duration::ZERO));
        }
        let mut servers = self.servers.values();
        let may_use = |server: &ServerState| {
            let is_tried = ask.avoid.contains(&server.name);
            !is_tried
                && !self
                    .detector
                    .is_path_failing(now, &server.name, &ask.source)
        };
        if !servers.any(|server| self.slots(now, server) > 0 && may_use(server)) {
            return Err((SlotRefusal::NoServer, self.settings.wait_max));
        }
        let wait = self.expected_wait(now, &ask.workspace);
        // A request that need not wait runs however slow the others were, so
        // that the average service time can fall again.
        let is_late = !wait.is_zero() && wait + self.service_time.unwrap_or_default() > ask.left;
        if is_late || ask.left.is_zero() {
            return Err((SlotRefusal::Late, wait));
        }
        if !ask.is_retry {
            self.budget.earn();
        } else if !self.budget.take() {
            return Err((SlotRefusal::OverBudget, Duration::ZERO));
        }
        Ok(())
    }

    /// How long a new request of a workspace would wait for a slot.
    pub(super) fn expected_wait(&self, now: MonotonicTime, workspace: &str) -> Duration {
        let capacity = self.capacity(now);
        if self.used(now) as usize + self.queue.waiting() < capacity as usize {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(workspace) + 1;
        let service_time = self.service_time.unwrap_or_default();
        service_time.mul_f64(ahead as f64 / f64::from(capacity.max(1)))
    }

    /// The slots of the cell at `now`.
    pub(super) fn capacity(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let slots: u32 = servers.map(|server| self.slots(now, server)).sum();
        let share = self.zone.share(now);
        (f64::from(slots) * share).ceil() as u32
    }

    /// Requests at the servers that make up the capacity.
    pub(super) fn used(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let usable = servers.filter(|server| server.is_usable(now));
        usable.map(|server| server.used).sum()
    }

    /// The slots of a server that may be in use at `now`.
    pub(super) fn slots(&self, now: MonotonicTime, server: &ServerState) -> u32 {
        if !server.is_usable(now) {
            return 0;
        }
        match self.term {
            KeeperRole::HeldFrom(from) if now >= from => server.cold_start.slots(now),
            // What the other keeper granted to a cold server is unknown here.
            _ if !server.cold_start.is_warm(now) => 0,
            _ => (server.cold_start.slots(now) / 2).max(1),
        }
    }

    /// Grants free slots to waiting requests until one of both runs out.
    pub(super) fn grant_waiting(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        while self.queue.waiting() > 0 && self.used(now) < self.capacity(now) {
            let free = self.free_servers(now);
            let detector = &self.detector;
            let choose = |waiter: &Waiter| {
                let may_use = |name: &String| {
                    let is_tried = waiter.avoid.contains(name);
                    !is_tried && !detector.is_path_failing(now, name, &waiter.source)
                };
                let mut best = free.iter();
                best.find(|(_, name)| may_use(name)).map(|(key, _)| *key)
            };
            let Some((workspace, waiter, server)) = self.queue.pop(choose) else {
                return;
            };
            self.grant(now, workspace, waiter, server, actions);
        }
    }

    /// Servers with a free slot, best first.
    pub(super) fn free_servers(&self, now: MonotonicTime) -> Vec<(ServerKey, String)> {
        let heeds_weight = self.heeds_suspicion(now);
        let mut free: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                server.used < self.slots(now, server)
                    && !server.is_paused(now)
                    && (!heeds_weight || !server.is_suspect() || server.has_credit())
            })
            .map(|(key, server)| {
                let share = f64::from(server.used + 1) / f64::from(self.slots(now, server));
                (share, server.last_grant, key, &server.name)
            })
            .collect();
        free.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        free.into_iter()
            .map(|(_, _, key, name)| (key, name.clone()))
            .collect()
    }

    /// Whether suspicion counts: when most of a cell looks bad, the path or
    /// the load is at fault and not the servers.
    pub(super) fn heeds_suspicion(&self, now: MonotonicTime) -> bool {
        let listed = self
            .servers
            .values()
            .filter(|s| s.is_listed && !s.is_leaving(now));
        let (all, bad) = listed.fold((0, 0), |(all, bad), server| {
            let is_bad = server.is_suspect() || server.is_ejected(now);
            (all + 1, bad + usize::from(is_bad))
        });
        bad * 2 <= all
    }

    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        workspace: String,
        waiter: Waiter,
        key: ServerKey,
        actions: &mut Vec<KeeperAction>,
    ) {
        let count = self.servers.len();
        self.servers
            .values_mut()
            .for_each(|server| server.earn_credit(count));
        self.grants += 1;
        let server = &mut self.servers[key];
        server.last_grant = self.grants;
        server.spend_credit();
        server.set_used(now, server.used + 1);
        let end = waiter.deadline + self.settings.validity_margin;
        let permit = self.permits.insert(OpenGrant {
            server: key,
            workspace,
            granted: now,
            end,
        });
        self.ends.push(Reverse((end, permit)));
        actions.push(KeeperAction::Grant {
            ticket: waiter.ticket,
            permit,
            server: server.name.clone(),
            valid: end.since(now),
        });
    }

    pub(super) fn refuse_late(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let service_time = self.service_time.unwrap_or_default();
        let refusal = if self.zone.is_out() {
            SlotRefusal::ZoneOut
        } else {
            SlotRefusal::Late
        };
        let is_out = self.zone.is_out();
        let over = self.queue.take_if(|waiter| {
            is_out || waiter.answer_by <= now || waiter.deadline < now + service_time
        });
        actions.extend(over.into_iter().map(|waiter| KeeperAction::Refuse {
            ticket: waiter.ticket,
            refusal,
            retry_after: Duration::ZERO,
        }));
    }
}
