use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use {
    mangostep_objects::{Service, ZoneState},
    slotmap::SlotMap,
};

use crate::{
    Machine, MonotonicTime, OutcomeKind, OutcomeSample, RetryBudget, ServerAction, ServerDetector,
    ServerVerdict, ZoneRamp,
    slots::{
        ColdStart, ColdStartSettings, FloorSettings, KeeperAction, KeeperEvent, ListedServer,
        PermitKey, ProbeResult, SlotAsk, SlotRefusal, SlotRelease, fair_queue::FairQueue,
        server_state::ServerState,
    },
};

slotmap::new_key_type! {
    struct ServerKey;
}

/// Time between two looks at waiting requests when nothing happens.
const WAIT_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Weight of a server whose ejection is not granted.
const UNGRANTED_WEIGHT: f64 = 0.1;

/// Share of a new sample in the average service time.
const SERVICE_TIME_SHARE: f64 = 0.05;

/// How the keeper of one cell decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperSettings {
    /// What each backend server bears.
    pub cold_start: ColdStartSettings,
    /// Longest time that a permit holds; no request may have more time left.
    pub validity_max: Duration,
    /// Added to the time that a request has left, for its way.
    pub validity_margin: Duration,
    /// Longest time that one try may take.
    pub try_timeout: Duration,
    /// Longest time that one ask waits before it is answered.
    pub wait_max: Duration,
    /// Longest ejection that is asked for at once; a longer one is renewed.
    pub ejection_max: Duration,
    /// Retries as a share of first tries.
    pub retry_share: f64,
    /// Retries that may come at once.
    pub retry_burst: f64,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        KeeperSettings {
            cold_start: ColdStartSettings::default(),
            validity_max: Duration::from_secs(10),
            validity_margin: Duration::from_millis(100),
            try_timeout: Duration::from_secs(2),
            wait_max: Duration::from_millis(300),
            ejection_max: FloorSettings::default().hold_max,
            retry_share: 0.1,
            retry_burst: 10.0,
        }
    }
}

impl KeeperSettings {
    /// The settings that follow from a service object.
    ///
    /// `validity_max` is the longest deadline of the routes to the service.
    pub fn from_service(service: &Service, validity_max: Duration) -> Self {
        KeeperSettings {
            cold_start: ColdStartSettings {
                slots: service.slots,
                cold_slots: service.cold_slots,
                ramp: service.cold_ramp,
            },
            validity_max,
            try_timeout: service.try_timeout,
            ..Default::default()
        }
    }
}

/// In which right a host grants the slots of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperTerm {
    /// The keeper cannot be reached but may still grant: half the slots of
    /// the servers that it named as warm.
    Stopgap,
    /// It holds the cell; until this time the permits of the keeper before
    /// it may be in use, and it grants like a stopgap.
    HeldFrom(MonotonicTime),
}

/// Grants the slots of one cell: one service's backend servers in one
/// availability zone.
///
/// It sees the whole traffic of each server, so it counts their slots instead
/// of guessing them, and pools the outcomes for its detector. A permit ends
/// by itself when its request's deadline has passed, so an entry host that
/// dies returns its slots.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{
///     KeeperAction, KeeperEvent, KeeperSettings, KeeperTerm, ListedServer, Machine,
///     MonotonicTime, QuietDetector, SlotAsk, SlotKeeper,
/// };
///
/// let now = MonotonicTime::ZERO;
/// let term = KeeperTerm::HeldFrom(now);
/// let mut keeper = SlotKeeper::open(KeeperSettings::default(), term, QuietDetector);
/// let mut actions = Vec::new();
/// let server = ListedServer { name: "s1".to_owned(), is_leaving: false };
/// keeper.apply(now, KeeperEvent::Servers(vec![server]), &mut actions);
/// let ask = SlotAsk { ticket: 7, left: Duration::from_secs(1), ..Default::default() };
/// keeper.apply(now, KeeperEvent::Ask(ask), &mut actions);
/// assert!(matches!(&actions[0], KeeperAction::Grant { ticket: 7, server, .. } if server == "s1"));
/// ```
#[derive(Debug)]
pub struct SlotKeeper<D> {
    settings: KeeperSettings,
    term: KeeperTerm,
    detector: D,
    zone: ZoneRamp,
    servers: SlotMap<ServerKey, ServerState>,
    names: BTreeMap<String, ServerKey>,
    permits: SlotMap<PermitKey, OpenGrant>,
    ends: BinaryHeap<Reverse<(MonotonicTime, PermitKey)>>,
    queue: FairQueue<Waiter>,
    budget: RetryBudget,
    service_time: Option<Duration>,
    grants: u64,
    ticked: MonotonicTime,
    verdicts: Vec<ServerVerdict>,
}

#[derive(Debug)]
struct OpenGrant {
    server: ServerKey,
    workspace: String,
    granted: MonotonicTime,
    end: MonotonicTime,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    deadline: MonotonicTime,
    answer_by: MonotonicTime,
    avoid: Vec<String>,
    source: String,
}

impl<D: ServerDetector> SlotKeeper<D> {
    /// Opens a keeper to which every server is cold.
    pub fn open(settings: KeeperSettings, term: KeeperTerm, detector: D) -> Self {
        SlotKeeper {
            settings,
            term,
            detector,
            zone: ZoneRamp::open(ZoneState::In),
            servers: SlotMap::with_key(),
            names: BTreeMap::new(),
            permits: SlotMap::with_key(),
            ends: BinaryHeap::new(),
            queue: FairQueue::new(),
            budget: RetryBudget::open(settings.retry_share, settings.retry_burst),
            service_time: None,
            grants: 0,
            ticked: MonotonicTime::ZERO,
            verdicts: Vec::new(),
        }
    }

    /// Takes over new settings; permits that are out keep their ends.
    pub fn set_settings(&mut self, settings: KeeperSettings) {
        self.settings = settings;
        for server in self.servers.values_mut() {
            server.cold_start.set_settings(settings.cold_start);
        }
    }

    /// Changes the right in which the host grants.
    pub fn set_term(&mut self, term: KeeperTerm) {
        self.term = term;
    }

    /// Takes over the state of the availability zone.
    pub fn set_zone(&mut self, now: MonotonicTime, state: ZoneState, return_ramp: Duration) {
        self.zone.set_state(now, state, return_ramp);
    }

    /// Takes note of the availability zone of an entry host that asks.
    pub fn note_source(&mut self, source: &str, zone: &str) {
        self.detector.note_source(source, zone);
    }

    /// Takes over which servers the keeper before this one knew as warm.
    ///
    /// A server that this keeper has used keeps what it has shown.
    pub fn set_warm<'s>(&mut self, names: impl IntoIterator<Item = &'s str>) {
        for name in names {
            let Some(server) = self.names.get(name).map(|key| &mut self.servers[*key]) else {
                continue;
            };
            if server.last_grant == 0 {
                server.cold_start = ColdStart::warm(self.settings.cold_start);
            }
        }
    }

    /// The servers that are warm and take work.
    pub fn warm(&self, now: MonotonicTime) -> impl Iterator<Item = &str> {
        let servers = self.servers.values();
        servers
            .filter(move |server| server.is_usable(now) && server.cold_start.is_warm(now))
            .map(|server| server.name.as_str())
    }

    /// Used slots and waiting requests as a share of all slots.
    ///
    /// A cell without slots has the load of a full one.
    pub fn load(&self, now: MonotonicTime) -> f64 {
        let capacity = self.capacity(now);
        if capacity == 0 {
            return 1.0;
        }
        (self.used(now) as usize + self.queue.waiting()) as f64 / f64::from(capacity)
    }

    /// Requests that hold a permit.
    pub fn running(&self) -> usize {
        self.permits.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Servers of the cell with the slots that each has now and has in use.
    pub fn servers(&self, now: MonotonicTime) -> impl Iterator<Item = (&str, u32, u32)> {
        let servers = self.servers.values();
        servers.map(move |server| (server.name.as_str(), self.slots(now, server), server.used))
    }

    fn ask(&mut self, now: MonotonicTime, ask: SlotAsk, actions: &mut Vec<KeeperAction>) {
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

    fn check_ask(
        &mut self,
        now: MonotonicTime,
        ask: &SlotAsk,
    ) -> Result<(), (SlotRefusal, Duration)> {
        if self.zone.is_out() {
            return Err((SlotRefusal::ZoneOut, Duration::ZERO));
        }
        let mut servers = self.servers.values();
        let may_use = |server: &ServerState| {
            let is_tried = ask.avoid.contains(&server.name);
            !is_tried && !self.detector.avoids(now, &server.name, &ask.source)
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
    fn expected_wait(&self, now: MonotonicTime, workspace: &str) -> Duration {
        let capacity = self.capacity(now);
        if self.used(now) as usize + self.queue.waiting() < capacity as usize {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(workspace) + 1;
        let service_time = self.service_time.unwrap_or_default();
        service_time.mul_f64(ahead as f64 / f64::from(capacity.max(1)))
    }

    /// The slots of the cell at `now`.
    fn capacity(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let slots: u32 = servers.map(|server| self.slots(now, server)).sum();
        let share = self.zone.share(now);
        (f64::from(slots) * share).ceil() as u32
    }

    /// Requests at the servers that make up the capacity.
    fn used(&self, now: MonotonicTime) -> u32 {
        let servers = self.servers.values();
        let usable = servers.filter(|server| server.is_usable(now));
        usable.map(|server| server.used).sum()
    }

    /// The slots of a server that may be in use at `now`.
    fn slots(&self, now: MonotonicTime, server: &ServerState) -> u32 {
        if !server.is_usable(now) {
            return 0;
        }
        match self.term {
            KeeperTerm::HeldFrom(from) if now >= from => server.cold_start.slots(now),
            // What the other keeper granted to a cold server is unknown here.
            _ if !server.cold_start.is_warm(now) => 0,
            _ => (server.cold_start.slots(now) / 2).max(1),
        }
    }

    /// Grants free slots to waiting requests until one of both runs out.
    fn grant_waiting(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        while self.queue.waiting() > 0 && self.used(now) < self.capacity(now) {
            let free = self.free_servers(now);
            let detector = &self.detector;
            let choose = |waiter: &Waiter| {
                let may_use = |name: &String| {
                    let is_tried = waiter.avoid.contains(name);
                    !is_tried && !detector.avoids(now, name, &waiter.source)
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
    fn free_servers(&self, now: MonotonicTime) -> Vec<(ServerKey, String)> {
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
    fn heeds_suspicion(&self, now: MonotonicTime) -> bool {
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

    fn grant(
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

    fn release(&mut self, now: MonotonicTime, release: &SlotRelease) {
        let Some(grant) = self.permits.get_mut(release.permit) else {
            return;
        };
        let key = grant.server;
        if may_still_run(release.outcome) {
            let try_end = grant.granted + self.settings.try_timeout;
            grant.end = grant.end.min(try_end + self.settings.validity_margin);
            self.ends.push(Reverse((grant.end, release.permit)));
        } else {
            self.close_permit(now, release.permit);
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        match release.outcome {
            OutcomeKind::Draining => server.drain(now),
            // A server that takes no connection has likely been restarted.
            OutcomeKind::Cold | OutcomeKind::ConnectFailed => server.turn_cold(now),
            OutcomeKind::Refused => server.pause(now),
            OutcomeKind::Answered => {
                server.note_answer(now, true);
                self.note_service_time(release.total);
            }
            OutcomeKind::CallerGone | OutcomeKind::Unused => {}
            _ => server.note_answer(now, false),
        }
        let server = &self.servers[key];
        self.detector.observe(
            now,
            OutcomeSample {
                server: &server.name,
                source: &release.source,
                outcome: release.outcome,
                header: release.header,
                total: release.total,
                is_probe: false,
            },
        );
    }

    fn note_service_time(&mut self, total: Duration) {
        let average = self.service_time.unwrap_or(total);
        self.service_time =
            Some(average.mul_f64(1.0 - SERVICE_TIME_SHARE) + total.mul_f64(SERVICE_TIME_SHARE));
    }

    fn close_permit(&mut self, now: MonotonicTime, permit: PermitKey) {
        let Some(grant) = self.permits.remove(permit) else {
            return;
        };
        self.queue.finish(&grant.workspace);
        if let Some(server) = self.servers.get_mut(grant.server) {
            server.set_used(now, server.used.saturating_sub(1));
        }
    }

    fn end_permits(&mut self, now: MonotonicTime) {
        while let Some(Reverse((end, permit))) = self.ends.peek().copied() {
            let grant = self.permits.get(permit);
            if grant.is_some_and(|grant| grant.end == end) {
                if end > now {
                    return;
                }
                self.close_permit(now, permit);
            }
            // Else it was given back, or ends earlier by now.
            self.ends.pop();
        }
    }

    fn list(&mut self, now: MonotonicTime, listed: &[ListedServer]) {
        for server in self.servers.values_mut() {
            let is_listed = listed.iter().any(|entry| entry.name == server.name);
            if server.is_listed && !is_listed {
                server.is_listed = false;
                self.detector.forget(&server.name);
            }
        }
        let settings = self.settings.cold_start;
        for entry in listed {
            let servers = &mut self.servers;
            let key = *self.names.entry(entry.name.clone()).or_insert_with(|| {
                servers.insert(ServerState::new(&entry.name, ColdStart::cold(settings)))
            });
            self.servers[key].list(now, entry.is_leaving, settings);
        }
        // A server with permits out is kept, in case that it comes back.
        let names = &mut self.names;
        self.servers.retain(|_, server| {
            let stays = server.is_listed || server.used > 0;
            if !stays {
                names.remove(&server.name);
            }
            stays
        });
    }

    fn probe(&mut self, now: MonotonicTime, probe: &ProbeResult) {
        let Some(key) = self.names.get(&probe.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        // A probe that misleads must not take a server out of use, so its word
        // that the server leaves does not count here.
        if probe.outcome == OutcomeKind::Cold {
            server.turn_cold(now);
        }
        self.detector.observe(
            now,
            OutcomeSample {
                server: &probe.server,
                source: "",
                outcome: probe.outcome,
                header: probe.total,
                total: probe.total,
                is_probe: true,
            },
        );
    }

    fn take_verdicts(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let mut verdicts = std::mem::take(&mut self.verdicts);
        self.detector.verdicts(now, &mut verdicts);
        for verdict in &verdicts {
            self.take_verdict(now, verdict);
        }
        self.ask_ejections(now, &verdicts, actions);
        verdicts.clear();
        self.verdicts = verdicts;
    }

    fn take_verdict(&mut self, now: MonotonicTime, verdict: &ServerVerdict) {
        let Some(key) = self.names.get(&verdict.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        let (weight, is_ejection) = match verdict.action {
            ServerAction::Readmit => (1.0, false),
            ServerAction::Suspect { weight } => (weight.clamp(0.0, 1.0), false),
            ServerAction::Eject { .. } => (UNGRANTED_WEIGHT, true),
        };
        server.weight = weight;
        if !is_ejection {
            server.drop_ejection();
        }
        if let ServerAction::Eject { hold } = verdict.action {
            server.want_ejection(now, hold);
        }
    }

    fn ask_ejections(
        &mut self,
        now: MonotonicTime,
        verdicts: &[ServerVerdict],
        actions: &mut Vec<KeeperAction>,
    ) {
        if !self.heeds_suspicion(now) {
            return;
        }
        for server in self.servers.values_mut() {
            let Some(hold) = server.due_ejection(now) else {
                continue;
            };
            let verdict = verdicts
                .iter()
                .find(|verdict| verdict.server == server.name);
            actions.push(KeeperAction::AskEjection {
                server: server.name.clone(),
                hold: hold.min(self.settings.ejection_max),
                reason: verdict.map_or("asked-again", |verdict| verdict.reason),
            });
        }
    }

    fn take_ejection(&mut self, server: &str, until: Option<MonotonicTime>) {
        let key = self.names.get(server);
        if let (Some(key), Some(until)) = (key, until) {
            self.servers[*key].hold_ejection(until);
        }
    }

    fn refuse_late(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
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

    fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        self.ticked = now;
        self.end_permits(now);
        for server in self.servers.values_mut() {
            server.end_ejection(now);
        }
        self.take_verdicts(now, actions);
        self.refuse_late(now, actions);
        self.grant_waiting(now, actions);
    }
}

/// Whether the server may go on with a request that ended this way, until the
/// deadline that it was told.
fn may_still_run(outcome: OutcomeKind) -> bool {
    matches!(
        outcome,
        OutcomeKind::Timeout
            | OutcomeKind::CallerGone
            | OutcomeKind::CutAnswer
            | OutcomeKind::WrongAnswer
    )
}

impl<D: ServerDetector> Machine for SlotKeeper<D> {
    type Event = KeeperEvent;
    type Action = KeeperAction;

    fn apply(&mut self, now: MonotonicTime, event: KeeperEvent, actions: &mut Vec<KeeperAction>) {
        self.end_permits(now);
        match event {
            KeeperEvent::Ask(ask) => {
                self.ask(now, ask, actions);
                self.grant_waiting(now, actions);
            }
            KeeperEvent::Withdraw { ticket } => {
                self.queue.take_if(|waiter| waiter.ticket == ticket);
            }
            KeeperEvent::Release(release) => {
                self.release(now, &release);
                self.take_verdicts(now, actions);
                self.refuse_late(now, actions);
                self.grant_waiting(now, actions);
            }
            KeeperEvent::Servers(listed) => {
                self.list(now, &listed);
                self.tick(now, actions);
            }
            KeeperEvent::Probe(probe) => {
                self.probe(now, &probe);
                self.take_verdicts(now, actions);
            }
            KeeperEvent::EjectionAnswer { server, until } => {
                self.take_ejection(&server, until);
            }
            KeeperEvent::Tick => self.tick(now, actions),
        }
    }

    fn next_wake(&self) -> Option<MonotonicTime> {
        let permit_end = self.ends.peek().map(|Reverse((end, _))| *end);
        let wait_check = (self.queue.waiting() > 0).then(|| self.ticked + WAIT_CHECK_EVERY);
        let answer_by = self.queue.iter().map(|waiter| waiter.answer_by).min();
        [permit_end, wait_check, answer_by]
            .into_iter()
            .flatten()
            .min()
    }
}
