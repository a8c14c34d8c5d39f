use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::MonotonicTime;

/// Settings of a [`TokenLedger`].
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Window over which operators count a workspace's requests.
    pub window: Duration,
    /// Share of the rate limit by which a workspace may exceed it within a
    /// window; set by the operators.
    pub overshoot: f64,
    /// Number of requests by which a workspace may additionally exceed the
    /// limit; set by the operators.
    pub slack: f64,
    /// Share of the allowed excess that a new bucket contains. The workspace's
    /// previous limit home may have granted the burst already, and seven homes
    /// may follow each other within one window.
    pub initial_share: f64,
    /// Idle time after which a bucket is reset to its initial tokens when a
    /// request arrives whose predecessor another home answered: the bucket was
    /// refilled while the other home granted the same tokens.
    pub reset_idle_time: Duration,
    /// Time without a sign of life of this process from which on it counts as
    /// paused. Other hosts act in its place then.
    pub pause_min: Duration,
    /// Time after a pause in which the next home decides: that for which hosts
    /// skip a home that did not respond, and some allowance for delay.
    pub recovery_time: Duration,
    /// Time since a host's previous request within which tokens that it got
    /// from another home are deducted. Both homes granted at the same time.
    pub overlap_max: Duration,
    /// Most tokens that a bucket may owe, as the time in which they are refilled.
    pub debt_max: Duration,
    /// Number of decisions that are stored for repeated requests.
    pub stored_decisions: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
            initial_share: 0.14,
            reset_idle_time: Duration::from_millis(500),
            pause_min: Duration::from_millis(500),
            recovery_time: Duration::from_millis(600),
            overlap_max: Duration::from_secs(1),
            debt_max: Duration::from_millis(500),
            stored_decisions: 512,
        }
    }
}

impl LedgerSettings {
    /// Initial tokens of a bucket whose home has just taken over.
    fn initial_tokens(&self, request: &LedgerRequest<'_>) -> f64 {
        if request.is_alone {
            return 0.0;
        }
        let limit = request.rate_per_s * self.window.as_secs_f64() + request.burst;
        let excess = limit * self.overshoot + self.slack;
        (excess * self.initial_share).min(request.burst).max(1.0)
    }
}

/// A host's request for one token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerRequest<'a> {
    /// The requesting host and its sequence number, which identify
    /// repetitions.
    pub id: (u64, u64),
    /// Name of the token bucket: that of a workspace or of a backend server.
    pub bucket: &'a str,
    /// Rate limit over all hosts, in tokens per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket.
    pub burst: f64,
    /// Whether the requesting host reaches no limit home and counts a part of
    /// the limit locally. Other hosts may do so at the same time.
    pub is_alone: bool,
    /// Whether another home recently answered the requesting host's previous
    /// request for the bucket.
    pub has_moved: bool,
    /// Number of tokens of the bucket that other homes have granted to the
    /// requesting host so far.
    pub granted_elsewhere: u64,
    /// Share of the limit that belongs to the hosts in contact with this home,
    /// from 0 to 1.
    pub share: f64,
    /// Whether this host decides in place of a home that does not respond.
    pub is_substitute: bool,
    /// Time for which this host has been the home of the bucket.
    pub home_time: Duration,
}

impl<'a> LedgerRequest<'a> {
    /// Creates a request to a bucket's only home.
    pub fn open(id: (u64, u64), bucket: &'a str, rate_per_s: f64, burst: f64) -> Self {
        LedgerRequest {
            id,
            bucket,
            rate_per_s,
            burst,
            is_alone: false,
            has_moved: false,
            granted_elsewhere: 0,
            share: 1.0,
            is_substitute: false,
            home_time: Duration::ZERO,
        }
    }
}

/// Decision on a [`LedgerRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenVerdict {
    /// The caller's request may run.
    Granted,
    /// The rate limit is reached; a token becomes available after this
    /// time.
    Denied(Duration),
}

/// Token buckets whose limit home is this host.
#[derive(Clone, Debug, Default)]
pub struct TokenLedger {
    settings: LedgerSettings,
    buckets: HashMap<String, LedgerBucket>,
    decisions: HashMap<(u64, u64), TokenVerdict>,
    order: VecDeque<(u64, u64)>,
    /// When this process was last known to run. `None` if it does not say.
    running: Option<MonotonicTime>,
    /// When the last pause of this process ended.
    resumed: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct LedgerBucket {
    tokens: f64,
    refilled: MonotonicTime,
    /// Tokens that each requesting host had from other homes at its last
    /// request, by the host's process.
    elsewhere: HashMap<u64, ElsewhereCount>,
    /// Since when this host decides in place of a home that does not respond.
    substitute_since: Option<MonotonicTime>,
    /// Number of denied requests that have not been granted since, which
    /// return one by one.
    denied: f64,
    /// Whether a new bucket would hold as many tokens as this one at most.
    opens_full: bool,
}

#[derive(Clone, Copy, Debug)]
struct ElsewhereCount {
    tokens: u64,
    at: MonotonicTime,
}

/// Longest wait reported with a denial; a refill that takes several seconds
/// helps no caller.
const DENIAL_WAIT_MAX: Duration = Duration::from_secs(5);

impl TokenLedger {
    /// Creates a ledger without buckets.
    pub fn open(settings: LedgerSettings) -> Self {
        TokenLedger {
            settings,
            ..Default::default()
        }
    }

    /// Records that this process runs; to be called several times within
    /// [`LedgerSettings::pause_min`]. After a pause, no bucket has gained tokens
    /// for it: other homes granted them.
    pub fn record_running(&mut self, now: MonotonicTime) {
        self.running.get_or_insert(now);
        self.end_pause(now);
    }

    /// Whether this process was paused so recently that some hosts still use
    /// another home.
    pub(super) fn is_recovering(&self, now: MonotonicTime) -> bool {
        let recovery_time = self.settings.recovery_time;
        self.resumed.is_some_and(|at| now.since(at) < recovery_time)
    }

    pub(super) fn end_pause(&mut self, now: MonotonicTime) {
        let Some(running) = &mut self.running else {
            return;
        };
        let pause = now.since(*running);
        *running = now;
        if pause < self.settings.pause_min {
            return;
        }
        self.resumed = Some(now);
        for bucket in self.buckets.values_mut() {
            bucket.refilled = bucket.refilled + pause;
            bucket.elsewhere.clear();
        }
    }

    /// Since when this host decides on a bucket in place of a home that does not
    /// respond to the requesting hosts, after a request for which it does so or
    /// not.
    pub(super) fn substitute_since(
        &mut self,
        bucket: &str,
        is_substitute: bool,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if !is_substitute {
            return None;
        }
        let known = self.buckets.get(bucket);
        let known = known.filter(|known| now.since(known.refilled) < self.settings.window);
        known.and_then(|known| known.substitute_since).or(Some(now))
    }

    /// Decides on a request. A repeated request gets the stored decision.
    pub fn acquire(&mut self, request: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
        self.end_pause(now);
        if let Some(verdict) = self.decisions.get(&request.id) {
            return *verdict;
        }
        let verdict = self.decide(request, now);
        self.decisions.insert(request.id, verdict);
        self.order.push_back(request.id);
        if self.order.len() > self.settings.stored_decisions
            && let Some(oldest) = self.order.pop_front()
        {
            self.decisions.remove(&oldest);
        }
        verdict
    }

    /// Discards the buckets that have been idle for `idle_time` and that nothing
    /// distinguishes from new ones, such as those of servers that have left.
    pub fn discard_idle(&mut self, idle_time: Duration, now: MonotonicTime) {
        self.buckets
            .retain(|_, bucket| !bucket.opens_full || now.since(bucket.refilled) < idle_time);
        let overlap_max = self.settings.overlap_max;
        for bucket in self.buckets.values_mut() {
            let counts = &mut bucket.elsewhere;
            counts.retain(|_, count| now.since(count.at) < overlap_max);
        }
    }

    fn decide(&mut self, request: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
        let initial = self.settings.initial_tokens(&request);
        if !self.buckets.contains_key(request.bucket) {
            // No other home has granted tokens since this host is the home.
            let gained = request.home_time.as_secs_f64() * request.rate_per_s * request.share;
            let bucket = LedgerBucket {
                tokens: (initial + gained).min(request.burst.max(1.0)),
                refilled: now,
                elsewhere: HashMap::new(),
                substitute_since: None,
                denied: 0.0,
                opens_full: !request.is_alone && initial >= request.burst,
            };
            self.buckets.insert(request.bucket.to_owned(), bucket);
        }
        let bucket = self
            .buckets
            .get_mut(request.bucket)
            .expect("was just inserted");
        let idle = now.since(bucket.refilled);
        let is_kept = request.is_substitute && idle < self.settings.window;
        bucket.substitute_since = match is_kept {
            true => bucket.substitute_since.or(Some(now)),
            false => request.is_substitute.then_some(now),
        };
        let rate = request.rate_per_s * request.share;
        let capacity = (request.burst * request.share).max(1.0);
        // Tokens that were gained with a larger share remain.
        let room = (capacity - bucket.tokens).max(0.0);
        bucket.tokens += (idle.as_secs_f64() * rate).min(room);
        if request.has_moved && idle >= self.settings.reset_idle_time {
            bucket.tokens = bucket.tokens.min(initial);
            bucket.elsewhere.clear();
        }
        let debt_max = request.rate_per_s * self.settings.debt_max.as_secs_f64();
        let overlap = bucket.record_elsewhere(&request, self.settings.overlap_max, now);
        if overlap > 0 {
            let least = bucket.tokens.min(-debt_max);
            bucket.tokens = (bucket.tokens - overlap as f64).max(least);
        }
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.denied = (bucket.denied - 1.0).max(0.0);
            return TokenVerdict::Granted;
        }
        bucket.denied += 1.0;
        let wait = (bucket.denied + 1.0 - bucket.tokens) / rate.max(f64::EPSILON);
        let wait = wait.min(DENIAL_WAIT_MAX.as_secs_f64());
        TokenVerdict::Denied(Duration::from_secs_f64(wait))
    }
}

impl LedgerBucket {
    /// Records how many tokens a host had from other homes. Returns how many of
    /// them it got while it also used this home.
    fn record_elsewhere(
        &mut self,
        request: &LedgerRequest<'_>,
        overlap_max: Duration,
        now: MonotonicTime,
    ) -> u64 {
        let tokens = request.granted_elsewhere;
        let count = ElsewhereCount { tokens, at: now };
        let known = self.elsewhere.insert(request.id.0, count);
        let known = known.filter(|known| now.since(known.at) < overlap_max);
        known.map_or(0, |known| tokens.saturating_sub(known.tokens))
    }
}
