use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use {
    mangostep_policy::{
        AskEntry, AskRefusal, AskerAction, AskerEvent, AskerSettings, FleetLimit, HomeKey,
        HomeRoute, Machine, TokenAsk, TokenAsker, TokenFraction, TokenGrant, WaiterId,
        WaitingRequest,
    },
    mangostep_wire::peer_capnp::{TokenMode, peer_link},
    tokio::sync::{Notify, oneshot},
};

use crate::{
    limits::{
        home_table::{GATHER_LIMIT, GatheredFractions, HomeTable},
        limit_name::{LimitName, fleet_limit},
        token_messages::{
            read_ask, read_fraction, read_grant, write_ask, write_fraction, write_grant,
        },
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
    asker: TokenAsker,
    waiting: HashMap<WaiterId, oneshot::Sender<Result<(), AskRefusal>>>,
    last_waiter: u64,
}

impl LimitDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Rc<Self> {
        let settings = AskerSettings::default();
        Rc::new(LimitDuty {
            context,
            links,
            table: RefCell::default(),
            ask_timeout: settings.ask_timeout,
            asks: RefCell::new(AskState {
                asker: TokenAsker::new(settings),
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
                let buckets = self.table.borrow_mut().sweep(now);
                let homes = self.table.borrow().epochs().len();
                let section = serde_json::json!({ "homes": homes, "buckets": buckets });
                self.context.status.set("limits", section);
                self.apply(AskerEvent::Tick);
            }
        }
    }

    async fn run_asker(self: Rc<Self>) {
        loop {
            let wake = self.asks.borrow().asker.next_wake();
            let now = self.context.clock.now();
            match wake {
                None => self.wake_changed.notified().await,
                Some(wake) => {
                    tokio::select! {
                        () = tokio::time::sleep(wake.since(now)) => self.apply(AskerEvent::Tick),
                        () = self.wake_changed.notified() => {}
                    }
                }
            }
        }
    }

    fn follow_snapshot(&self, now: MonotonicTime) {
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
        self.apply(AskerEvent::Arrived(WaitingRequest {
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
    fn apply(self: &Rc<Self>, event: AskerEvent) {
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
    fn carry_out(self: &Rc<Self>, action: AskerAction) -> Option<AskerEvent> {
        match action {
            AskerAction::Admit(id) => self.reply(id, Ok(())),
            AskerAction::Refuse(id, refusal) => self.reply(id, Err(refusal)),
            AskerAction::Ask(ask) => {
                let holder = self.holder(ask.home);
                let is_local = holder.is_some_and(|(host, ..)| host == self.context.settings.host);
                if is_local && !ask.entries.iter().any(|entry| entry.is_last) {
                    return Some(match self.take(ask.home, 0, &ask.entries) {
                        Some((_, grants)) => AskerEvent::Answered(ask.id, grants),
                        None => AskerEvent::Failed(ask.id),
                    });
                }
                tokio::task::spawn_local(self.clone().run_ask(ask, is_local));
            }
        }
        None
    }

    fn reply(&self, id: WaiterId, result: Result<(), AskRefusal>) {
        let waiting = self.asks.borrow_mut().waiting.remove(&id);
        if let Some(reply) = waiting {
            // The asking side may have given up.
            let _ = reply.send(result);
        }
    }

    /// Name and address of a home's holder, with its epoch.
    fn holder(&self, home: HomeKey) -> Option<(String, SocketAddr, u64)> {
        let fleet = self.context.fleet.load();
        let holder = fleet.holder(&home.resource())?;
        let host = fleet.host(&holder.host)?;
        Some((holder.host.clone(), host.peer, holder.epoch))
    }

    async fn run_ask(self: Rc<Self>, ask: TokenAsk, is_local: bool) {
        let grants = if is_local {
            self.serve_tokens(ask.home, 0, &ask.entries).await
        } else {
            self.ask_remote(&ask).await
        };
        self.apply(match grants {
            Some(grants) => AskerEvent::Answered(ask.id, grants),
            None => AskerEvent::Failed(ask.id),
        });
    }

    async fn ask_remote(&self, ask: &TokenAsk) -> Option<Vec<TokenGrant>> {
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

    /// Takes tokens at an own home; nothing when this host may not give any.
    ///
    /// Returns the epoch under which they were taken.
    fn take(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[AskEntry],
    ) -> Option<(u64, Vec<TokenGrant>)> {
        // The process may have been paused: the clock is read, and standing
        // and limits are looked at, right before tokens are given.
        let now = self.context.clock.now();
        let held = self.context.held_epoch(&home.resource(), now)?;
        if epoch > held {
            return None;
        }
        self.follow_snapshot(now);
        let mut table = self.table.borrow_mut();
        let grants: Vec<TokenGrant> = entries
            .iter()
            .map(|entry| table.take(now, home, held, entry))
            .collect();
        drop(table);
        for (entry, grant) in entries.iter().zip(&grants) {
            self.note_taken(now, home, &entry.name, grant.granted);
        }
        Some((held, grants))
    }

    /// Gives tokens at an own home, with the fractions of other homes where
    /// this one is asked last.
    async fn serve_tokens(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[AskEntry],
    ) -> Option<Vec<TokenGrant>> {
        let (held, mut grants) = self.take(home, epoch, entries)?;
        for (entry, grant) in entries.iter().zip(&mut grants) {
            if entry.is_last && grant.granted < entry.tokens {
                self.complete(home, held, entry, grant).await;
            }
        }
        Some(grants)
    }

    /// Completes a grant with the fractions of the other homes.
    async fn complete(&self, home: HomeKey, epoch: u64, entry: &AskEntry, grant: &mut TokenGrant) {
        let context = &self.context;
        let limit = fleet_limit(&context.snapshot.load(), &entry.name);
        let others: Vec<HomeKey> = limit
            .into_iter()
            .flat_map(|limit| limit.homes(&entry.name))
            .filter(|other| *other != home)
            .collect();
        if others.is_empty() {
            return;
        }
        let asked = context.clock.now();
        let begun = self
            .table
            .borrow_mut()
            .begin_gather(asked, home, epoch, &entry.name);
        if let Err(wait) = begun {
            grant.retry_after = grant.retry_after.min(wait);
            return;
        }
        let asking = others
            .iter()
            .map(|other| self.fraction_of(*other, &entry.name));
        let answers = futures::future::join_all(asking).await;
        let gathered = GatheredFractions {
            is_complete: answers.iter().all(Option::is_some),
            fractions: answers.into_iter().flatten().collect(),
            asked,
        };
        let now = context.clock.now();
        if context.held_epoch(&home.resource(), now) != Some(epoch) {
            return;
        }
        let missing = AskEntry {
            tokens: entry.tokens - grant.granted,
            ..entry.clone()
        };
        let more = self
            .table
            .borrow_mut()
            .end_gather(now, home, epoch, &missing, &gathered);
        self.note_taken(now, home, &entry.name, more.granted);
        grant.granted += more.granted;
        grant.retry_after = more.retry_after;
    }

    /// Asks another home for what it has left of less than one token.
    async fn fraction_of(&self, home: HomeKey, name: &str) -> Option<TokenFraction> {
        let (host, peer, epoch) = self.holder(home)?;
        if host == self.context.settings.host {
            return self.give_fraction(home, 0, name);
        }
        let stamp = self.context.recorder.clock().tick();
        let entries = [AskEntry {
            name: name.to_owned(),
            tokens: 0,
            is_last: false,
        }];
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_tokens_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            write_ask(params, home, epoch, TokenMode::Gather, &entries);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let grants = answer.get_grants()?;
            Ok((answer.get_home() && !grants.is_empty()).then(|| read_fraction(grants.get(0))))
        };
        self.links
            .call(peer, "gather tokens", GATHER_LIMIT, call)
            .await
            .ok()
            .flatten()
    }

    fn give_fraction(&self, home: HomeKey, epoch: u64, name: &str) -> Option<TokenFraction> {
        let now = self.context.clock.now();
        let held = self.context.held_epoch(&home.resource(), now)?;
        if epoch > held {
            return None;
        }
        self.follow_snapshot(now);
        let mut table = self.table.borrow_mut();
        Some(table.take_fraction(now, home, held, name))
    }

    /// Answers another host's ask.
    pub(crate) async fn serve_ask(
        &self,
        params: peer_link::AskTokensParams,
        mut results: peer_link::AskTokensResults,
    ) -> Result<(), capnp::Error> {
        let clock = self.context.recorder.clock();
        clock.observe(params.get()?.get_stamp());
        let ask = read_ask(params.get()?)?;
        let length = u32::try_from(ask.entries.len()).unwrap_or(u32::MAX);
        if ask.mode == TokenMode::Gather {
            let fractions: Option<Vec<TokenFraction>> = ask
                .entries
                .iter()
                .map(|entry| self.give_fraction(ask.home, ask.epoch, &entry.name))
                .collect();
            let mut answer = results.get();
            answer.set_stamp(clock.tick());
            answer.set_home(fractions.is_some());
            let mut grants = answer.init_grants(length);
            for (place, fraction) in (0..length).zip(fractions.iter().flatten()) {
                write_fraction(grants.reborrow().get(place), fraction);
            }
            return Ok(());
        }
        let given = self.serve_tokens(ask.home, ask.epoch, &ask.entries).await;
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_home(given.is_some());
        let mut grants = answer.init_grants(length);
        for (place, grant) in (0..length).zip(given.iter().flatten()) {
            write_grant(grants.reborrow().get(place), grant);
        }
        Ok(())
    }

    /// Records tokens where they are taken, when the settings ask for it.
    fn note_taken(&self, now: MonotonicTime, home: HomeKey, name: &str, granted: u32) {
        if granted == 0 || !self.context.settings.record_tokens {
            return;
        }
        let fields = [
            ("name", name.to_owned()),
            ("home", home.resource()),
            ("tokens", granted.to_string()),
            ("at_us", now.as_micros().to_string()),
        ];
        let fields = fields
            .each_ref()
            .map(|(field, text)| (*field, text.as_str()));
        self.context.recorder.record("tokens-taken", &fields);
    }
}

fn refusal_of(refusal: AskRefusal) -> Refusal {
    match refusal {
        AskRefusal::Dry(wait) => Refusal::not_run(429, "rate").with_retry_after(wait),
        AskRefusal::Unreachable => Refusal::not_run(503, "no-limit-home"),
        AskRefusal::Late => Refusal::not_run(504, "deadline"),
    }
}
