use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use {
    mangostep_policy::{
        FleetLimit, HomeKey, HomeRoute, Machine, RequesterAction, RequesterEvent,
        RequesterSettings, TokenGrant, TokenRefusal, TokenRequest, TokenRequester, WaiterId,
        WaitingRequest,
    },
    mangostep_wire::peer_capnp::{TokenMode, peer_link},
    tokio::sync::{Notify, oneshot},
};

use crate::{
    limits::{
        home_table::HomeTable,
        limit_name::{LimitName, fleet_limit},
        token_messages::{read_grant, write_token_request},
    },
    peer::PeerLinks,
    prelude::*,
    refusal::Refusal,
};

/// Interval between comparisons of the open homes with their current holders.
const HOME_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between removals of full buckets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Requests tokens and serves the limit homes of this host, on the peer
/// thread.
pub(crate) struct LimitDuty {
    pub(super) context: Arc<HostContext>,
    pub(super) links: Rc<PeerLinks>,
    pub(super) table: RefCell<HomeTable>,
    requests: RefCell<RequestState>,
    request_timeout: Duration,
    wake_changed: Notify,
}

/// Token requests of this host and the callers' requests that wait for them.
struct RequestState {
    requester: TokenRequester,
    waiting: HashMap<WaiterId, oneshot::Sender<Result<(), TokenRefusal>>>,
    last_waiter: u64,
}

impl LimitDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Rc<Self> {
        let settings = RequesterSettings::default();
        Rc::new(LimitDuty {
            context,
            links,
            table: RefCell::default(),
            request_timeout: settings.request_timeout,
            requests: RefCell::new(RequestState {
                requester: TokenRequester::new(settings),
                waiting: HashMap::new(),
                last_waiter: 0,
            }),
            wake_changed: Notify::new(),
        })
    }

    /// Keeps homes and waiting requests up to date until the thread ends.
    pub(crate) async fn run(self: Rc<Self>) {
        tokio::task::spawn_local(self.clone().run_requester());
        let mut last_sweep = MonotonicTime::ZERO;
        loop {
            tokio::time::sleep(HOME_UPDATE_INTERVAL).await;
            let now = self.context.clock.now();
            self.update_snapshot(now);
            self.update_homes();
            if now.since(last_sweep) >= SWEEP_INTERVAL {
                last_sweep = now;
                self.table.borrow_mut().sweep(now);
                self.publish_status();
                self.apply(RequesterEvent::Tick);
            }
        }
    }

    fn publish_status(&self) {
        let table = self.table.borrow();
        let section = serde_json::json!({
            "homes": table.open_epochs().len(),
            "buckets": table.bucket_count(),
            "states_accepted": table.accepted_handovers(),
        });
        self.context.status.set("limits", section);
    }

    async fn run_requester(self: Rc<Self>) {
        loop {
            let wake = self.requests.borrow().requester.next_wake();
            let now = self.context.clock.now();
            match wake {
                None => self.wake_changed.notified().await,
                Some(wake) => {
                    tokio::select! {
                        () = tokio::time::sleep(wake.since(now)) => self.apply(RequesterEvent::Tick),
                        () = self.wake_changed.notified() => {}
                    }
                }
            }
        }
    }

    pub(super) fn update_snapshot(&self, now: MonotonicTime) {
        let snapshot = self.context.snapshot.load_full();
        self.table.borrow_mut().change_snapshot(now, snapshot);
    }

    /// Takes one token for a caller's request, waiting for it if necessary.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        name: LimitName,
        deadline: MonotonicTime,
    ) -> Result<(), Refusal> {
        let Some(limit) = fleet_limit(&self.context.snapshot.load(), name.as_str()) else {
            return Err(Refusal::not_run(403, "no-limit"));
        };
        let homes = self.home_routes(name.as_str(), limit);
        let is_local = homes.first().is_some_and(|route| route.is_local);
        let arrival = self.context.clock.now();
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut requests = self.requests.borrow_mut();
            requests.last_waiter += 1;
            let id = WaiterId(requests.last_waiter);
            requests.waiting.insert(id, reply);
            id
        };
        self.apply(RequesterEvent::Arrived(WaitingRequest {
            id,
            name: name.into_string(),
            deadline,
            homes,
        }));
        let answer = answer.await;
        let place = if is_local { "local" } else { "remote" };
        let wait = self.context.clock.now().since(arrival);
        self.context.counters.record_token_wait(place, wait);
        match answer {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => Err(refusal_for(refusal)),
            Err(_) => Err(Refusal::not_run(503, "host-stopping")),
        }
    }

    /// Returns the homes of a name: first those on this host, then those in
    /// its zone.
    fn home_routes(&self, name: &str, limit: FleetLimit) -> Vec<HomeRoute> {
        let fleet = self.context.fleet.load();
        let settings = &self.context.settings;
        let mut routes: Vec<(u8, HomeRoute)> = limit
            .homes(name)
            .filter_map(|home| {
                let holder = fleet.holder(&home.resource())?;
                let is_local = holder.host == settings.host;
                let is_own_zone = fleet
                    .host(&holder.host)
                    .is_some_and(|host| host.zone == settings.zone);
                let distance = match (is_local, is_own_zone) {
                    (true, _) => 0,
                    (false, true) => 1,
                    (false, false) => 2,
                };
                Some((distance, HomeRoute { home, is_local }))
            })
            .collect();
        routes.sort_by_key(|(distance, _)| *distance);
        routes.into_iter().map(|(_, route)| route).collect()
    }

    /// Passes an event to the requester and carries out the resulting actions.
    fn apply(self: &Rc<Self>, event: RequesterEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let now = self.context.clock.now();
            self.requests
                .borrow_mut()
                .requester
                .apply(now, event, &mut actions);
            for action in actions {
                if let Some(next) = self.carry_out(action) {
                    events.push_back(next);
                }
            }
        }
        self.wake_changed.notify_one();
    }

    /// Carries out an action.
    ///
    /// A request to a home on this host that needs no fractions of other homes
    /// is answered immediately: its outcome is returned as the next event.
    fn carry_out(self: &Rc<Self>, action: RequesterAction) -> Option<RequesterEvent> {
        match action {
            RequesterAction::Admit(id) => self.reply(id, Ok(())),
            RequesterAction::Refuse(id, refusal) => self.reply(id, Err(refusal)),
            RequesterAction::Send(request) => {
                let holder = self.holder(request.home);
                let is_local = holder.is_some_and(|(host, ..)| host == self.context.settings.host);
                if is_local && !request.entries.iter().any(|entry| entry.is_last) {
                    return Some(match self.take_tokens(request.home, 0, &request.entries) {
                        Some((_, grants)) => RequesterEvent::Answered(request.id, grants),
                        None => RequesterEvent::Failed(request.id),
                    });
                }
                tokio::task::spawn_local(self.clone().run_request(request, is_local));
            }
        }
        None
    }

    fn reply(&self, id: WaiterId, result: Result<(), TokenRefusal>) {
        let waiting = self.requests.borrow_mut().waiting.remove(&id);
        if let Some(reply) = waiting {
            // The receiver is gone if the caller's request was dropped.
            let _ = reply.send(result);
        }
    }

    /// Returns the name and the peer address of a home's holder, and its
    /// epoch.
    pub(super) fn holder(&self, home: HomeKey) -> Option<(String, SocketAddr, u64)> {
        let fleet = self.context.fleet.load();
        let holder = fleet.holder(&home.resource())?;
        let host = fleet.host(&holder.host)?;
        Some((holder.host.clone(), host.peer, holder.epoch))
    }

    async fn run_request(self: Rc<Self>, request: TokenRequest, is_local: bool) {
        let grants = if is_local {
            self.grant_tokens(request.home, 0, &request.entries).await
        } else {
            self.request_remote(&request).await
        };
        self.apply(match grants {
            Some(grants) => RequesterEvent::Answered(request.id, grants),
            None => RequesterEvent::Failed(request.id),
        });
    }

    async fn request_remote(&self, token_request: &TokenRequest) -> Option<Vec<TokenGrant>> {
        let (_, peer, epoch) = self.holder(token_request.home)?;
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_tokens_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            write_token_request(
                params,
                token_request.home,
                epoch,
                TokenMode::Ask,
                &token_request.entries,
            );
            let response = request.send().promise.await?;
            let answer = response.get()?;
            if !answer.get_home() {
                return Ok(None);
            }
            Ok(Some(answer.get_grants()?.iter().map(read_grant).collect()))
        };
        self.links
            .call(peer, "request tokens", self.request_timeout, call)
            .await
            .ok()
            .flatten()
    }
}

fn refusal_for(refusal: TokenRefusal) -> Refusal {
    match refusal {
        TokenRefusal::Exhausted(wait) => Refusal::not_run(429, "rate").with_retry_after(wait),
        TokenRefusal::Unreachable => Refusal::not_run(503, "no-limit-home"),
        TokenRefusal::DeadlinePassed => Refusal::not_run(504, "deadline"),
    }
}
