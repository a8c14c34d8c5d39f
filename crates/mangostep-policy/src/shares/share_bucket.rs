use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    AgeBounds, AgedFigure, FigureSource, MonotonicTime, PeerKey,
    shares::{GrantVerdict, ShareEntry, ShareGrant, ShareLimit, ShareSettings},
};

/// Longest wait reported with a denial; a refill that takes several seconds
/// helps no caller.
const DENIAL_WAIT_MAX: Duration = Duration::from_secs(5);

/// Number of time constants after which a stated demand no longer matters.
const DEMAND_TIMES: u32 = 3;

/// Token bucket of one workspace at its first limit home.
///
/// Allowances are taken from the bucket when they are granted. An allowance
/// whose host falls silent counts as spent, so a lost message never lets more
/// requests through than the bucket holds.
#[derive(Clone, Debug)]
pub(super) struct ShareBucket {
    /// Negative after overdraft, and while debts of hosts are repaid.
    tokens: f64,
    refilled: MonotonicTime,
    /// When a host last asked this home as the first one.
    asked_first: MonotonicTime,
    /// The limit that was stated last.
    limit: ShareLimit,
    /// Denied requests that have not been granted since, which return one by
    /// one.
    denied: f64,
    /// Granted allowances, the oldest first.
    allowances: VecDeque<AgedFigure<u32>>,
    /// Demand in requests per second that each host stated last.
    demands: HashMap<PeerKey, AgedFigure<f64>>,
}

impl ShareBucket {
    pub(super) fn open(tokens: f64, limit: ShareLimit, now: MonotonicTime) -> Self {
        ShareBucket {
            tokens,
            refilled: now,
            asked_first: now,
            limit,
            denied: 0.0,
            allowances: VecDeque::new(),
            demands: HashMap::new(),
        }
    }

    /// Limits the tokens to those of a new bucket, because another home may
    /// have held the bucket since the last refill.
    pub(super) fn reset(&mut self, settings: &ShareSettings, now: MonotonicTime) {
        self.tokens = self.tokens.min(settings.initial_tokens(self.limit));
        self.refilled = now;
    }

    /// Whether a host recently asked this home as the first one.
    pub(super) fn is_in_use(&self, settings: &ShareSettings, now: MonotonicTime) -> bool {
        now.since(self.asked_first) < settings.takeover_time
    }

    pub(super) fn idle_time(&self, now: MonotonicTime) -> Duration {
        now.since(self.refilled)
    }

    /// Books what a host reports, and decides on what it asks for.
    pub(super) fn grant(
        &mut self,
        settings: &ShareSettings,
        host: PeerKey,
        entry: &ShareEntry<'_>,
        now: MonotonicTime,
    ) -> ShareGrant {
        let limit = entry.limit;
        self.limit = limit;
        if entry.rank == 0 {
            self.asked_first = now;
        }
        let unspent = self.refill(settings, limit, now);
        let room = (limit.burst.max(1.0) - unspent - self.tokens).max(0.0);
        self.tokens += f64::from(entry.returned).min(room);
        // A debt of more than a window's requests would refuse callers long
        // after the requests were counted.
        let lowest = -settings.window.as_secs_f64() * limit.rate_per_s;
        self.tokens = (self.tokens - f64::from(entry.overspent)).max(lowest.min(self.tokens));
        let verdict = match entry.needs_token {
            true => self.take_token(settings, limit, unspent),
            // Whoever reports debts must not add to them now.
            false if self.tokens < 0.0 => GrantVerdict::Denied(wait_micros(-self.tokens, limit)),
            false => GrantVerdict::NotAsked,
        };
        let demand = FigureSource::Peer(host);
        let demand = AgedFigure::new(f64::from(entry.demand_per_s), now, demand);
        self.demands.insert(host, demand);
        let allowance = match verdict {
            GrantVerdict::Denied(_) => 0,
            _ => self.take_allowance(settings, host, entry.wanted, now),
        };
        let validity_ms = u32::try_from(settings.validity.as_millis());
        ShareGrant {
            verdict,
            allowance,
            validity_ms: validity_ms.unwrap_or(u32::MAX),
            is_holder: true,
        }
    }

    /// Adds the tokens gained since the last refill. Tokens and allowances
    /// together never exceed the burst. Returns the allowances that may not
    /// have been spent yet.
    fn refill(&mut self, settings: &ShareSettings, limit: ShareLimit, now: MonotonicTime) -> f64 {
        let bounds = AgeBounds {
            fresh: settings.validity,
            expired: settings.validity,
        };
        let is_expired = |figure: &AgedFigure<u32>| figure.unless_expired(bounds, now).is_none();
        while self.allowances.front().is_some_and(is_expired) {
            self.allowances.pop_front();
        }
        let unspent = self.allowances.iter().map(|figure| *figure.value());
        let unspent = f64::from(unspent.sum::<u32>());
        let gained = now.since(self.refilled).as_secs_f64() * limit.rate_per_s;
        let most = limit.burst.max(1.0);
        // A lower limit takes effect at once.
        let most_left = (most - unspent).max(self.tokens.min(0.0));
        self.tokens = (self.tokens + gained).min(most_left.max(self.tokens.min(most)));
        self.refilled = self.refilled.max(now);
        unspent
    }

    fn take_token(
        &mut self,
        settings: &ShareSettings,
        limit: ShareLimit,
        unspent: f64,
    ) -> GrantVerdict {
        // Most allowances come back: until then, some of the excess stands in.
        let overdraft = unspent.min(settings.excess(limit) * settings.overdraft_share);
        if self.tokens + overdraft >= 1.0 {
            self.tokens -= 1.0;
            self.denied = (self.denied - 1.0).max(0.0);
            return GrantVerdict::Granted;
        }
        self.denied += 1.0;
        let missing = self.denied + 1.0 - self.tokens - overdraft;
        GrantVerdict::Denied(wait_micros(missing, limit))
    }

    /// Grants an allowance: part of the tokens, by the host's share of the
    /// demand.
    fn take_allowance(
        &mut self,
        settings: &ShareSettings,
        host: PeerKey,
        wanted: u32,
        now: MonotonicTime,
    ) -> u32 {
        if wanted == 0 || self.tokens < 1.0 {
            return 0;
        }
        let bounds = AgeBounds {
            fresh: settings.demand_time,
            expired: settings.demand_time * DEMAND_TIMES,
        };
        self.demands
            .retain(|_, demand| demand.unless_expired(bounds, now).is_some());
        let decayed = |demand: &AgedFigure<f64>| demand.decayed(0.0, settings.demand_time, now);
        let total: f64 = self.demands.values().map(decayed).sum();
        let own = self.demands.get(&host).map_or(0.0, decayed);
        let share = own / total.max(f64::EPSILON);
        let most = (self.tokens * settings.allowance_part * share).floor();
        let allowance = f64::from(wanted).min(most).max(0.0) as u32;
        if allowance > 0 {
            self.tokens -= f64::from(allowance);
            let source = FigureSource::Peer(host);
            self.allowances
                .push_back(AgedFigure::new(allowance, now, source));
        }
        allowance
    }
}

/// Time in which a bucket gains `missing` tokens, in microseconds.
pub(super) fn wait_micros(missing: f64, limit: ShareLimit) -> u64 {
    let wait = missing / limit.rate_per_s.max(f64::EPSILON);
    let wait = Duration::from_secs_f64(wait.min(DENIAL_WAIT_MAX.as_secs_f64()));
    u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)
}
