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

/// Interval between two checks of the waiting requests without other events.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Grants the slots of one cell: one service's backend servers in one
/// availability zone.
///
/// All requests to a server pass its keeper, so the keeper counts the slots in
/// use exactly and pools the outcomes for its detector. A permit expires after
/// the deadline of its request, so a crashed entry host returns its slots.
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
/// let role = KeeperRole::HeldFrom(now);
/// let mut keeper = SlotKeeper::new(KeeperSettings::default(), role, NoopDetector);
/// let mut actions = Vec::new();
/// let server = ListedServer { name: "s1".to_owned(), is_leaving: false };
/// keeper.apply(now, KeeperEvent::Servers(vec![server]), &mut actions);
/// let request = PermitRequest { ticket: 7, time_left: Duration::from_secs(1), ..Default::default() };
/// keeper.apply(now, KeeperEvent::Request(request), &mut actions);
/// assert!(matches!(&actions[0], KeeperAction::Grant { ticket: 7, server, .. } if server == "s1"));
/// ```
#[derive(Debug)]
pub struct SlotKeeper<D> {
    settings: KeeperSettings,
    role: KeeperRole,
    detector: D,
    zone: ZoneRamp,
    servers: SlotMap<ServerKey, ServerState>,
    keys_by_name: BTreeMap<String, ServerKey>,
    permits: SlotMap<PermitKey, PermitState>,
    /// Ends of permits, earliest first; an entry is stale if the permit has
    /// been released or ends earlier.
    permit_ends: BinaryHeap<Reverse<(MonotonicTime, PermitKey)>>,
    queue: FairQueue<Waiter>,
    budget: RetryBudget,
    /// Moving average over the successful requests; `None` before the first.
    service_time: Option<Duration>,
    grants: u64,
    last_tick: MonotonicTime,
    /// Empty between calls; kept to reuse its allocation.
    verdicts: Vec<ServerVerdict>,
}

#[derive(Debug)]
struct PermitState {
    server: ServerKey,
    workspace: String,
    granted: MonotonicTime,
    end: MonotonicTime,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    deadline: MonotonicTime,
    /// Time at which the request is refused if it has no slot by then.
    wait_until: MonotonicTime,
    avoid: Vec<String>,
    source: String,
}

impl<D: ServerDetector> SlotKeeper<D> {
    /// Creates a keeper that treats every server as cold.
    pub fn new(settings: KeeperSettings, role: KeeperRole, detector: D) -> Self {
        SlotKeeper {
            settings,
            role,
            detector,
            zone: ZoneRamp::new(ZoneState::In),
            servers: SlotMap::with_key(),
            keys_by_name: BTreeMap::new(),
            permits: SlotMap::with_key(),
            permit_ends: BinaryHeap::new(),
            queue: FairQueue::new(),
            budget: RetryBudget::new(settings.retry_ratio, settings.retry_burst),
            service_time: None,
            grants: 0,
            last_tick: MonotonicTime::ZERO,
            verdicts: Vec::new(),
        }
    }

    /// Changes the settings; permits already granted keep their ends.
    pub fn set_settings(&mut self, settings: KeeperSettings) {
        self.settings = settings;
        for server in self.servers.values_mut() {
            server.cold_start.set_settings(settings.cold_start);
        }
    }

    /// Changes the authority by which the host grants.
    pub fn set_role(&mut self, role: KeeperRole) {
        self.role = role;
    }

    /// Sets the state of the availability zone from `now` on.
    ///
    /// A return to service ramps up over `return_ramp`.
    pub fn set_zone(&mut self, now: MonotonicTime, state: ZoneState, return_ramp: Duration) {
        self.zone.set_state(now, state, return_ramp);
    }

    /// Sets the availability zone of an entry host that sends requests.
    pub fn set_source_zone(&mut self, source: &str, zone: &str) {
        self.detector.set_source_zone(source, zone);
    }

    /// Marks the servers that the previous keeper reported as warm.
    ///
    /// A server at which this keeper has granted a permit keeps its own state.
    pub fn set_warm_servers<'s>(&mut self, names: impl IntoIterator<Item = &'s str>) {
        for name in names {
            let Some(server) = self
                .keys_by_name
                .get(name)
                .map(|key| &mut self.servers[*key])
            else {
                continue;
            };
            if server.last_grant == 0 {
                server.cold_start = ColdStart::warm(self.settings.cold_start);
            }
        }
    }

    /// Names of the servers that are warm and may get requests.
    pub fn warm_servers(&self, now: MonotonicTime) -> impl Iterator<Item = &str> {
        let servers = self.servers.values();
        servers
            .filter(move |server| server.is_usable(now) && server.cold_start.is_warm(now))
            .map(|server| server.name.as_str())
    }

    /// Used slots plus waiting requests, divided by the cell's slots.
    ///
    /// The load of a cell without slots is 1.
    pub fn load(&self, now: MonotonicTime) -> f64 {
        let capacity = self.capacity(now);
        if capacity == 0 {
            return 1.0;
        }
        (self.used(now) as usize + self.queue.waiting()) as f64 / f64::from(capacity)
    }

    /// Number of requests that hold a permit.
    pub fn in_flight(&self) -> usize {
        self.permits.len()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Servers of the cell, each with its available slots and its used slots.
    pub fn servers(&self, now: MonotonicTime) -> impl Iterator<Item = (&str, u32, u32)> {
        let servers = self.servers.values();
        servers.map(move |server| (server.name.as_str(), self.slots(now, server), server.used))
    }

    fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        self.last_tick = now;
        self.expire_permits(now);
        for server in self.servers.values_mut() {
            server.expire_ejection(now);
        }
        self.apply_verdicts(now, actions);
        self.refuse_late(now, actions);
        self.grant_waiting(now, actions);
    }
}

impl<D: ServerDetector> Machine for SlotKeeper<D> {
    type Event = KeeperEvent;
    type Action = KeeperAction;

    fn apply(&mut self, now: MonotonicTime, event: KeeperEvent, actions: &mut Vec<KeeperAction>) {
        self.expire_permits(now);
        match event {
            KeeperEvent::Request(request) => {
                self.admit(now, request, actions);
                self.grant_waiting(now, actions);
            }
            KeeperEvent::Cancel { ticket } => {
                self.queue.extract_if(|waiter| waiter.ticket == ticket);
            }
            KeeperEvent::Release(release) => {
                self.release(now, &release);
                self.apply_verdicts(now, actions);
                self.refuse_late(now, actions);
                self.grant_waiting(now, actions);
            }
            KeeperEvent::Servers(listed) => {
                self.update_servers(now, &listed);
                self.tick(now, actions);
            }
            KeeperEvent::Probe(probe) => {
                self.record_probe(now, &probe);
                self.apply_verdicts(now, actions);
            }
            KeeperEvent::EjectionDecision { server, until } => {
                self.apply_ejection_decision(&server, until);
            }
            KeeperEvent::Tick => self.tick(now, actions),
        }
    }

    fn next_wake(&self) -> Option<MonotonicTime> {
        let permit_end = self.permit_ends.peek().map(|Reverse((end, _))| *end);
        let wait_check = (self.queue.waiting() > 0).then(|| self.last_tick + WAIT_CHECK_INTERVAL);
        let wait_until = self.queue.iter().map(|waiter| waiter.wait_until).min();
        [permit_end, wait_check, wait_until]
            .into_iter()
            .flatten()
            .min()
    }
}
