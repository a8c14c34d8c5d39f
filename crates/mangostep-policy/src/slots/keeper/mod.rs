mod granting;
mod judging;
mod releasing;
mod settings;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use {mangostep_objects::ZoneState, slotmap::SlotMap};

use crate::{
    Machine, MonotonicTime, RetryBudget, ServerDetector, ServerVerdict, ZoneRamp,
    slots::{
        ColdStart, KeeperAction, KeeperEvent, PermitKey, fair_queue::FairQueue,
        server_state::ServerState,
    },
};

pub use crate::slots::keeper::settings::{KeeperRole, KeeperSettings};

slotmap::new_key_type! {
    struct ServerKey;
}

/// Time between two looks at waiting requests when nothing happens.
const WAIT_CHECK_EVERY: Duration = Duration::from_millis(20);

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
///     KeeperAction, KeeperEvent, KeeperSettings, KeeperRole, ListedServer, Machine,
///     MonotonicTime, NoopDetector, PermitRequest, SlotKeeper,
/// };
///
/// let now = MonotonicTime::ZERO;
/// let term = KeeperRole::HeldFrom(now);
/// let mut keeper = SlotKeeper::new(KeeperSettings::default(), term, NoopDetector);
/// let mut actions = Vec::new();
/// let server = ListedServer { name: "s1".to_owned(), is_leaving: false };
/// keeper.apply(now, KeeperEvent::Servers(vec![server]), &mut actions);
/// let ask = PermitRequest { ticket: 7, left: Duration::from_secs(1), ..Default::default() };
/// keeper.apply(now, KeeperEvent::Request(ask), &mut actions);
/// assert!(matches!(&actions[0], KeeperAction::Grant { ticket: 7, server, .. } if server == "s1"));
/// ```
#[derive(Debug)]
pub struct SlotKeeper<D> {
    settings: KeeperSettings,
    term: KeeperRole,
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
    pub fn new(settings: KeeperSettings, term: KeeperRole, detector: D) -> Self {
        SlotKeeper {
            settings,
            term,
            detector,
            zone: ZoneRamp::new(ZoneState::In),
            servers: SlotMap::with_key(),
            names: BTreeMap::new(),
            permits: SlotMap::with_key(),
            ends: BinaryHeap::new(),
            queue: FairQueue::new(),
            budget: RetryBudget::new(settings.retry_share, settings.retry_burst),
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
    pub fn set_role(&mut self, term: KeeperRole) {
        self.term = term;
    }

    /// Takes over the state of the availability zone.
    pub fn set_zone(&mut self, now: MonotonicTime, state: ZoneState, return_ramp: Duration) {
        self.zone.set_state(now, state, return_ramp);
    }

    /// Takes note of the availability zone of an entry host that asks.
    pub fn set_source_zone(&mut self, source: &str, zone: &str) {
        self.detector.set_source_zone(source, zone);
    }

    /// Takes over which servers the keeper before this one knew as warm.
    ///
    /// A server that this keeper has used keeps what it has shown.
    pub fn set_warm_servers<'s>(&mut self, names: impl IntoIterator<Item = &'s str>) {
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
    pub fn warm_servers(&self, now: MonotonicTime) -> impl Iterator<Item = &str> {
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
    pub fn in_flight(&self) -> usize {
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

impl<D: ServerDetector> Machine for SlotKeeper<D> {
    type Event = KeeperEvent;
    type Action = KeeperAction;

    fn apply(&mut self, now: MonotonicTime, event: KeeperEvent, actions: &mut Vec<KeeperAction>) {
        self.end_permits(now);
        match event {
            KeeperEvent::Request(ask) => {
                self.ask(now, ask, actions);
                self.grant_waiting(now, actions);
            }
            KeeperEvent::Cancel { ticket } => {
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
            KeeperEvent::EjectionDecision { server, until } => {
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
