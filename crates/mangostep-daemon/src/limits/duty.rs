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
        token_messages::{read_grant, write_ask},
    },
    peer::PeerLinks,
    prelude::*,
    refusal::Refusal,
};

/// How often the homes are compared with who holds what.
const FOLLOW_EVERY: Duration = Duration::from_millis(10);

/// How often full buckets are dropped.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The peer thread's part in limits.
pub(crate) struct LimitDuty {
    pub(super) context: Arc<HostContext>,
    pub(super) links: Rc<PeerLinks>,
    pub(super) table: RefCell<HomeTable>,
    asks: RefCell<AskState>,
    ask_timeout: Duration,
    wake_changed: Notify,
}

/// The asking side.
struct AskState {
    asker: TokenRequester,
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
            ask_timeout: settings.request_timeout,
            asks: RefCell::new(AskState {
                asker: TokenRequester::new(settings),
                waiting: HashMap::new(),
                last_waiter: 0,
            }),
            wake_changed: Notify::new(),
        })
    }

    /// Keeps the homes and the waiting asks up to date.
    pub(crate) async fn run(self: Rc<Self>) {
        tokio::task::spawn_local(self.clone().run_asker());
        let mut swept = MonotonicTime::ZERO;
        loop {
            tokio::time::sleep(FOLLOW_EVERY).await;
            let now = self.context.clock.now();
            self.follow_snapshot(now);
            self.follow_holders();
            if now.since(swept) >= SWEEP_EVERY {
                swept = now;
                self.table.borrow_mut().sweep(now);
                self.tell_status();
                self.apply(RequesterEvent::Tick);
            }
        }
    }

    fn tell_status(&self) {
        let table = self.table.borrow();
        let section = serde_json::json!({
            "homes": table.epochs().len(),
            "buckets": table.bucket_count(),
            "states_accepted": table.accepted(),
        });
        self.context.status.set("limits", section);
    }

    async fn run_asker(self: Rc<Self>) {
        loop {
            let wake = self.asks.borrow().asker.next_wake();
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

    pub(super) fn follow_snapshot(&self, now: MonotonicTime) {
        let snapshot = self.context.snapshot.load_full();
        self.table.borrow_mut().change_snapshot(now, snapshot);
    }

    /// Takes one token for a request that waits on this host.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        name: LimitName,
        deadline: MonotonicTime,
    ) -> Result<(), Refusal> {
        let Some(limit) = fleet_limit(&self.context.snapshot.load(), name.as_str()) else {
            return Err(Refusal::not_run(403, "no-limit"));
        };
        let homes = self.routes_to(name.as_str(), limit);
        let is_local = homes.first().is_some_and(|route| route.is_local);
        let arrival = self.context.clock.now();
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut asks = self.asks.borrow_mut();
            asks.last_waiter += 1;
            let id = WaiterId(asks.last_waiter);
            asks.waiting.insert(id, reply);
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
            Ok(Err(refusal)) => Err(refusal_of(refusal)),
            Err(_) => Err(Refusal::not_run(503, "host-stopping")),
        }
    }

    /// The homes of a name, the nearest first.
    fn routes_to(&self, name: &str, limit: FleetLimit) -> Vec<HomeRoute> {
        let fleet = self.context.fleet.load();
        let own = &self.context.settings;
        let mut routes: Vec<(u8, HomeRoute)> = limit
            .homes(name)
            .filter_map(|home| {
                let holder = fleet.holder(&home.resource())?;
                let is_local = holder.host == own.host;
                let is_near = fleet
                    .host(&holder.host)
                    .is_some_and(|host| host.zone == own.zone);
                let distance = match (is_local, is_near) {
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

    /// Passes an event to the asker and carries out what follows.
    fn apply(self: &Rc<Self>, event: RequesterEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let now = self.context.clock.now();
            self.asks.borrow_mut().asker.apply(now, event, &mut actions);
            for action in actions {
                if let Some(next) = self.carry_out(action) {
                    events.push_back(next);
                }
            }
        }
        self.wake_changed.notify_one();
    }

    /// Carries out an action; an ask of an own home is answered at once.
    fn carry_out(self: &Rc<Self>, action: RequesterAction) -> Option<RequesterEvent> {
        match action {
            RequesterAction::Admit(id) => self.reply(id, Ok(())),
            RequesterAction::Refuse(id, refusal) => self.reply(id, Err(refusal)),
            RequesterAction::Send(ask) => {
                let holder = self.holder(ask.home);
                let is_local = holder.is_some_and(|(host, ..)| host == self.context.settings.host);
                if is_local && !ask.entries.iter().any(|entry| entry.is_last) {
                    return Some(match self.take(ask.home, 0, &ask.entries) {
                        Some((_, grants)) => RequesterEvent::Answered(ask.id, grants),
                        None => RequesterEvent::Failed(ask.id),
                    });
                }
                tokio::task::spawn_local(self.clone().run_ask(ask, is_local));
            }
        }
        None
    }

    fn reply(&self, id: WaiterId, result: Result<(), TokenRefusal>) {
        let waiting = self.asks.borrow_mut().waiting.remove(&id);
        if let Some(reply) = waiting {
            // The asking side may have given up.
            let _ = reply.send(result);
        }
    }

    /// Name and address of a home's holder, with its epoch.
    pub(super) fn holder(&self, home: HomeKey) -> Option<(String, SocketAddr, u64)> {
        let fleet = self.context.fleet.load();
        let holder = fleet.holder(&home.resource())?;
        let host = fleet.host(&holder.host)?;
        Some((holder.host.clone(), host.peer, holder.epoch))
    }

    async fn run_ask(self: Rc<Self>, ask: TokenRequest, is_local: bool) {
        let grants = if is_local {
            self.serve_tokens(ask.home, 0, &ask.entries).await
        } else {
            self.ask_remote(&ask).await
        };
        self.apply(match grants {
            Some(grants) => RequesterEvent::Answered(ask.id, grants),
            None => RequesterEvent::Failed(ask.id),
        });
    }

    async fn ask_remote(&self, ask: &TokenRequest) -> Option<Vec<TokenGrant>> {
        let (_, peer, epoch) = self.holder(ask.home)?;
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_tokens_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            write_ask(params, ask.home, epoch, TokenMode::Ask, &ask.entries);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            if !answer.get_home() {
                return Ok(None);
            }
            Ok(Some(answer.get_grants()?.iter().map(read_grant).collect()))
        };
        self.links
            .call(peer, "ask tokens", self.ask_timeout, call)
            .await
            .ok()
            .flatten()
    }
}

fn refusal_of(refusal: TokenRefusal) -> Refusal {
    match refusal {
        TokenRefusal::Exhausted(wait) => Refusal::not_run(429, "rate").with_retry_after(wait),
        TokenRefusal::Unreachable => Refusal::not_run(503, "no-limit-home"),
        TokenRefusal::DeadlinePassed => Refusal::not_run(504, "deadline"),
    }
}
