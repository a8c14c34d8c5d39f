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

/// Requests tokens from the limit homes for the HTTP requests waiting on one
/// host.
///
/// The requester stores no tokens: a granted token either admits a waiting
/// request or is lost. An answer counts once, and only within its validity, so
/// a lost, duplicated or late answer never admits more requests than the home
/// deducted tokens for.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{
///     HomeKey, HomeRoute, Machine, MonotonicTime, RequesterAction, RequesterEvent,
///     RequesterSettings, TokenGrant, TokenRequester, WaiterId, WaitingRequest,
/// };
///
/// let mut requester = TokenRequester::new(RequesterSettings::default());
/// let mut actions = Vec::new();
/// let now = MonotonicTime::from_micros(10);
/// let request = WaitingRequest {
///     id: WaiterId(7),
///     name: "w:repairs".to_owned(),
///     deadline: now + Duration::from_secs(1),
///     homes: vec![HomeRoute { home: HomeKey { shard: 1, index: 0 }, is_local: false }],
/// };
/// requester.apply(now, RequesterEvent::Arrived(request), &mut actions);
/// let Some(RequesterAction::Send(sent)) = actions.pop() else {
///     panic!("sends at once")
/// };
/// let grant = TokenGrant { granted: 1, ..Default::default() };
/// requester.apply(now, RequesterEvent::Answered(sent.id, vec![grant]), &mut actions);
/// assert_eq!(actions, [RequesterAction::Admit(WaiterId(7))]);
/// ```
#[derive(Debug, Default)]
pub struct TokenRequester {
    settings: RequesterSettings,
    waiters: SlotMap<WaiterKey, Waiter>,
    pending: SlotMap<TokenRequestId, PendingRequest>,
    /// Pending token requests in the order of their timeouts.
    timeouts: VecDeque<(MonotonicTime, TokenRequestId)>,
    queues: BTreeMap<HomeKey, HomeQueue>,
    /// Homes that did not answer, with the time until which they come last.
    backed_off: HashMap<HomeKey, MonotonicTime>,
    /// Names for which no home that answered had a token.
    exhausted: HashMap<String, ExhaustedName>,
}

#[derive(Clone, Copy, Debug)]
struct ExhaustedName {
    /// When the next token is due, as reported by the homes.
    token_at: MonotonicTime,
    /// When the cached refusal expires; bounded because the limit may have
    /// changed.
    expires_at: MonotonicTime,
}

#[derive(Debug)]
struct Waiter {
    request: WaitingRequest,
    /// Homes not yet tried, the next one first.
    untried: VecDeque<HomeRoute>,
    /// Earliest time at which one of the homes that answered has a token.
    token_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct PendingRequest {
    home: HomeKey,
    sent_at: MonotonicTime,
    entries: Vec<(TokenRequestEntry, Vec<WaiterKey>)>,
}

#[derive(Debug, Default)]
struct HomeQueue {
    is_local: bool,
    /// Waiting requests, each with whether this is the last home it tries.
    waiters: Vec<(WaiterKey, bool)>,
    /// Earliest time of the next token request.
    next_send: MonotonicTime,
}

impl TokenRequester {
    /// Creates a requester without waiting requests.
    pub fn new(settings: RequesterSettings) -> Self {
        TokenRequester {
            settings,
            ..Default::default()
        }
    }

    /// Number of HTTP requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn arrive(
        &mut self,
        now: MonotonicTime,
        request: WaitingRequest,
        actions: &mut Vec<RequesterAction>,
    ) {
        if let Some(exhausted) = self.exhausted.get(&request.name)
            && now < exhausted.expires_at
        {
            let refusal = TokenRefusal::Exhausted(exhausted.token_at.since(now));
            actions.push(RequesterAction::Refuse(request.id, refusal));
            return;
        }
        let mut homes = request.homes.clone();
        homes.sort_by_key(|route| self.is_backed_off(now, route.home));
        let key = self.waiters.insert(Waiter {
            untried: homes.into(),
            token_at: None,
            request,
        });
        self.queue_for_next_home(now, key, actions);
    }

    fn is_backed_off(&self, now: MonotonicTime, home: HomeKey) -> bool {
        self.backed_off.get(&home).is_some_and(|until| now < *until)
    }

    /// Queues a request for its next home, or refuses it when none remains or
    /// its deadline has passed.
    fn queue_for_next_home(
        &mut self,
        now: MonotonicTime,
        key: WaiterKey,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(waiter) = self.waiters.get_mut(key) else {
            return;
        };
        if now >= waiter.request.deadline {
            self.refuse(now, key, TokenRefusal::DeadlinePassed, actions);
            return;
        }
        if let Some(route) = waiter.untried.pop_front() {
            let is_last = waiter.untried.is_empty();
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
            let exhausted = ExhaustedName {
                token_at: now + wait,
                expires_at: now + wait.min(self.settings.refusal_cache_max),
            };
            self.exhausted.insert(waiter.request.name, exhausted);
        }
        actions.push(RequesterAction::Refuse(waiter.request.id, refusal));
    }

    fn settle_answer(
        &mut self,
        now: MonotonicTime,
        id: TokenRequestId,
        grants: &[TokenGrant],
        actions: &mut Vec<RequesterAction>,
    ) {
        let is_valid = self
            .pending
            .get(id)
            .is_some_and(|pending| now.since(pending.sent_at) <= self.settings.grant_validity);
        if !is_valid {
            self.settle_failure(now, id, actions);
            return;
        }
        // A duplicate answer finds no pending request.
        let Some(pending) = self.pending.remove(id) else {
            return;
        };
        self.backed_off.remove(&pending.home);
        for (index, (entry, keys)) in pending.entries.into_iter().enumerate() {
            let grant = grants.get(index).copied().unwrap_or_default();
            let mut remaining = grant.granted.min(entry.tokens);
            for key in keys {
                if remaining > 0 && self.admit(now, key, actions) {
                    remaining -= 1;
                    continue;
                }
                self.record_token_time(key, pending.sent_at + grant.retry_after);
                self.queue_for_next_home(now, key, actions);
            }
        }
    }

    /// Admits a request unless its deadline has passed; returns whether it
    /// was admitted.
    fn admit(
        &mut self,
        now: MonotonicTime,
        key: WaiterKey,
        actions: &mut Vec<RequesterAction>,
    ) -> bool {
        let is_before_deadline = self
            .waiters
            .get(key)
            .is_some_and(|waiter| now < waiter.request.deadline);
        if !is_before_deadline {
            return false;
        }
        if let Some(waiter) = self.waiters.remove(key) {
            actions.push(RequesterAction::Admit(waiter.request.id));
        }
        true
    }

    fn record_token_time(&mut self, key: WaiterKey, at: MonotonicTime) {
        if let Some(waiter) = self.waiters.get_mut(key) {
            let earliest = waiter.token_at.map_or(at, |earlier| earlier.min(at));
            waiter.token_at = Some(earliest);
        }
    }

    fn settle_failure(
        &mut self,
        now: MonotonicTime,
        id: TokenRequestId,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(pending) = self.pending.remove(id) else {
            return;
        };
        self.backed_off
            .insert(pending.home, now + self.settings.home_backoff);
        for key in pending.entries.into_iter().flat_map(|(_, keys)| keys) {
            self.queue_for_next_home(now, key, actions);
        }
    }

    fn expire_pending(&mut self, now: MonotonicTime, actions: &mut Vec<RequesterAction>) {
        while let Some((due, id)) = self.timeouts.front().copied() {
            if now < due && self.pending.contains_key(id) {
                break;
            }
            self.timeouts.pop_front();
            self.settle_failure(now, id, actions);
        }
    }

    fn send_due(&mut self, now: MonotonicTime, actions: &mut Vec<RequesterAction>) {
        let due: Vec<HomeKey> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .filter(|(_, queue)| queue.is_local || queue.next_send <= now)
            .map(|(home, _)| *home)
            .collect();
        for home in due {
            self.send(now, home, actions);
        }
        self.queues
            .retain(|_, queue| !queue.waiters.is_empty() || queue.next_send > now);
    }

    fn send(&mut self, now: MonotonicTime, home: HomeKey, actions: &mut Vec<RequesterAction>) {
        let Some(queue) = self.queues.get_mut(&home) else {
            return;
        };
        queue.next_send = now + self.settings.batch_interval;
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
        let requested = entries.iter().map(|(entry, _)| entry.clone()).collect();
        let id = self.pending.insert(PendingRequest {
            home,
            sent_at: now,
            entries,
        });
        self.timeouts
            .push_back((now + self.settings.request_timeout, id));
        actions.push(RequesterAction::Send(TokenRequest {
            id,
            home,
            entries: requested,
        }));
    }

    /// Removes expired cached refusals and expired home backoffs.
    fn remove_expired(&mut self, now: MonotonicTime) {
        self.exhausted
            .retain(|_, exhausted| now < exhausted.expires_at);
        self.backed_off.retain(|_, until| now < *until);
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
            RequesterEvent::Answered(id, grants) => self.settle_answer(now, id, &grants, actions),
            RequesterEvent::Failed(id) => self.settle_failure(now, id, actions),
            RequesterEvent::Tick => self.remove_expired(now),
        }
        self.expire_pending(now, actions);
        self.send_due(now, actions);
    }

    fn next_wake(&self) -> Option<MonotonicTime> {
        let queued = self
            .queues
            .values()
            .filter(|queue| !queue.waiters.is_empty())
            .map(|queue| queue.next_send);
        let timeout = self.timeouts.front().map(|(due, _)| *due);
        queued.chain(timeout).min()
    }
}
