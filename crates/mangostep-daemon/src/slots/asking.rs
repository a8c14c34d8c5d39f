use std::{net::SocketAddr, rc::Rc};

use {mangostep_policy::CellChooser, mangostep_wire::peer_capnp::peer_link};

use crate::{
    prelude::*,
    refusal::Refusal,
    slots::{
        SlotDuty, SlotGrant, SlotRequest,
        keeping::{cell_resource, deputy},
        messages::{CellAnswer, CellAsk, CellRefusal},
    },
};

/// Longest wait for a keeper on another host; it answers earlier, if only to
/// say that the request still waits.
const KEEPER_ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// How long a keeper that did not answer is not asked again.
const UNREACHABLE_FOR: Duration = Duration::from_secs(1);

/// Pause between two rounds over all cells of a service.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// How long a request waits for a service without a usable server.
const NO_SERVER_PATIENCE: Duration = Duration::from_millis(500);

/// Why a round over all cells of a service brought no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundEnd {
    /// No cell can meet the deadline.
    Late(Duration),
    /// A cell would have granted a slot in time.
    StillWaiting,
    /// No backend server, or nobody who may grant.
    Nobody,
    /// Every availability zone is out.
    ZonesOut,
    /// The retry budget is spent.
    OverBudget,
}

impl SlotDuty {
    /// Finds a slot for a request that waits on this host.
    pub(crate) async fn open_permit(
        self: &Rc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGrant, Refusal> {
        let begun = self.context.clock.now();
        loop {
            let result = self.ask_all(&request).await;
            let now = self.context.clock.now();
            let end = match result {
                Ok(grant) => {
                    let counters = &self.context.counters;
                    counters.record_slot_wait(&grant.service, &grant.zone, now.since(begun));
                    return Ok(grant);
                }
                Err(end) => end,
            };
            let is_over = match end {
                RoundEnd::StillWaiting => now + ROUND_PAUSE >= request.deadline,
                RoundEnd::Nobody => {
                    let patience_end = (begun + NO_SERVER_PATIENCE).min(request.deadline);
                    now + ROUND_PAUSE >= patience_end
                }
                _ => true,
            };
            if is_over {
                let refusal = refusal_after(end);
                let labels = [
                    ("service", request.service.as_str()),
                    ("reason", refusal.reason),
                ];
                self.context.counters.count("slot-refused", &labels);
                return Err(refusal);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Asks the cells of a service, best first.
    async fn ask_all(self: &Rc<Self>, request: &SlotRequest) -> Result<SlotGrant, RoundEnd> {
        let mut end = RoundEnd::ZonesOut;
        for zone in self.zones_in_order(request) {
            let now = self.context.clock.now();
            let left = request.deadline.since(now);
            if left.is_zero() {
                return Err(RoundEnd::Late(Duration::ZERO));
            }
            let ask = CellAsk {
                service: request.service.clone(),
                zone: zone.clone(),
                workspace: request.workspace.clone(),
                kind: request.kind,
                left,
                avoid: request.avoid.clone(),
                is_stopgap: false,
            };
            let (answer, granter) = self.ask_cell(ask).await;
            self.note_answer(&request.service, &zone, &answer);
            match answer.result {
                Ok(grant) => {
                    return Ok(SlotGrant {
                        permit: grant.permit,
                        service: request.service.clone(),
                        zone,
                        server: grant.server,
                        address: grant.address,
                        granter,
                    });
                }
                Err((CellRefusal::OverBudget, _)) => return Err(RoundEnd::OverBudget),
                Err((refusal, retry_after)) => end = worse_end(end, refusal, retry_after),
            }
        }
        Err(end)
    }

    fn zones_in_order(&self, request: &SlotRequest) -> Vec<String> {
        let now = self.context.clock.now();
        let snapshot = self.context.snapshot.load();
        let Some(service) = snapshot.service(&request.service) else {
            return Vec::new();
        };
        let zones = service.zones.iter().map(String::as_str);
        let zones = zones.filter(|zone| snapshot.zone_is_in(zone));
        let mut choosers = self.choosers.borrow_mut();
        let chooser = choosers.entry(request.service.clone()).or_default();
        let order = chooser.order(now, &self.context.settings.zone, zones);
        order.into_iter().map(str::to_owned).collect()
    }

    fn note_answer(&self, service: &str, zone: &str, answer: &CellAnswer) {
        let now = self.context.clock.now();
        let mut choosers = self.choosers.borrow_mut();
        let Some(chooser) = choosers.get_mut(service) else {
            return;
        };
        note_in(chooser, now, zone, answer);
    }

    /// Asks the keeper of a cell, or its stopgap; tells who answered.
    async fn ask_cell(self: &Rc<Self>, ask: CellAsk) -> (CellAnswer, Option<SocketAddr>) {
        let now = self.context.clock.now();
        let resource = cell_resource(&ask.service, &ask.zone);
        if self.context.held_epoch(&resource, now).is_some() {
            return (self.ask_here(&self.context.settings.host, ask).await, None);
        }
        let holder = self.holder_address(&resource);
        if let Some(keeper) = holder.filter(|keeper| self.may_try(now, *keeper)) {
            match self.ask_there(keeper, &ask).await {
                Ok(answer) if !answer.is_not_keeper() => return (answer, Some(keeper)),
                Ok(_) | Err(_) => {}
            }
        }
        self.ask_stopgap(&resource, ask).await
    }

    async fn ask_stopgap(
        self: &Rc<Self>,
        resource: &str,
        ask: CellAsk,
    ) -> (CellAnswer, Option<SocketAddr>) {
        let ask = CellAsk {
            is_stopgap: true,
            ..ask
        };
        let stopgap = {
            let fleet = self.context.fleet.load();
            deputy(&fleet, resource, &ask.zone).map(|host| (host.name.clone(), host.peer))
        };
        let Some((name, peer)) = stopgap else {
            return (CellAnswer::not_keeper(), None);
        };
        if name == self.context.settings.host {
            return (self.ask_here(&self.context.settings.host, ask).await, None);
        }
        if !self.may_try(self.context.clock.now(), peer) {
            return (CellAnswer::not_keeper(), None);
        }
        match self.ask_there(peer, &ask).await {
            Ok(answer) => (answer, Some(peer)),
            Err(_) => (CellAnswer::not_keeper(), None),
        }
    }

    async fn ask_there(&self, peer: SocketAddr, ask: &CellAsk) -> Result<CellAnswer, DaemonError> {
        let limit = ask.left.min(KEEPER_ANSWER_LIMIT);
        let clock = self.context.recorder.clock();
        let stamp = clock.tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_slot_request();
            request.get().set_stamp(stamp);
            ask.write(request.get().init_ask());
            let response = request.send().promise.await?;
            let response = response.get()?;
            let answer = CellAnswer::read(response.get_answer()?)?;
            Ok((response.get_stamp(), answer))
        };
        match self.links.call(peer, "ask slot", limit, call).await {
            Ok((stamp, answer)) => {
                clock.observe(stamp);
                self.note_reachable(peer);
                Ok(answer)
            }
            Err(err) => {
                self.note_unreachable(peer, &err);
                Err(err)
            }
        }
    }

    fn holder_address(&self, resource: &str) -> Option<SocketAddr> {
        let fleet = self.context.fleet.load();
        let holder = fleet.holder(resource)?;
        let host = fleet.host(&holder.host)?;
        (host.name != self.context.settings.host).then_some(host.peer)
    }

    /// Whether to ask a host; one that did not answer is tried by a single
    /// request at a time.
    fn may_try(&self, now: MonotonicTime, peer: SocketAddr) -> bool {
        match self.unreachable.borrow_mut().get_mut(&peer) {
            None => true,
            Some(until) if *until <= now => {
                *until = now + UNREACHABLE_FOR;
                true
            }
            Some(_) => false,
        }
    }

    fn note_reachable(&self, peer: SocketAddr) {
        if self.unreachable.borrow_mut().remove(&peer).is_some() {
            slog::info!(self.context.log, "keeper reachable"; "peer" => peer.to_string());
        }
    }

    fn note_unreachable(&self, peer: SocketAddr, err: &DaemonError) {
        let until = self.context.clock.now() + UNREACHABLE_FOR;
        if self.unreachable.borrow_mut().insert(peer, until).is_none() {
            self.context.counters.count("keeper-unreachable", &[]);
            slog::info!(self.context.log, "keeper unreachable"; "cause" => err.to_string());
        }
    }
}

impl CellAnswer {
    fn is_not_keeper(&self) -> bool {
        matches!(self.result, Err((CellRefusal::NotKeeper, _)))
    }
}

fn note_in(chooser: &mut CellChooser, now: MonotonicTime, zone: &str, answer: &CellAnswer) {
    match answer.result {
        Ok(_) | Err((CellRefusal::Late, _)) => chooser.record_load(now, zone, answer.load),
        Err((CellRefusal::NotKeeper | CellRefusal::ZoneOut | CellRefusal::NoServer, _)) => {
            chooser.record_unreachable(now, zone);
        }
        Err((CellRefusal::OverBudget, _)) => {}
    }
}

/// What the refusals of a round come to: as long as one cell could grant a
/// slot later, the request waits on.
fn worse_end(end: RoundEnd, refusal: CellRefusal, retry_after: Duration) -> RoundEnd {
    let this = match refusal {
        CellRefusal::Late if retry_after.is_zero() => RoundEnd::StillWaiting,
        CellRefusal::Late => RoundEnd::Late(retry_after),
        CellRefusal::NoServer | CellRefusal::NotKeeper => RoundEnd::Nobody,
        CellRefusal::ZoneOut => RoundEnd::ZonesOut,
        CellRefusal::OverBudget => RoundEnd::OverBudget,
    };
    let rank = |end| match end {
        RoundEnd::ZonesOut => 0,
        RoundEnd::Nobody => 1,
        RoundEnd::Late(_) => 2,
        RoundEnd::StillWaiting => 3,
        RoundEnd::OverBudget => 4,
    };
    if rank(this) > rank(end) { this } else { end }
}

fn refusal_after(end: RoundEnd) -> Refusal {
    match end {
        RoundEnd::Late(wait) if !wait.is_zero() => {
            Refusal::not_run(503, "no-slot-in-time").with_retry_after(wait)
        }
        RoundEnd::Late(_) | RoundEnd::StillWaiting => Refusal::not_run(503, "no-slot-in-time"),
        RoundEnd::Nobody => Refusal::not_run(503, "no-server"),
        RoundEnd::ZonesOut => Refusal::not_run(503, "zones-out"),
        RoundEnd::OverBudget => Refusal::not_run(503, "retry-budget"),
    }
}
