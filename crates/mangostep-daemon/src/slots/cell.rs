use std::{collections::HashMap, net::SocketAddr};

use {
    mangostep_objects::ZoneState,
    mangostep_platform::{DirectoryEntry, DirectoryState},
    mangostep_policy::{
        KeeperAction, KeeperEvent, KeeperRole, KeeperSettings, ListedServer, Machine, OutcomeKind,
        PermitKey, PermitRequest, SlotKeeper, SlotRefusal, SlotRelease,
    },
    slab::Slab,
    slotmap::{Key, KeyData},
    tokio::sync::oneshot,
};

use crate::{
    context::FleetView,
    prelude::*,
    slots::{
        CellDetector,
        local_cells::KeeperUpdate,
        messages::{CellAnswer, CellGrant, CellRefusal, CellRelease},
    },
};

/// Time since the last slot request after which a cell counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// The ground on which this host grants slots of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellAuthority {
    /// This host holds the cell in this epoch.
    Held(u64),
    /// The holder cannot be reached, and this host is the stopgap host.
    Stopgap,
}

/// An ejection that a slot keeper requests from the arbiter.
#[derive(Debug)]
pub(super) struct EjectionRequest {
    pub(super) server: String,
    /// How long the ejection lasts.
    pub(super) hold: Duration,
    pub(super) reason: &'static str,
}

/// One cell whose slot keeper runs on this host, with its waiting requests.
#[derive(Debug)]
pub(super) struct LocalCell {
    service: String,
    zone: String,
    keeper: SlotKeeper<CellDetector>,
    settings: KeeperSettings,
    authority: CellAuthority,
    /// XORed into permit numbers so that permits of different keepers differ.
    salt: u64,
    /// Reply channels of the waiting requests, by ticket.
    tickets: Slab<oneshot::Sender<CellAnswer>>,
    config_version: u64,
    listed: Vec<ListedServer>,
    /// The directory listing that `listed` was read from.
    directory: Arc<Vec<DirectoryEntry>>,
    /// The fleet view from which the keeper got the hosts' zones.
    fleet: Arc<FleetView>,
    has_prober: bool,
    addresses: HashMap<String, SocketAddr>,
    /// Ejections requested since the last call of `take_ejection_requests`.
    ejection_requests: Vec<EjectionRequest>,
    /// Time of the last slot request.
    last_request: MonotonicTime,
}

impl LocalCell {
    /// Starts a slot keeper with the warm servers of its predecessor.
    ///
    /// Returns `None` when the configuration has no such cell.
    pub(super) fn open(
        context: &HostContext,
        service: &str,
        zone: &str,
        authority: CellAuthority,
        update: &KeeperUpdate,
    ) -> Option<Self> {
        let snapshot = context.snapshot.load();
        let settings = keeper_settings(&snapshot, service)?;
        let now = context.clock.now();
        let role = role_under(authority, now, &settings, update.is_closed);
        let mut cell = LocalCell {
            service: service.to_owned(),
            zone: zone.to_owned(),
            keeper: SlotKeeper::new(settings, role, CellDetector::default()),
            settings,
            authority,
            salt: rand::random(),
            tickets: Slab::new(),
            config_version: 0,
            listed: Vec::new(),
            directory: Arc::default(),
            fleet: Arc::default(),
            has_prober: false,
            addresses: HashMap::new(),
            ejection_requests: Vec::new(),
            last_request: now,
        };
        cell.refresh(context, now);
        cell.set_warm(&update.warm);
        Some(cell)
    }

    pub(super) fn service(&self) -> &str {
        &self.service
    }

    pub(super) fn zone(&self) -> &str {
        &self.zone
    }

    /// A random number that identifies this keeper.
    pub(super) fn salt(&self) -> u64 {
        self.salt
    }

    pub(super) fn authority(&self) -> CellAuthority {
        self.authority
    }

    /// Whether no permit is open, no request waits, and the last request is
    /// longer than `IDLE_AFTER` ago.
    pub(super) fn is_idle(&self, now: MonotonicTime) -> bool {
        let is_busy = self.keeper.in_flight() > 0 || self.keeper.waiting() > 0;
        !is_busy && now.since(self.last_request) > IDLE_AFTER
    }

    /// Returns true once, when the cell is held; that caller then has to probe
    /// the cell's servers.
    pub(super) fn claim_probes(&mut self) -> bool {
        let is_claimed = matches!(self.authority, CellAuthority::Held(_)) && !self.has_prober;
        self.has_prober |= is_claimed;
        is_claimed
    }

    /// Names of the warm servers.
    pub(super) fn warm(&self, now: MonotonicTime) -> Vec<String> {
        self.keeper.warm_servers(now).map(str::to_owned).collect()
    }

    /// Names and addresses of the cell's servers.
    pub(super) fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let pairs = self.addresses.iter();
        pairs.map(|(name, address)| (name.as_str(), *address))
    }

    /// Replaces the set of servers that count as warm.
    pub(super) fn set_warm(&mut self, warm: &[String]) {
        self.keeper
            .set_warm_servers(warm.iter().map(String::as_str));
    }

    /// Turns a stopgap keeper into the holder's, which grants without the
    /// stopgap's limits once the permits of the previous holder have expired.
    pub(super) fn promote(&mut self, now: MonotonicTime, epoch: u64, is_closed: bool) {
        self.authority = CellAuthority::Held(epoch);
        let role = role_under(self.authority, now, &self.settings, is_closed);
        self.keeper.set_role(role);
    }

    /// Lifts the limits after a takeover at once, since the previous holder
    /// has closed its cell.
    pub(super) fn start_after_close(&mut self, now: MonotonicTime) {
        self.keeper.set_role(KeeperRole::HeldFrom(now));
        self.apply(now, KeeperEvent::Tick);
    }

    /// Whether any permit is open.
    pub(super) fn has_open_permits(&self) -> bool {
        self.keeper.in_flight() > 0
    }

    /// Applies changes of the configuration, the fleet view and the directory.
    pub(super) fn refresh(&mut self, context: &HostContext, now: MonotonicTime) {
        let snapshot = context.snapshot.load();
        if self.config_version != snapshot.version() {
            self.config_version = snapshot.version();
            if let Some(settings) = keeper_settings(&snapshot, &self.service) {
                self.settings = settings;
                self.keeper.set_settings(settings);
            }
            let state = if snapshot.zone_is_in(&self.zone) {
                ZoneState::In
            } else {
                ZoneState::Out
            };
            let zone = snapshot.zone(&self.zone);
            let ramp = zone.map_or(Duration::ZERO, |zone| zone.return_ramp);
            self.keeper.set_zone(now, state, ramp);
            self.apply(now, KeeperEvent::Tick);
        }
        let fleet = context.fleet.load_full();
        if !Arc::ptr_eq(&fleet, &self.fleet) {
            for host in &fleet.hosts {
                self.keeper.set_source_zone(&host.name, &host.zone);
            }
            self.fleet = fleet;
        }
        let servers = context.servers.load_full();
        if Arc::ptr_eq(&servers, &self.directory) {
            return;
        }
        let is_own =
            |entry: &&DirectoryEntry| entry.service == self.service && entry.zone == self.zone;
        let listed: Vec<ListedServer> = servers.iter().filter(is_own).map(listed_server).collect();
        self.addresses = servers
            .iter()
            .filter(is_own)
            .map(|entry| (entry.name.clone(), entry.address))
            .collect();
        self.directory = servers;
        if listed != self.listed {
            self.listed = listed.clone();
            self.apply(now, KeeperEvent::Servers(listed));
        }
    }

    /// Submits a slot request to the keeper, which answers through `reply`.
    pub(super) fn request(
        &mut self,
        now: MonotonicTime,
        request: PermitRequest,
        reply: oneshot::Sender<CellAnswer>,
    ) {
        self.last_request = now;
        let ticket = self.tickets.insert(reply) as u64;
        self.apply(
            now,
            KeeperEvent::Request(PermitRequest { ticket, ..request }),
        );
    }

    /// Releases a slot.
    pub(super) fn release(&mut self, now: MonotonicTime, source: &str, release: &CellRelease) {
        let event = SlotRelease {
            permit: KeyData::from_ffi(release.permit ^ self.salt).into(),
            source: source.to_owned(),
            outcome: release.outcome,
            header: release.header,
            total: release.total,
        };
        self.apply(now, KeeperEvent::Release(event));
    }

    /// Refuses all waiting requests because this host may not grant slots now.
    pub(super) fn refuse_waiting(&mut self, now: MonotonicTime) {
        for (ticket, reply) in std::mem::take(&mut self.tickets) {
            let ticket = ticket as u64;
            self.apply(now, KeeperEvent::Cancel { ticket });
            // The requester may have given up.
            let _ = reply.send(CellAnswer::not_keeper());
        }
    }

    /// Wakes the keeper if its next wake-up is due.
    pub(super) fn tick(&mut self, now: MonotonicTime) {
        if self.keeper.next_wake().is_some_and(|wake| wake <= now) {
            self.apply(now, KeeperEvent::Tick);
        }
    }

    /// Applies one event to the keeper and carries out the actions that
    /// follow.
    pub(super) fn apply(&mut self, now: MonotonicTime, event: KeeperEvent) {
        let mut actions = Vec::new();
        self.keeper.apply(now, event, &mut actions);
        while let Some(action) = actions.pop() {
            match action {
                KeeperAction::Grant {
                    ticket,
                    permit,
                    server,
                    valid,
                } => {
                    if !self.grant(now, ticket, permit, &server, valid) {
                        let unused = KeeperEvent::Release(unused_release(permit));
                        self.keeper.apply(now, unused, &mut actions);
                    }
                }
                KeeperAction::Refuse {
                    ticket,
                    refusal,
                    retry_after,
                } => {
                    let refusal = cell_refusal(refusal);
                    self.answer(now, ticket, Err((refusal, retry_after)));
                }
                KeeperAction::RequestEjection {
                    server,
                    hold,
                    reason,
                } => self.ejection_requests.push(EjectionRequest {
                    server,
                    hold,
                    reason,
                }),
            }
        }
    }

    /// Removes and returns the ejections requested since the last call.
    pub(super) fn take_ejection_requests(&mut self) -> Vec<EjectionRequest> {
        std::mem::take(&mut self.ejection_requests)
    }

    fn grant(
        &mut self,
        now: MonotonicTime,
        ticket: u64,
        permit: PermitKey,
        server: &str,
        valid: Duration,
    ) -> bool {
        let Some(address) = self.addresses.get(server).copied() else {
            let refusal = (CellRefusal::NoServer, Duration::ZERO);
            self.answer(now, ticket, Err(refusal));
            return false;
        };
        let grant = CellGrant {
            permit: permit.data().as_ffi() ^ self.salt,
            server: server.to_owned(),
            address,
            valid,
        };
        self.answer(now, ticket, Ok(grant))
    }

    /// Answers a waiting request; false when the requester has given up.
    fn answer(
        &mut self,
        now: MonotonicTime,
        ticket: u64,
        result: Result<CellGrant, (CellRefusal, Duration)>,
    ) -> bool {
        let load = self.keeper.load(now);
        let Some(reply) = self.tickets.try_remove(ticket as usize) else {
            return false;
        };
        reply.send(CellAnswer { result, load }).is_ok()
    }
}

fn keeper_settings(
    snapshot: &mangostep_objects::Snapshot,
    service: &str,
) -> Option<KeeperSettings> {
    let longest = snapshot.longest_deadline(service);
    let service = snapshot.service(service)?;
    Some(KeeperSettings::from_service(service, longest))
}

/// The keeper's role under an authority.
///
/// A holder waits until all permits of its predecessor have expired. There are
/// none in the first epoch, or when the predecessor has closed its cell.
fn role_under(
    authority: CellAuthority,
    now: MonotonicTime,
    settings: &KeeperSettings,
    is_closed: bool,
) -> KeeperRole {
    match authority {
        CellAuthority::Stopgap => KeeperRole::Stopgap,
        CellAuthority::Held(epoch) if epoch <= 1 || is_closed => KeeperRole::HeldFrom(now),
        CellAuthority::Held(_) => {
            KeeperRole::HeldFrom(now + settings.validity_max + settings.validity_margin)
        }
    }
}

fn listed_server(entry: &DirectoryEntry) -> ListedServer {
    ListedServer {
        name: entry.name.clone(),
        is_leaving: entry.state == DirectoryState::Leaving,
    }
}

fn unused_release(permit: PermitKey) -> SlotRelease {
    SlotRelease {
        permit,
        source: String::new(),
        outcome: OutcomeKind::Unused,
        header: Duration::ZERO,
        total: Duration::ZERO,
    }
}

fn cell_refusal(refusal: SlotRefusal) -> CellRefusal {
    match refusal {
        SlotRefusal::Late => CellRefusal::Late,
        SlotRefusal::NoServer => CellRefusal::NoServer,
        SlotRefusal::OverBudget => CellRefusal::OverBudget,
        SlotRefusal::ZoneOut => CellRefusal::ZoneOut,
    }
}
