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
        keeping::WarmNews,
        messages::{CellAnswer, CellGrant, CellRefusal, CellRelease},
    },
};

/// Time without an ask after which a cell counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// In which right this host grants slots of a cell now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellRight {
    /// It holds the cell under an epoch.
    Held(u64),
    /// The holder could not be reached.
    Stopgap,
}

/// An ejection that the keeper wants.
#[derive(Debug)]
pub(super) struct EjectionWish {
    pub(super) server: String,
    pub(super) hold: Duration,
    pub(super) reason: &'static str,
}

/// One cell that this host keeps, with the askers that wait.
#[derive(Debug)]
pub(super) struct KeptCell {
    service: String,
    zone: String,
    keeper: SlotKeeper<CellDetector>,
    settings: KeeperSettings,
    right: CellRight,
    /// Makes the permits of one keeper unlike those of any other.
    salt: u64,
    tickets: Slab<oneshot::Sender<CellAnswer>>,
    config_version: u64,
    listed: Vec<ListedServer>,
    /// The directory that `listed` comes from.
    directory: Arc<Vec<DirectoryEntry>>,
    /// The hosts whose availability zones the keeper knows.
    fleet: Arc<FleetView>,
    has_prober: bool,
    addresses: HashMap<String, SocketAddr>,
    wishes: Vec<EjectionWish>,
    asked: MonotonicTime,
}

impl KeptCell {
    /// Opens a keeper with the servers that the one before knew as warm.
    ///
    /// Returns none when the configuration has no such cell.
    pub(super) fn open(
        context: &HostContext,
        service: &str,
        zone: &str,
        right: CellRight,
        news: &WarmNews,
    ) -> Option<Self> {
        let snapshot = context.snapshot.load();
        let settings = keeper_settings(&snapshot, service)?;
        let now = context.clock.now();
        let term = term_of(right, now, &settings, news.is_closed);
        let mut cell = KeptCell {
            service: service.to_owned(),
            zone: zone.to_owned(),
            keeper: SlotKeeper::new(settings, term, CellDetector::default()),
            settings,
            right,
            salt: rand::random(),
            tickets: Slab::new(),
            config_version: 0,
            listed: Vec::new(),
            directory: Arc::default(),
            fleet: Arc::default(),
            has_prober: false,
            addresses: HashMap::new(),
            wishes: Vec::new(),
            asked: now,
        };
        cell.refresh(context, now);
        cell.set_warm(&news.warm);
        Some(cell)
    }

    pub(super) fn service(&self) -> &str {
        &self.service
    }

    pub(super) fn zone(&self) -> &str {
        &self.zone
    }

    /// Differs from that of any other keeper.
    pub(super) fn salt(&self) -> u64 {
        self.salt
    }

    pub(super) fn right(&self) -> CellRight {
        self.right
    }

    /// Whether no permit is out, and nobody has asked for some time.
    pub(super) fn is_idle(&self, now: MonotonicTime) -> bool {
        let is_busy = self.keeper.in_flight() > 0 || self.keeper.waiting() > 0;
        !is_busy && now.since(self.asked) > IDLE_AFTER
    }

    /// Whether the cell is held and nobody probes its servers yet; the asker
    /// does from now on.
    pub(super) fn claim_probes(&mut self) -> bool {
        let is_claimed = matches!(self.right, CellRight::Held(_)) && !self.has_prober;
        self.has_prober |= is_claimed;
        is_claimed
    }

    /// The servers that are known to be warm.
    pub(super) fn warm(&self, now: MonotonicTime) -> Vec<String> {
        self.keeper.warm_servers(now).map(str::to_owned).collect()
    }

    /// The servers of the cell with their addresses.
    pub(super) fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let pairs = self.addresses.iter();
        pairs.map(|(name, address)| (name.as_str(), *address))
    }

    /// Takes over which servers the keeper knows as warm.
    pub(super) fn set_warm(&mut self, warm: &[String]) {
        self.keeper
            .set_warm_servers(warm.iter().map(String::as_str));
    }

    /// Turns a stopgap into the holder, whose full right begins once the
    /// permits of the holder before have run out.
    pub(super) fn promote(&mut self, now: MonotonicTime, epoch: u64, is_closed: bool) {
        self.right = CellRight::Held(epoch);
        let term = term_of(self.right, now, &self.settings, is_closed);
        self.keeper.set_role(term);
    }

    /// Grants in full right, since the holder before has closed its cell.
    pub(super) fn follow_closed(&mut self, now: MonotonicTime) {
        self.keeper.set_role(KeeperRole::HeldFrom(now));
        self.apply(now, KeeperEvent::Tick);
    }

    /// Whether a permit is out.
    pub(super) fn is_running(&self) -> bool {
        self.keeper.in_flight() > 0
    }

    /// Takes over what the configuration and the directory say now.
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
        let own =
            |entry: &&DirectoryEntry| entry.service == self.service && entry.zone == self.zone;
        let listed: Vec<ListedServer> = servers.iter().filter(own).map(list).collect();
        self.addresses = servers
            .iter()
            .filter(own)
            .map(|entry| (entry.name.clone(), entry.address))
            .collect();
        self.directory = servers;
        if listed != self.listed {
            self.listed = listed.clone();
            self.apply(now, KeeperEvent::Servers(listed));
        }
    }

    /// Puts an ask in; the answer comes through `reply`.
    pub(super) fn ask(
        &mut self,
        now: MonotonicTime,
        ask: PermitRequest,
        reply: oneshot::Sender<CellAnswer>,
    ) {
        self.asked = now;
        let ticket = self.tickets.insert(reply) as u64;
        self.apply(now, KeeperEvent::Request(PermitRequest { ticket, ..ask }));
    }

    /// Takes a slot back.
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

    /// Sends all that wait elsewhere, since this host may not grant now.
    pub(super) fn refuse_waiting(&mut self, now: MonotonicTime) {
        for (ticket, reply) in std::mem::take(&mut self.tickets) {
            let ticket = ticket as u64;
            self.apply(now, KeeperEvent::Cancel { ticket });
            // The asker may have given up.
            let _ = reply.send(CellAnswer::not_keeper());
        }
    }

    /// Lets the keeper act if its time has come.
    pub(super) fn tick(&mut self, now: MonotonicTime) {
        if self.keeper.next_wake().is_some_and(|wake| wake <= now) {
            self.apply(now, KeeperEvent::Tick);
        }
    }

    /// Applies one event and answers the askers that it settles.
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
                    let refusal = refusal_of(refusal);
                    self.answer(now, ticket, Err((refusal, retry_after)));
                }
                KeeperAction::RequestEjection {
                    server,
                    hold,
                    reason,
                } => self.wishes.push(EjectionWish {
                    server,
                    hold,
                    reason,
                }),
            }
        }
    }

    /// The ejections that the keeper has asked for since the last call.
    pub(super) fn take_wishes(&mut self) -> Vec<EjectionWish> {
        std::mem::take(&mut self.wishes)
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

    /// Answers an asker; false when it has gone away.
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

/// Nobody has held a cell before its first epoch, so no permit is out; none is
/// either when the holder before has closed its cell.
fn term_of(
    right: CellRight,
    now: MonotonicTime,
    settings: &KeeperSettings,
    is_closed: bool,
) -> KeeperRole {
    match right {
        CellRight::Stopgap => KeeperRole::Stopgap,
        CellRight::Held(epoch) if epoch <= 1 || is_closed => KeeperRole::HeldFrom(now),
        CellRight::Held(_) => {
            KeeperRole::HeldFrom(now + settings.validity_max + settings.validity_margin)
        }
    }
}

fn list(entry: &DirectoryEntry) -> ListedServer {
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

fn refusal_of(refusal: SlotRefusal) -> CellRefusal {
    match refusal {
        SlotRefusal::Late => CellRefusal::Late,
        SlotRefusal::NoServer => CellRefusal::NoServer,
        SlotRefusal::OverBudget => CellRefusal::OverBudget,
        SlotRefusal::ZoneOut => CellRefusal::ZoneOut,
    }
}
