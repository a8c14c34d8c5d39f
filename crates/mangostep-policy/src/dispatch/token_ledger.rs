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
            stored_decisions: 512,
        }
    }
}

impl LedgerSettings {
    /// Initial tokens of a bucket.
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
}

#[derive(Clone, Copy, Debug)]
struct LedgerBucket {
    tokens: f64,
    refilled: MonotonicTime,
    /// Number of denied requests that have not been granted since, which
    /// return one by one.
    denied: f64,
    /// Whether a new bucket would hold as many tokens as this one at most.
    opens_full: bool,
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

    /// Decides on a request. A repeated request gets the stored decision.
    pub fn acquire(&mut self, request: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
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
    }

    fn decide(&mut self, request: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
        let initial = self.settings.initial_tokens(&request);
        if !self.buckets.contains_key(request.bucket) {
            let bucket = LedgerBucket {
                tokens: initial,
                refilled: now,
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
        let gained = idle.as_secs_f64() * request.rate_per_s;
        bucket.tokens = (bucket.tokens + gained).min(request.burst.max(1.0));
        if request.has_moved && idle >= self.settings.reset_idle_time {
            bucket.tokens = bucket.tokens.min(initial);
        }
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.denied = (bucket.denied - 1.0).max(0.0);
            return TokenVerdict::Granted;
        }
        bucket.denied += 1.0;
        let wait = (bucket.denied + 1.0 - bucket.tokens) / request.rate_per_s.max(f64::EPSILON);
        let wait = wait.min(DENIAL_WAIT_MAX.as_secs_f64());
        TokenVerdict::Denied(Duration::from_secs_f64(wait))
    }
}
