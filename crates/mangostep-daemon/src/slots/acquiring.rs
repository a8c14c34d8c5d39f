use std::{net::SocketAddr, rc::Rc};

use {mangostep_policy::CellChooser, mangostep_wire::peer_capnp::peer_link};

use crate::{
    prelude::*,
    refusal::Refusal,
    slots::{
        SlotDuty, SlotGrant, SlotRequest,
        local_cells::{cell_resource, stopgap_host},
        messages::{CellAnswer, CellRefusal, CellRequest},
    },
};

/// A keeper answers within this time even when the request still waits.
const KEEPER_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between attempts to reach a host that did not answer.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Pause between two rounds over all cells of a service.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait of a request for a service without a usable server.
const NO_SERVER_WAIT_MAX: Duration = Duration::from_millis(500);

/// Why a round over all cells of a service did not yield a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundFailure {
    /// No cell can meet the deadline; the time after which to retry.
    Late(Duration),
    /// A cell may still grant a slot before the deadline.
    StillWaiting,
    /// No cell has a usable backend server and a reachable keeper.
    Unavailable,
    /// Every availability zone is out of service.
    ZonesOut,
    /// The retry budget is spent.
    OverBudget,
}

impl SlotDuty {
    /// Acquires a slot for a request of this host, in repeated rounds over all
    /// cells of the service.
    pub(crate) async fn open_permit(
        self: &Rc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGrant, Refusal> {
        let started = self.context.clock.now();
        loop {
            let result = self.request_from_all(&request).await;
            let now = self.context.clock.now();
            let failure = match result {
                Ok(grant) => {
                    let counters = &self.context.counters;
                    counters.record_slot_wait(&grant.service, &grant.zone, now.since(started));
                    return Ok(grant);
                }
                Err(failure) => failure,
            };
            let is_final = match failure {
                RoundFailure::StillWaiting => now + ROUND_PAUSE >= request.deadline,
                RoundFailure::Unavailable => {
                    let wait_end = (started + NO_SERVER_WAIT_MAX).min(request.deadline);
                    now + ROUND_PAUSE >= wait_end
                }
                _ => true,
            };
            if is_final {
                let refusal = refusal_for(failure);
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

    /// Requests a slot from each cell of a service in order of preference.
    async fn request_from_all(
        self: &Rc<Self>,
        request: &SlotRequest,
    ) -> Result<SlotGrant, RoundFailure> {
        let mut failure = RoundFailure::ZonesOut;
        for zone in self.zones_in_order(request) {
            let now = self.context.clock.now();
            let time_left = request.deadline.since(now);
            if time_left.is_zero() {
                return Err(RoundFailure::Late(Duration::ZERO));
            }
            let cell_request = CellRequest {
                service: request.service.clone(),
                zone: zone.clone(),
                workspace: request.workspace.clone(),
                kind: request.kind,
                time_left,
                avoid: request.avoid.clone(),
                is_stopgap: false,
            };
            let (answer, granter) = self.request_from_cell(cell_request).await;
            self.record_answer(&request.service, &zone, &answer);
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
                Err((CellRefusal::OverBudget, _)) => return Err(RoundFailure::OverBudget),
                Err((refusal, retry_after)) => {
                    failure = combine_failures(failure, refusal, retry_after);
                }
            }
        }
        Err(failure)
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

    fn record_answer(&self, service: &str, zone: &str, answer: &CellAnswer) {
        let now = self.context.clock.now();
        let mut choosers = self.choosers.borrow_mut();
        let Some(chooser) = choosers.get_mut(service) else {
            return;
        };
        record_in_chooser(chooser, now, zone, answer);
    }

    /// Requests a slot from the keeper of a cell or else from its stopgap
    /// host.
    ///
    /// Returns the answer with the peer address of the host that gave it,
    /// which is `None` for this host.
    async fn request_from_cell(
        self: &Rc<Self>,
        cell_request: CellRequest,
    ) -> (CellAnswer, Option<SocketAddr>) {
        let now = self.context.clock.now();
        let resource = cell_resource(&cell_request.service, &cell_request.zone);
        if self.context.held_epoch(&resource, now).is_some() {
            return (
                self.request_locally(&self.context.settings.host, cell_request)
                    .await,
                None,
            );
        }
        let holder = self.holder_address(&resource);
        if let Some(keeper) = holder.filter(|keeper| self.may_try(now, *keeper)) {
            match self.request_from_peer(keeper, &cell_request).await {
                Ok(answer) if !answer.is_not_keeper() => return (answer, Some(keeper)),
                Ok(_) | Err(_) => {}
            }
        }
        self.request_from_stopgap(&resource, cell_request).await
    }

    async fn request_from_stopgap(
        self: &Rc<Self>,
        resource: &str,
        cell_request: CellRequest,
    ) -> (CellAnswer, Option<SocketAddr>) {
        let cell_request = CellRequest {
            is_stopgap: true,
            ..cell_request
        };
        let stopgap = {
            let fleet = self.context.fleet.load();
            stopgap_host(&fleet, resource, &cell_request.zone)
                .map(|host| (host.name.clone(), host.peer))
        };
        let Some((name, peer)) = stopgap else {
            return (CellAnswer::not_keeper(), None);
        };
        if name == self.context.settings.host {
            return (
                self.request_locally(&self.context.settings.host, cell_request)
                    .await,
                None,
            );
        }
        if !self.may_try(self.context.clock.now(), peer) {
            return (CellAnswer::not_keeper(), None);
        }
        match self.request_from_peer(peer, &cell_request).await {
            Ok(answer) => (answer, Some(peer)),
            Err(_) => (CellAnswer::not_keeper(), None),
        }
    }

    async fn request_from_peer(
        &self,
        peer: SocketAddr,
        cell_request: &CellRequest,
    ) -> Result<CellAnswer, DaemonError> {
        let limit = cell_request.time_left.min(KEEPER_ANSWER_TIMEOUT);
        let clock = self.context.recorder.clock();
        let stamp = clock.tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_slot_request();
            request.get().set_stamp(stamp);
            cell_request.write(request.get().init_ask());
            let response = request.send().promise.await?;
            let response = response.get()?;
            let answer = CellAnswer::read(response.get_answer()?)?;
            Ok((response.get_stamp(), answer))
        };
        match self.links.call(peer, "request slot", limit, call).await {
            Ok((stamp, answer)) => {
                clock.observe(stamp);
                self.record_reachable(peer);
                Ok(answer)
            }
            Err(err) => {
                self.record_unreachable(peer, &err);
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

    /// Whether to send a request to a host. A host that did not answer gets
    /// one attempt in each `UNREACHABLE_BACKOFF`.
    fn may_try(&self, now: MonotonicTime, peer: SocketAddr) -> bool {
        match self.unreachable.borrow_mut().get_mut(&peer) {
            None => true,
            Some(until) if *until <= now => {
                *until = now + UNREACHABLE_BACKOFF;
                true
            }
            Some(_) => false,
        }
    }

    fn record_reachable(&self, peer: SocketAddr) {
        if self.unreachable.borrow_mut().remove(&peer).is_some() {
            slog::info!(self.context.log, "keeper reachable"; "peer" => peer.to_string());
        }
    }

    fn record_unreachable(&self, peer: SocketAddr, err: &DaemonError) {
        let until = self.context.clock.now() + UNREACHABLE_BACKOFF;
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

fn record_in_chooser(
    chooser: &mut CellChooser,
    now: MonotonicTime,
    zone: &str,
    answer: &CellAnswer,
) {
    match answer.result {
        Ok(_) | Err((CellRefusal::Late, _)) => chooser.record_load(now, zone, answer.load),
        Err((CellRefusal::NotKeeper | CellRefusal::ZoneOut | CellRefusal::NoServer, _)) => {
            chooser.record_unreachable(now, zone);
        }
        Err((CellRefusal::OverBudget, _)) => {}
    }
}

/// Combines a refusal with the earlier failures of a round. The request keeps
/// waiting while any cell could still grant a slot.
fn combine_failures(
    failure: RoundFailure,
    refusal: CellRefusal,
    retry_after: Duration,
) -> RoundFailure {
    let latest = match refusal {
        CellRefusal::Late if retry_after.is_zero() => RoundFailure::StillWaiting,
        CellRefusal::Late => RoundFailure::Late(retry_after),
        CellRefusal::NoServer | CellRefusal::NotKeeper => RoundFailure::Unavailable,
        CellRefusal::ZoneOut => RoundFailure::ZonesOut,
        CellRefusal::OverBudget => RoundFailure::OverBudget,
    };
    let rank = |failure| match failure {
        RoundFailure::ZonesOut => 0,
        RoundFailure::Unavailable => 1,
        RoundFailure::Late(_) => 2,
        RoundFailure::StillWaiting => 3,
        RoundFailure::OverBudget => 4,
    };
    if rank(latest) > rank(failure) {
        latest
    } else {
        failure
    }
}

fn refusal_for(failure: RoundFailure) -> Refusal {
    match failure {
        RoundFailure::Late(wait) if !wait.is_zero() => {
            Refusal::not_run(503, "no-slot-in-time").with_retry_after(wait)
        }
        RoundFailure::Late(_) | RoundFailure::StillWaiting => {
            Refusal::not_run(503, "no-slot-in-time")
        }
        RoundFailure::Unavailable => Refusal::not_run(503, "no-server"),
        RoundFailure::ZonesOut => Refusal::not_run(503, "zones-out"),
        RoundFailure::OverBudget => Refusal::not_run(503, "retry-budget"),
    }
}
