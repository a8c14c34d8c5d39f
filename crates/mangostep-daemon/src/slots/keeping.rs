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
        cell::{CellRight, KeptCell},
        messages::{CellAnswer, CellAsk, CellRelease},
    },
};

/// Time between two looks at the cells that this host keeps.
const CELL_TICK: Duration = Duration::from_millis(10);

/// Time after which the warm servers are told again though none changed.
const WARM_NEWS_EVERY: Duration = Duration::from_secs(5);

/// Age up to which the news of warm servers are used.
const WARM_NEWS_AGE_MAX: Duration = Duration::from_secs(30);

/// Longest wait for the answer to such news.
const WARM_NEWS_LIMIT: Duration = Duration::from_millis(500);

/// What a keeper tells the host that would follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WarmNews {
    /// Servers that are warm.
    pub(super) warm: Vec<String>,
    /// Whether the keeper has given the cell up and no permit of it is out.
    #[serde(default)]
    pub(super) is_closed: bool,
}

/// News of warm servers as they came in or went out.
#[derive(Clone, Debug)]
pub(super) struct NewsRecord {
    epoch: u64,
    at: MonotonicTime,
    news: WarmNews,
}

/// The name of a cell as a resource that one host holds.
pub(super) fn cell_resource(service: &str, zone: &str) -> String {
    format!("cell/{service}/{zone}")
}

/// The host that grants as a stopgap when the holder cannot be reached.
pub(super) fn deputy<'f>(fleet: &'f FleetView, resource: &str, zone: &str) -> Option<&'f PeerHost> {
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
    /// Answers an ask from this host or another out of a cell kept here.
    pub(super) async fn ask_here(self: &Rc<Self>, source: &str, ask: CellAsk) -> CellAnswer {
        let answer = {
            let now = self.context.clock.now();
            let Some(right) = self.right(now, &ask) else {
                return CellAnswer::not_keeper();
            };
            let (reply, answer) = oneshot::channel();
            let mut cells = self.cells.borrow_mut();
            let Some(cell) = self.cell_under(&mut cells, now, &ask, right) else {
                return CellAnswer::not_keeper();
            };
            let slot_ask = PermitRequest {
                ticket: 0,
                is_retry: ask.is_retry(),
                source: source.to_owned(),
                workspace: ask.workspace,
                time_left: ask.left,
                avoid: ask.avoid,
            };
            cell.ask(now, slot_ask, reply);
            let wishes = cell.take_wishes();
            drop(cells);
            self.seek_ejections(&ask.service, &ask.zone, wishes);
            answer
        };
        answer.await.unwrap_or_else(|_| CellAnswer::not_keeper())
    }

    /// Takes back a slot that was granted here.
    pub(super) fn release_here(self: &Rc<Self>, source: &str, release: &CellRelease) {
        let now = self.context.clock.now();
        let resource = cell_resource(&release.service, &release.zone);
        if let Some(closing) = self.closing.borrow_mut().get_mut(&resource) {
            // A permit of another keeper matches nothing.
            closing.release(now, source, release);
        }
        let mut cells = self.cells.borrow_mut();
        let Some(cell) = cells.get_mut(&resource) else {
            return;
        };
        if !self.may_grant(now, &resource, cell.right()) {
            cell.refuse_waiting(now);
        }
        cell.release(now, source, release);
        let wishes = cell.take_wishes();
        drop(cells);
        self.seek_ejections(&release.service, &release.zone, wishes);
    }

    /// In which right this host may answer an ask at `now`.
    fn right(&self, now: MonotonicTime, ask: &CellAsk) -> Option<CellRight> {
        let resource = cell_resource(&ask.service, &ask.zone);
        if let Some(epoch) = self.context.held_epoch(&resource, now) {
            return Some(CellRight::Held(epoch));
        }
        let fleet = self.context.fleet.load();
        let deputy = deputy(&fleet, &resource, &ask.zone)?;
        let is_deputy = deputy.name == self.context.settings.host;
        let may_act = self.context.standing.holds(now);
        (ask.is_stopgap && is_deputy && may_act).then_some(CellRight::Stopgap)
    }

    /// Whether this host may still act in a right that it had.
    fn may_grant(&self, now: MonotonicTime, resource: &str, right: CellRight) -> bool {
        match right {
            CellRight::Held(epoch) => self.context.held_epoch(resource, now) == Some(epoch),
            CellRight::Stopgap => self.context.standing.holds(now),
        }
    }

    /// The cell of an ask, opened anew when the right to it is another.
    fn cell_under<'c>(
        &self,
        cells: &'c mut std::collections::HashMap<String, KeptCell>,
        now: MonotonicTime,
        ask: &CellAsk,
        right: CellRight,
    ) -> Option<&'c mut KeptCell> {
        let resource = cell_resource(&ask.service, &ask.zone);
        self.settle_right(cells, now, &resource, right);
        if !cells.contains_key(&resource) {
            let news = self.news_for(now, &resource, right);
            let cell = KeptCell::open(&self.context, &ask.service, &ask.zone, right, &news)?;
            cells.insert(resource.clone(), cell);
            self.record_keeping(&resource, right);
        }
        cells.get_mut(&resource)
    }

    /// Promotes a stopgap, or closes a cell kept in a right that is over.
    fn settle_right(
        &self,
        cells: &mut std::collections::HashMap<String, KeptCell>,
        now: MonotonicTime,
        resource: &str,
        right: CellRight,
    ) {
        let Some(cell) = cells.get_mut(resource) else {
            return;
        };
        match (cell.right(), right) {
            (known, right) if known == right => {}
            (CellRight::Stopgap, CellRight::Held(epoch)) => {
                let news = self.news_for(now, resource, right);
                cell.promote(now, epoch, news.is_closed);
                self.record_keeping(resource, right);
            }
            _ => {
                if let Some(cell) = cells.remove(resource) {
                    self.retire(now, resource, cell);
                }
            }
        }
    }

    fn record_keeping(&self, resource: &str, right: CellRight) {
        let (kind, epoch) = match right {
            CellRight::Held(epoch) => ("held", epoch),
            CellRight::Stopgap => ("stopgap", 0),
        };
        let epoch = epoch.to_string();
        let fields = [("cell", resource), ("right", kind), ("epoch", &epoch)];
        self.context.recorder.record("cell-kept", &fields);
    }

    /// Keeps the cells up to date until the thread ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CELL_TICK).await;
            let now = self.context.clock.now();
            self.open_held(now);
            self.tick_cells(now);
            self.close_retired(now);
            let kept = self.kept_cells();
            self.context.kept_cells.store(kept, Ordering::Release);
            self.tell_warm(now);
        }
    }

    /// Opens the cells that this host has come to hold, so that they warm up
    /// and probe before the first ask.
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
            let Some(rest) = resource.strip_prefix("cell/") else {
                continue;
            };
            let (Some((service, zone)), Some(epoch)) =
                (rest.split_once('/'), self.context.held_epoch(resource, now))
            else {
                continue;
            };
            let mut cells = self.cells.borrow_mut();
            let right = CellRight::Held(epoch);
            self.settle_right(&mut cells, now, resource, right);
            if cells.contains_key(resource) {
                continue;
            }
            let news = self.news_for(now, resource, right);
            let cell = KeptCell::open(&self.context, service, zone, right, &news);
            if let Some(cell) = cell {
                cells.insert(resource.clone(), cell);
                self.record_keeping(resource, right);
            }
        }
    }

    fn tick_cells(self: &Rc<Self>, now: MonotonicTime) {
        let mut wishes = Vec::new();
        let mut over = Vec::new();
        for (resource, cell) in self.cells.borrow_mut().iter_mut() {
            if !self.may_grant(now, resource, cell.right()) {
                cell.refuse_waiting(now);
            }
            cell.refresh(&self.context, now);
            cell.tick(now);
            if cell.claim_probes() {
                self.spawn_probes(resource.clone(), cell.salt());
            }
            if self.is_over(now, resource, cell) {
                over.push(resource.clone());
            }
            let found = cell.take_wishes();
            if !found.is_empty() {
                wishes.push((cell.service().to_owned(), cell.zone().to_owned(), found));
            }
        }
        for resource in over {
            let cell = self.cells.borrow_mut().remove(&resource);
            if let Some(cell) = cell {
                self.retire(now, &resource, cell);
            }
        }
        for (service, zone, found) in wishes {
            self.seek_ejections(&service, &zone, found);
        }
    }

    /// Whether a cell should be closed: another host holds it, or a stopgap
    /// has nothing to do.
    fn is_over(&self, now: MonotonicTime, resource: &str, cell: &KeptCell) -> bool {
        let fleet = self.context.fleet.load();
        let own = &self.context.settings.host;
        match cell.right() {
            CellRight::Held(epoch) => {
                let holder = fleet.holder(resource);
                holder.is_none_or(|holder| holder.host != *own || holder.epoch != epoch)
            }
            CellRight::Stopgap => {
                let is_held = self.context.held_epoch(resource, now).is_some();
                !is_held && cell.is_idle(now)
            }
        }
    }

    /// Tells the host that would follow which servers are warm.
    fn tell_warm(self: &Rc<Self>, now: MonotonicTime) {
        let fleet = self.context.fleet.load();
        for (resource, cell) in self.cells.borrow().iter() {
            let CellRight::Held(epoch) = cell.right() else {
                continue;
            };
            let Some(to) = deputy(&fleet, resource, cell.zone()) else {
                continue;
            };
            let news = WarmNews {
                warm: cell.warm(now),
                is_closed: false,
            };
            let key = format!("{resource} {}", to.name);
            let mut told = self.told.borrow_mut();
            let is_known = told.get(&key).is_some_and(|last| {
                last.epoch == epoch && last.news == news && now.since(last.at) < WARM_NEWS_EVERY
            });
            if is_known {
                continue;
            }
            let record = NewsRecord {
                epoch,
                at: now,
                news: news.clone(),
            };
            told.insert(key, record);
            let sending = self
                .clone()
                .send_news(to.peer, resource.clone(), epoch, news);
            tokio::task::spawn_local(sending);
        }
    }

    async fn send_news(
        self: Rc<Self>,
        peer: std::net::SocketAddr,
        resource: String,
        epoch: u64,
        news: WarmNews,
    ) {
        let Ok(state) = serde_json::to_vec(&news) else {
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
        // Lost news are told again.
        let _ = self
            .links
            .call(peer, "hand over", WARM_NEWS_LIMIT, call)
            .await;
    }

    /// Cells that are held, or whose holder waits for this host.
    fn kept_cells(&self) -> u64 {
        let cells = self.cells.borrow();
        let rights = cells.values().map(KeptCell::right);
        let held = rights.filter(|right| matches!(right, CellRight::Held(_)));
        (held.count() + self.closing.borrow().len() + self.handing_over.get()) as u64
    }

    /// Stops granting; a cell that was held stays until its permits are back.
    fn retire(&self, now: MonotonicTime, resource: &str, mut cell: KeptCell) {
        cell.refuse_waiting(now);
        if matches!(cell.right(), CellRight::Held(_)) {
            self.closing.borrow_mut().insert(resource.to_owned(), cell);
        }
    }

    /// Tells the new holders of retired cells once no permit is out.
    fn close_retired(self: &Rc<Self>, now: MonotonicTime) {
        let fleet = self.context.fleet.load();
        self.closing.borrow_mut().retain(|resource, cell| {
            cell.tick(now);
            let CellRight::Held(epoch) = cell.right() else {
                return false;
            };
            if cell.is_running() {
                return true;
            }
            let Some(holder) = fleet.holder(resource).filter(|holder| holder.epoch > epoch) else {
                // Nobody follows yet.
                return !cell.is_idle(now);
            };
            if let Some(host) = fleet.host(&holder.host) {
                let news = WarmNews {
                    warm: cell.warm(now),
                    is_closed: true,
                };
                let sending = self
                    .clone()
                    .send_news(host.peer, resource.clone(), epoch, news);
                let duty = self.clone();
                duty.handing_over.set(duty.handing_over.get() + 1);
                tokio::task::spawn_local(async move {
                    sending.await;
                    duty.handing_over.set(duty.handing_over.get() - 1);
                });
            }
            false
        });
    }

    /// Takes the news of a cell's keeper; false when they are of no use.
    pub(super) fn take_news(&self, resource: &str, epoch: u64, state: &[u8]) -> bool {
        let Ok(news) = serde_json::from_slice::<WarmNews>(state) else {
            return false;
        };
        let mut heard = self.heard.borrow_mut();
        if heard.get(resource).is_some_and(|last| last.epoch > epoch) {
            return false;
        }
        let at = self.context.clock.now();
        if let Some(cell) = self.cells.borrow_mut().get_mut(resource) {
            match cell.right() {
                CellRight::Stopgap => cell.set_warm(&news.warm),
                CellRight::Held(own) if news.is_closed && own == epoch + 1 => {
                    cell.set_warm(&news.warm);
                    cell.follow_closed(at);
                }
                CellRight::Held(_) => {}
            }
        }
        heard.insert(resource.to_owned(), NewsRecord { epoch, at, news });
        true
    }

    /// What this host was told of a cell that it comes to keep.
    fn news_for(&self, now: MonotonicTime, resource: &str, right: CellRight) -> WarmNews {
        let heard = self.heard.borrow();
        let record = heard.get(resource);
        let recent = record.filter(|record| now.since(record.at) <= WARM_NEWS_AGE_MAX);
        let Some(record) = recent else {
            return WarmNews::default();
        };
        // Only the close of the holder right before tells of all permits.
        let follows = right == CellRight::Held(record.epoch + 1);
        WarmNews {
            warm: record.news.warm.clone(),
            is_closed: record.news.is_closed && follows,
        }
    }
}
