use std::{rc::Rc, sync::atomic::Ordering};

use {
    mangostep_policy::{PermitRequest, rendezvous_order},
    serde::{Deserialize, Serialize},
    tokio::sync::oneshot,
};

use crate::{
    context::{FleetView, PeerHost},
    prelude::*,
    slots::{
        SlotDuty,
        cell::{CellAuthority, LocalCell},
        messages::{CellAnswer, CellRelease, CellRequest},
    },
};

const CELL_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which an unchanged update is sent again.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest age of a received update that a new keeper still uses.
const UPDATE_AGE_MAX: Duration = Duration::from_secs(30);

const UPDATE_TIMEOUT: Duration = Duration::from_millis(500);

/// An update from a slot keeper to the host that would succeed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeeperUpdate {
    /// Names of the warm servers.
    pub(super) warm: Vec<String>,
    /// Whether the keeper has closed the cell and none of its permits is open.
    #[serde(default)]
    pub(super) is_closed: bool,
}

/// A sent or received update, with its epoch and time.
#[derive(Clone, Debug)]
pub(super) struct UpdateRecord {
    epoch: u64,
    at: MonotonicTime,
    update: KeeperUpdate,
}

/// Name of the resource that the holder of a cell is assigned.
pub(super) fn cell_resource(service: &str, zone: &str) -> String {
    format!("cell/{service}/{zone}")
}

/// The host that grants slots of a cell while its holder cannot be reached.
pub(super) fn stopgap_host<'f>(
    fleet: &'f FleetView,
    resource: &str,
    zone: &str,
) -> Option<&'f PeerHost> {
    let holder = fleet.holder(resource).map(|holder| holder.host.as_str());
    let is_candidate = |host: &&PeerHost| !host.leaving && holder != Some(host.name.as_str());
    let in_zone = fleet.hosts.iter().filter(|host| host.zone == zone);
    let mut names: Vec<&str> = in_zone
        .filter(is_candidate)
        .map(|h| h.name.as_str())
        .collect();
    if names.is_empty() {
        let all = fleet.hosts.iter().filter(is_candidate);
        names = all.map(|host| host.name.as_str()).collect();
    }
    let order = rendezvous_order(resource, names);
    fleet.host(order.first()?)
}

impl SlotDuty {
    /// Answers a slot request of this or another host from a local cell.
    pub(super) async fn request_locally(
        self: &Rc<Self>,
        source: &str,
        request: CellRequest,
    ) -> CellAnswer {
        let answer = {
            let now = self.context.clock.now();
            let Some(authority) = self.authority(now, &request) else {
                return CellAnswer::not_keeper();
            };
            let (reply, answer) = oneshot::channel();
            let mut cells = self.cells.borrow_mut();
            let Some(cell) = self.open_cell_for(&mut cells, now, &request, authority) else {
                return CellAnswer::not_keeper();
            };
            let permit_request = PermitRequest {
                ticket: 0,
                is_retry: request.is_retry(),
                source: source.to_owned(),
                workspace: request.workspace,
                time_left: request.time_left,
                avoid: request.avoid,
            };
            cell.request(now, permit_request, reply);
            let ejection_requests = cell.take_ejection_requests();
            drop(cells);
            self.request_ejections(&request.service, &request.zone, ejection_requests);
            answer
        };
        answer.await.unwrap_or_else(|_| CellAnswer::not_keeper())
    }

    /// Releases a slot that this host granted.
    pub(super) fn release_locally(self: &Rc<Self>, source: &str, release: &CellRelease) {
        let now = self.context.clock.now();
        let resource = cell_resource(&release.service, &release.zone);
        if let Some(retired) = self.retired.borrow_mut().get_mut(&resource) {
            // A keeper ignores permits that it did not grant, so the release
            // can go to both.
            retired.release(now, source, release);
        }
        let mut cells = self.cells.borrow_mut();
        let Some(cell) = cells.get_mut(&resource) else {
            return;
        };
        if !self.may_grant(now, &resource, cell.authority()) {
            cell.refuse_waiting(now);
        }
        cell.release(now, source, release);
        let ejection_requests = cell.take_ejection_requests();
        drop(cells);
        self.request_ejections(&release.service, &release.zone, ejection_requests);
    }

    /// The authority under which this host may answer a request at `now`.
    fn authority(&self, now: MonotonicTime, request: &CellRequest) -> Option<CellAuthority> {
        let resource = cell_resource(&request.service, &request.zone);
        if let Some(epoch) = self.context.held_epoch(&resource, now) {
            return Some(CellAuthority::Held(epoch));
        }
        let fleet = self.context.fleet.load();
        let host = stopgap_host(&fleet, &resource, &request.zone)?;
        let is_stopgap_host = host.name == self.context.settings.host;
        let may_act = self.context.standing.holds(now);
        (request.is_stopgap && is_stopgap_host && may_act).then_some(CellAuthority::Stopgap)
    }

    /// Whether an authority that this host was given is still valid.
    fn may_grant(&self, now: MonotonicTime, resource: &str, authority: CellAuthority) -> bool {
        match authority {
            CellAuthority::Held(epoch) => self.context.held_epoch(resource, now) == Some(epoch),
            CellAuthority::Stopgap => self.context.standing.holds(now),
        }
    }

    /// The local cell for a request; opens it if there is none yet for the
    /// authority.
    fn open_cell_for<'c>(
        &self,
        cells: &'c mut std::collections::HashMap<String, LocalCell>,
        now: MonotonicTime,
        request: &CellRequest,
        authority: CellAuthority,
    ) -> Option<&'c mut LocalCell> {
        let resource = cell_resource(&request.service, &request.zone);
        self.apply_authority(cells, now, &resource, authority);
        if !cells.contains_key(&resource) {
            let update = self.update_for(now, &resource, authority);
            let cell = LocalCell::open(
                &self.context,
                &request.service,
                &request.zone,
                authority,
                &update,
            )?;
            cells.insert(resource.clone(), cell);
            self.record_authority(&resource, authority);
        }
        cells.get_mut(&resource)
    }

    /// Promotes a stopgap cell, or retires a cell whose authority has ended.
    fn apply_authority(
        &self,
        cells: &mut std::collections::HashMap<String, LocalCell>,
        now: MonotonicTime,
        resource: &str,
        authority: CellAuthority,
    ) {
        let Some(cell) = cells.get_mut(resource) else {
            return;
        };
        match (cell.authority(), authority) {
            (current, authority) if current == authority => {}
            (CellAuthority::Stopgap, CellAuthority::Held(epoch)) => {
                let update = self.update_for(now, resource, authority);
                cell.promote(now, epoch, update.is_closed);
                self.record_authority(resource, authority);
            }
            _ => {
                if let Some(cell) = cells.remove(resource) {
                    self.retire(now, resource, cell);
                }
            }
        }
    }

    fn record_authority(&self, resource: &str, authority: CellAuthority) {
        let (kind, epoch) = match authority {
            CellAuthority::Held(epoch) => ("held", epoch),
            CellAuthority::Stopgap => ("stopgap", 0),
        };
        let epoch = epoch.to_string();
        let fields = [("cell", resource), ("right", kind), ("epoch", &epoch)];
        self.context.recorder.record("cell-kept", &fields);
    }

    /// Updates the local cells periodically until the thread ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CELL_TICK_INTERVAL).await;
            let now = self.context.clock.now();
            self.open_held(now);
            self.tick_cells(now);
            self.close_retired(now);
            let open_cells = self.open_cells();
            self.context.open_cells.store(open_cells, Ordering::Release);
            self.send_updates(now);
        }
    }

    /// Opens newly held cells, so that their servers warm up and are probed
    /// before the first request.
    fn open_held(self: &Rc<Self>, now: MonotonicTime) {
        let fleet = self.context.fleet.load();
        if Arc::ptr_eq(&fleet, &self.seen_fleet.borrow()) {
            return;
        }
        self.seen_fleet.replace(fleet.clone());
        let own = &self.context.settings.host;
        let held = fleet
            .holders
            .iter()
            .filter(|(_, holder)| holder.host == *own);
        for (resource, _) in held {
            let Some(cell_name) = resource.strip_prefix("cell/") else {
                continue;
            };
            let (Some((service, zone)), Some(epoch)) = (
                cell_name.split_once('/'),
                self.context.held_epoch(resource, now),
            ) else {
                continue;
            };
            let mut cells = self.cells.borrow_mut();
            let authority = CellAuthority::Held(epoch);
            self.apply_authority(&mut cells, now, resource, authority);
            if cells.contains_key(resource) {
                continue;
            }
            let update = self.update_for(now, resource, authority);
            let cell = LocalCell::open(&self.context, service, zone, authority, &update);
            if let Some(cell) = cell {
                cells.insert(resource.clone(), cell);
                self.record_authority(resource, authority);
            }
        }
    }

    fn tick_cells(self: &Rc<Self>, now: MonotonicTime) {
        let mut ejection_requests = Vec::new();
        let mut to_close = Vec::new();
        for (resource, cell) in self.cells.borrow_mut().iter_mut() {
            if !self.may_grant(now, resource, cell.authority()) {
                cell.refuse_waiting(now);
            }
            cell.refresh(&self.context, now);
            cell.tick(now);
            if cell.claim_probes() {
                self.spawn_probes(resource.clone(), cell.salt());
            }
            if self.should_close(now, resource, cell) {
                to_close.push(resource.clone());
            }
            let found = cell.take_ejection_requests();
            if !found.is_empty() {
                ejection_requests.push((cell.service().to_owned(), cell.zone().to_owned(), found));
            }
        }
        for resource in to_close {
            let cell = self.cells.borrow_mut().remove(&resource);
            if let Some(cell) = cell {
                self.retire(now, &resource, cell);
            }
        }
        for (service, zone, found) in ejection_requests {
            self.request_ejections(&service, &zone, found);
        }
    }

    /// Whether to close a cell: its epoch has ended, or it is an idle stopgap
    /// of a cell that this host does not hold.
    fn should_close(&self, now: MonotonicTime, resource: &str, cell: &LocalCell) -> bool {
        let fleet = self.context.fleet.load();
        let own = &self.context.settings.host;
        match cell.authority() {
            CellAuthority::Held(epoch) => {
                let holder = fleet.holder(resource);
                holder.is_none_or(|holder| holder.host != *own || holder.epoch != epoch)
            }
            CellAuthority::Stopgap => {
                let is_held = self.context.held_epoch(resource, now).is_some();
                !is_held && cell.is_idle(now)
            }
        }
    }

    /// Sends the warm servers of held cells to the hosts that would take over.
    fn send_updates(self: &Rc<Self>, now: MonotonicTime) {
        let fleet = self.context.fleet.load();
        for (resource, cell) in self.cells.borrow().iter() {
            let CellAuthority::Held(epoch) = cell.authority() else {
                continue;
            };
            let Some(successor) = stopgap_host(&fleet, resource, cell.zone()) else {
                continue;
            };
            let update = KeeperUpdate {
                warm: cell.warm(now),
                is_closed: false,
            };
            let key = format!("{resource} {}", successor.name);
            let mut sent_updates = self.sent_updates.borrow_mut();
            let is_up_to_date = sent_updates.get(&key).is_some_and(|last| {
                last.epoch == epoch && last.update == update && now.since(last.at) < UPDATE_INTERVAL
            });
            if is_up_to_date {
                continue;
            }
            let record = UpdateRecord {
                epoch,
                at: now,
                update: update.clone(),
            };
            sent_updates.insert(key, record);
            let sending = self
                .clone()
                .send_update(successor.peer, resource.clone(), epoch, update);
            tokio::task::spawn_local(sending);
        }
    }

    async fn send_update(
        self: Rc<Self>,
        peer: std::net::SocketAddr,
        resource: String,
        epoch: u64,
        update: KeeperUpdate,
    ) {
        let Ok(state) = serde_json::to_vec(&update) else {
            return;
        };
        let stamp = self.context.recorder.clock().tick();
        let call = |link: mangostep_wire::peer_capnp::peer_link::Client| async move {
            let mut request = link.hand_over_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            params.set_resource(&resource);
            params.set_epoch(epoch);
            params.set_state(&state);
            request.send().promise.await.map(|_| ())
        };
        // A lost update of warm servers is repeated after UPDATE_INTERVAL.
        // Without a close update, the new holder waits until all permits of
        // this host have expired.
        let _ = self
            .links
            .call(peer, "hand over", UPDATE_TIMEOUT, call)
            .await;
    }

    /// Number of cells that this host holds or has not yet handed over.
    fn open_cells(&self) -> u64 {
        let cells = self.cells.borrow();
        let authorities = cells.values().map(LocalCell::authority);
        let held = authorities.filter(|authority| matches!(authority, CellAuthority::Held(_)));
        (held.count() + self.retired.borrow().len() + self.close_updates_in_flight.get()) as u64
    }

    /// Stops granting; a held cell remains until its permits are returned.
    fn retire(&self, now: MonotonicTime, resource: &str, mut cell: LocalCell) {
        cell.refuse_waiting(now);
        if matches!(cell.authority(), CellAuthority::Held(_)) {
            self.retired.borrow_mut().insert(resource.to_owned(), cell);
        }
    }

    /// Notifies the new holder of each retired cell that has no open permit.
    fn close_retired(self: &Rc<Self>, now: MonotonicTime) {
        let fleet = self.context.fleet.load();
        self.retired.borrow_mut().retain(|resource, cell| {
            cell.tick(now);
            let CellAuthority::Held(epoch) = cell.authority() else {
                return false;
            };
            if cell.has_open_permits() {
                return true;
            }
            let Some(holder) = fleet.holder(resource).filter(|holder| holder.epoch > epoch) else {
                // There is no new holder yet.
                return !cell.is_idle(now);
            };
            if let Some(host) = fleet.host(&holder.host) {
                let update = KeeperUpdate {
                    warm: cell.warm(now),
                    is_closed: true,
                };
                let sending = self
                    .clone()
                    .send_update(host.peer, resource.clone(), epoch, update);
                let duty = self.clone();
                duty.close_updates_in_flight
                    .set(duty.close_updates_in_flight.get() + 1);
                tokio::task::spawn_local(async move {
                    sending.await;
                    duty.close_updates_in_flight
                        .set(duty.close_updates_in_flight.get() - 1);
                });
            }
            false
        });
    }

    /// Applies an update from a cell's keeper; false when the update is
    /// malformed or outdated.
    pub(super) fn receive_update(&self, resource: &str, epoch: u64, state: &[u8]) -> bool {
        let Ok(update) = serde_json::from_slice::<KeeperUpdate>(state) else {
            return false;
        };
        let mut received_updates = self.received_updates.borrow_mut();
        if received_updates
            .get(resource)
            .is_some_and(|last| last.epoch > epoch)
        {
            return false;
        }
        let at = self.context.clock.now();
        if let Some(cell) = self.cells.borrow_mut().get_mut(resource) {
            match cell.authority() {
                CellAuthority::Stopgap => cell.set_warm(&update.warm),
                CellAuthority::Held(own) if update.is_closed && own == epoch + 1 => {
                    cell.set_warm(&update.warm);
                    cell.start_after_close(at);
                }
                CellAuthority::Held(_) => {}
            }
        }
        received_updates.insert(resource.to_owned(), UpdateRecord { epoch, at, update });
        true
    }

    /// The last update received about a cell that this host is about to open.
    fn update_for(
        &self,
        now: MonotonicTime,
        resource: &str,
        authority: CellAuthority,
    ) -> KeeperUpdate {
        let received_updates = self.received_updates.borrow();
        let record = received_updates.get(resource);
        let recent = record.filter(|record| now.since(record.at) <= UPDATE_AGE_MAX);
        let Some(record) = recent else {
            return KeeperUpdate::default();
        };
        // Only a close by the direct predecessor covers all open permits.
        let follows = authority == CellAuthority::Held(record.epoch + 1);
        KeeperUpdate {
            warm: record.update.warm.clone(),
            is_closed: record.update.is_closed && follows,
        }
    }
}
