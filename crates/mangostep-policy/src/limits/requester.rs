use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};

use crate::{
    Machine, MonotonicTime,
    limits::{
        home::TokenGrant,
        placement::HomeKey,
        requester_types::{
            HomeRoute, RequesterAction, RequesterEvent, RequesterSettings, TokenRefusal,
            TokenRequest, TokenRequestEntry, TokenRequestId, WaitingRequest,
        },
    },
};

new_key_type! {
    struct WaiterKey;
}

/// Finds tokens for the requests that wait on one host.
///
/// It keeps no token: what a home gives runs a request that waits, or is
/// lost. An answer counts once, and only within its validity, so a lost,
/// doubled or late answer never admits more than the home deducted.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{
///     RequesterAction, RequesterEvent, RequesterSettings, HomeKey, HomeRoute, Machine, MonotonicTime,
///     TokenRequester, TokenGrant, WaiterId, WaitingRequest,
/// };
///
/// let mut asker = TokenRequester::new(RequesterSettings::default());
/// let mut actions = Vec::new();
/// let now = MonotonicTime::from_micros(10);
/// let request = WaitingRequest {
///     id: WaiterId(7),
///     name: "w:repairs".to_owned(),
///     deadline: now + Duration::from_secs(1),
///     homes: vec![HomeRoute { home: HomeKey { shard: 1, index: 0 }, is_local: false }],
/// };
/// asker.apply(now, RequesterEvent::Arrived(request), &mut actions);
/// let Some(RequesterAction::Send(ask)) = actions.pop() else { panic!("asks at once") };
/// let grant = TokenGrant { granted: 1, ..Default::default() };
/// asker.apply(now, RequesterEvent::Answered(ask.id, vec![grant]), &mut actions);
/// assert_eq!(actions, [RequesterAction::Admit(WaiterId(7))]);
/// ```
#[derive(Debug, Default)]
pub struct TokenRequester {
    settings: RequesterSettings,
    waiters: SlotMap<WaiterKey, Waiter>,
    asks: SlotMap<TokenRequestId, OpenAsk>,
    /// Asks in the order of their timeouts.
    timeouts: VecDeque<(MonotonicTime, TokenRequestId)>,
    queues: BTreeMap<HomeKey, HomeQueue>,
    /// Homes that did not answer, until when they are asked last.
    resting: HashMap<HomeKey, MonotonicTime>,
    /// Names that no home had a token for when it was asked.
    dry: HashMap<String, DryName>,
}

#[derive(Clone, Copy, Debug)]
struct DryName {
    /// When a token comes back, as the homes told.
    token_at: MonotonicTime,
    /// When the homes are asked again at the latest, since the limit may have
    /// changed.
    forget_at: MonotonicTime,
}

#[derive(Debug)]
struct Waiter {
    request: WaitingRequest,
    /// Homes not asked yet, the next one in front.
    ahead: VecDeque<HomeRoute>,
    /// Earliest time at which a home that answered has a token.
    token_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct OpenAsk {
    home: HomeKey,
    asked: MonotonicTime,
    entries: Vec<(TokenRequestEntry, Vec<WaiterKey>)>,
}

#[derive(Debug, Default)]
struct HomeQueue {
    is_local: bool,
    waiters: Vec<(WaiterKey, bool)>,
    /// Earliest time of the next ask.
    next_ask: MonotonicTime,
}

impl TokenRequester {
    /// Makes an asker that knows of no request.
    pub fn new(settings: RequesterSettings) -> Self {
        TokenRequester {
            settings,
            ..Default::default()
        }
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn arrive(
        &mut self,
        now: MonotonicTime,
        request: WaitingRequest,
        actions: &mut Vec<RequesterAction>,
    ) {
        if let Some(dry) = self.dry.get(&request.name)
            && now < dry.forget_at
        {
            let refusal = TokenRefusal::Exhausted(dry.token_at.since(now));
            actions.push(RequesterAction::Refuse(request.id, refusal));
            return;
        }
        let mut homes = request.homes.clone();
        homes.sort_by_key(|route| self.is_resting(now, route.home));
        let key = self.waiters.insert(Waiter {
            ahead: homes.into(),
            token_at: None,
            request,
        });
        self.ask_next(now, key, actions);
    }

    fn is_resting(&self, now: MonotonicTime, home: HomeKey) -> bool {
        self.resting.get(&home).is_some_and(|until| now < *until)
    }

    /// Queues a request for its next home, or refuses it.
    fn ask_next(&mut self, now: MonotonicTime, key: WaiterKey, actions: &mut Vec<RequesterAction>) {
        let Some(waiter) = self.waiters.get_mut(key) else {
            return;
        };
        if now >= waiter.request.deadline {
            self.refuse(now, key, TokenRefusal::DeadlinePassed, actions);
            return;
        }
        if let Some(route) = waiter.ahead.pop_front() {
            let is_last = waiter.ahead.is_empty();
            let queue = self.queues.entry(route.home).or_default();
            queue.is_local = route.is_local;
            queue.waiters.push((key, is_last));
            return;
        }
        let refusal = match waiter.token_at {
            Some(at) => TokenRefusal::Exhausted(at.since(now)),
            None => TokenRefusal::Unreachable,
        };
        self.refuse(now, key, refusal, actions);
    }

    fn refuse(
        &mut self,
        now: MonotonicTime,
        key: WaiterKey,
        refusal: TokenRefusal,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(waiter) = self.waiters.remove(key) else {
            return;
        };
        if let TokenRefusal::Exhausted(wait) = refusal {
            let dry = DryName {
                token_at: now + wait,
                forget_at: now + wait.min(self.settings.refusal_cache_max),
            };
            self.dry.insert(waiter.request.name, dry);
        }
        actions.push(RequesterAction::Refuse(waiter.request.id, refusal));
    }

    fn settle(
        &mut self,
        now: MonotonicTime,
        id: TokenRequestId,
        grants: &[TokenGrant],
        actions: &mut Vec<RequesterAction>,
    ) {
        let is_valid = self
            .asks
            .get(id)
            .is_some_and(|ask| now.since(ask.asked) <= self.settings.grant_validity);
        if !is_valid {
            self.fail(now, id, actions);
            return;
        }
        // An answer that comes twice finds no ask the second time.
        let Some(ask) = self.asks.remove(id) else {
            return;
        };
        self.resting.remove(&ask.home);
        for (place, (entry, keys)) in ask.entries.into_iter().enumerate() {
            let grant = grants.get(place).copied().unwrap_or_default();
            let mut left = grant.granted.min(entry.tokens);
            for key in keys {
                if left > 0 && self.admit(now, key, actions) {
                    left -= 1;
                    continue;
                }
                self.note_token(key, ask.asked + grant.retry_after);
                self.ask_next(now, key, actions);
            }
        }
    }

    /// Admits a request unless its deadline passed.
    fn admit(
        &mut self,
        now: MonotonicTime,
        key: WaiterKey,
        actions: &mut Vec<RequesterAction>,
    ) -> bool {
        let is_in_time = self
            .waiters
            .get(key)
            .is_some_and(|waiter| now < waiter.request.deadline);
        if !is_in_time {
            return false;
        }
        if let Some(waiter) = self.waiters.remove(key) {
            actions.push(RequesterAction::Admit(waiter.request.id));
        }
        true
    }

    fn note_token(&mut self, key: WaiterKey, at: MonotonicTime) {
        if let Some(waiter) = self.waiters.get_mut(key) {
            let earliest = waiter.token_at.map_or(at, |earlier| earlier.min(at));
            waiter.token_at = Some(earliest);
        }
    }

    fn fail(&mut self, now: MonotonicTime, id: TokenRequestId, actions: &mut Vec<RequesterAction>) {
        let Some(ask) = self.asks.remove(id) else {
            return;
        };
        self.resting
            .insert(ask.home, now + self.settings.home_backoff);
        for key in ask.entries.into_iter().flat_map(|(_, keys)| keys) {
            self.ask_next(now, key, actions);
        }
    }

    fn expire(&mut self, now: MonotonicTime, actions: &mut Vec<RequesterAction>) {
        while let Some((due, id)) = self.timeouts.front().copied() {
            if now < due && self.asks.contains_key(id) {
                break;
            }
            self.timeouts.pop_front();
            self.fail(now, id, actions);
        }
    }

    fn send_due(&mut self, now: MonotonicTime, actions: &mut Vec<RequesterAction>) {
        let due: Vec<HomeKey> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .filter(|(_, queue)| queue.is_local || queue.next_ask <= now)
            .map(|(home, _)| *home)
            .collect();
        for home in due {
            self.send(now, home, actions);
        }
        self.queues
            .retain(|_, queue| !queue.waiters.is_empty() || queue.next_ask > now);
    }

    fn send(&mut self, now: MonotonicTime, home: HomeKey, actions: &mut Vec<RequesterAction>) {
        let Some(queue) = self.queues.get_mut(&home) else {
            return;
        };
        queue.next_ask = now + self.settings.batch_interval;
        let mut grouped: BTreeMap<(&str, bool), Vec<WaiterKey>> = BTreeMap::new();
        for (key, is_last) in queue.waiters.drain(..) {
            if let Some(waiter) = self.waiters.get(key) {
                let name = waiter.request.name.as_str();
                grouped.entry((name, is_last)).or_default().push(key);
            }
        }
        let entries: Vec<(TokenRequestEntry, Vec<WaiterKey>)> = grouped
            .into_iter()
            .map(|((name, is_last), keys)| {
                let entry = TokenRequestEntry {
                    name: name.to_owned(),
                    tokens: u32::try_from(keys.len()).unwrap_or(u32::MAX),
                    is_last,
                };
                (entry, keys)
            })
            .collect();
        if entries.is_empty() {
            return;
        }
        let asked = entries.iter().map(|(entry, _)| entry.clone()).collect();
        let id = self.asks.insert(OpenAsk {
            home,
            asked: now,
            entries,
        });
        self.timeouts
            .push_back((now + self.settings.request_timeout, id));
        actions.push(RequesterAction::Send(TokenRequest {
            id,
            home,
            entries: asked,
        }));
    }

    /// Forgets what has run out.
    fn forget_old(&mut self, now: MonotonicTime) {
        self.dry.retain(|_, dry| now < dry.forget_at);
        self.resting.retain(|_, until| now < *until);
    }
}

impl Machine for TokenRequester {
    type Event = RequesterEvent;
    type Action = RequesterAction;

    fn apply(
        &mut self,
        now: MonotonicTime,
        event: RequesterEvent,
        actions: &mut Vec<RequesterAction>,
    ) {
        match event {
            RequesterEvent::Arrived(request) => self.arrive(now, request, actions),
            RequesterEvent::Answered(id, grants) => self.settle(now, id, &grants, actions),
            RequesterEvent::Failed(id) => self.fail(now, id, actions),
            RequesterEvent::Tick => self.forget_old(now),
        }
        self.expire(now, actions);
        self.send_due(now, actions);
    }

    fn next_wake(&self) -> Option<MonotonicTime> {
        let queued = self
            .queues
            .values()
            .filter(|queue| !queue.waiters.is_empty())
            .map(|queue| queue.next_ask);
        let timeout = self.timeouts.front().map(|(due, _)| *due);
        queued.chain(timeout).min()
    }
}
