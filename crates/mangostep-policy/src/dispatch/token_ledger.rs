use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::MonotonicTime;

/// Settings of a [`TokenLedger`].
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Time over which operators count a workspace's requests.
    pub window: Duration,
    /// Share by which a workspace may pass its limit in a window; the
    /// operators' bound.
    pub overshoot: f64,
    /// Requests by which it may pass the limit besides; the operators' bound.
    pub slack: f64,
    /// Share of what a workspace may pass its limit by that a bucket holds
    /// when it opens. Its former home may have given the burst already, and
    /// seven homes may follow each other within one window.
    pub opening_share: f64,
    /// Time without asks after which a bucket begins anew when asks come that
    /// another home answered before: it was refilled while the other one gave
    /// the same tokens.
    pub moved_gap: Duration,
    /// Answers that are kept for asks that were sent again.
    pub remembered_asks: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
            opening_share: 0.14,
            moved_gap: Duration::from_millis(500),
            remembered_asks: 512,
        }
    }
}

impl LedgerSettings {
    /// Tokens of a bucket that opens.
    fn opening_tokens(&self, ask: &LedgerRequest<'_>) -> f64 {
        if ask.is_alone {
            return 0.0;
        }
        let limit = ask.rate_per_s * self.window.as_secs_f64() + ask.burst;
        let tolerance = limit * self.overshoot + self.slack;
        (tolerance * self.opening_share).min(ask.burst).max(1.0)
    }
}

/// A token that a host asks for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerRequest<'a> {
    /// The host that asks, and its number of the ask.
    pub id: (u64, u64),
    /// Workspace of the request.
    pub workspace: &'a str,
    /// Tokens a second, over all hosts.
    pub rate_per_s: f64,
    /// Tokens after a quiet time.
    pub burst: f64,
    /// Whether the id has no home to ask and counts a part of the limit by
    /// itself; other hosts may do so at the same time.
    pub is_alone: bool,
    /// Whether another home answered the id's last ask for the workspace,
    /// a short time ago.
    pub has_moved: bool,
}

/// The answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenVerdict {
    /// The request may run.
    Granted,
    /// The workspace is over its rate; a token is there after this time.
    Denied(Duration),
}

/// Counts the tokens of the workspaces that have their home on this host.
#[derive(Clone, Debug, Default)]
pub struct TokenLedger {
    settings: LedgerSettings,
    buckets: HashMap<String, LedgerBucket>,
    answered: HashMap<(u64, u64), TokenVerdict>,
    order: VecDeque<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct LedgerBucket {
    tokens: f64,
    refilled: MonotonicTime,
    /// Requests denied since the last grant, which come back one by one.
    denied: f64,
}

/// Longest time that a denied request is asked to wait; a refill of several
/// seconds helps no caller.
const DENIAL_WAIT_MAX: Duration = Duration::from_secs(5);

impl TokenLedger {
    /// Opens a ledger without buckets.
    pub fn open(settings: LedgerSettings) -> Self {
        TokenLedger {
            settings,
            ..Default::default()
        }
    }

    /// Answers an ask; the same answer when it comes again.
    pub fn acquire(&mut self, ask: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
        if let Some(verdict) = self.answered.get(&ask.id) {
            return *verdict;
        }
        let verdict = self.take(ask, now);
        self.answered.insert(ask.id, verdict);
        self.order.push_back(ask.id);
        if self.order.len() > self.settings.remembered_asks
            && let Some(oldest) = self.order.pop_front()
        {
            self.answered.remove(&oldest);
        }
        verdict
    }

    fn take(&mut self, ask: LedgerRequest<'_>, now: MonotonicTime) -> TokenVerdict {
        let opening = self.settings.opening_tokens(&ask);
        if !self.buckets.contains_key(ask.workspace) {
            let bucket = LedgerBucket {
                tokens: opening,
                refilled: now,
                denied: 0.0,
            };
            self.buckets.insert(ask.workspace.to_owned(), bucket);
        }
        let bucket = self
            .buckets
            .get_mut(ask.workspace)
            .expect("was just inserted");
        let idle = now.since(bucket.refilled);
        let gained = idle.as_secs_f64() * ask.rate_per_s;
        bucket.tokens = (bucket.tokens + gained).min(ask.burst.max(1.0));
        if ask.has_moved && idle >= self.settings.moved_gap {
            bucket.tokens = bucket.tokens.min(opening);
        }
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.denied = (bucket.denied - 1.0).max(0.0);
            return TokenVerdict::Granted;
        }
        bucket.denied += 1.0;
        let wait = (bucket.denied + 1.0 - bucket.tokens) / ask.rate_per_s.max(f64::EPSILON);
        let wait = wait.min(DENIAL_WAIT_MAX.as_secs_f64());
        TokenVerdict::Denied(Duration::from_secs_f64(wait))
    }
}
