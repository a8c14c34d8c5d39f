use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    MonotonicTime,
    limits::{
        bucket::{MICRO_UNITS, TOKEN_UNITS, TokenBucket, TokenFraction, capacity},
        share::{FleetLimit, LimitShare},
    },
};

/// Time after which every host applies a changed number of homes.
const HOME_COUNT_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time for which fractions and handovers from other homes remain valid.
const TRANSFER_VALIDITY: Duration = Duration::from_millis(250);

/// Answer of a home to a request for a number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Tokens granted, at most the number requested.
    pub granted: u32,
    /// Time until the home has its next whole token; zero when all requested
    /// tokens were granted or the home is sealed.
    pub retry_after: Duration,
}

/// State that a sealed home hands over to its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Time since the home was opened, in microseconds; the bucket of a name
    /// that is not listed has refilled for that time.
    pub age_us: u64,
    /// Buckets that the home held in memory.
    pub buckets: Vec<BucketState>,
}

/// Content of one bucket at the time its home was sealed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Name that the limit applies to, such as `w:repairs`.
    pub name: String,
    /// Content in millionths of a token.
    pub micro: u64,
}

/// Token buckets of one limit home during one epoch of its lease.
///
/// A home starts with no tokens, since its predecessor may have granted all of
/// them. Full buckets are dropped: the content of an absent bucket follows
/// from the time since the home was opened, so memory grows only with the
/// names that currently take tokens.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{FleetLimit, LimitHome, MonotonicTime};
///
/// let limit = FleetLimit { rate_micro_per_s: 2_000_000, burst_micro: 1_000_000 };
/// let start = MonotonicTime::ZERO;
/// let index = limit.homes("w:repairs").next().unwrap().index;
/// let mut home = LimitHome::open(index, start);
/// assert_eq!(home.take(start, "w:repairs", limit, 1).granted, 0);
/// let later = start + Duration::from_millis(500);
/// assert_eq!(home.take(later, "w:repairs", limit, 3).granted, 1);
/// ```
#[derive(Clone, Debug)]
pub struct LimitHome {
    index: u8,
    opened_at: MonotonicTime,
    buckets: HashMap<String, TokenBucket>,
    settling: HashMap<String, SettlingShare>,
    is_sealed: bool,
    has_accepted_handover: bool,
}

/// Upper bound on a share for a time after its limit was changed.
#[derive(Clone, Copy, Debug)]
struct SettlingShare {
    until: MonotonicTime,
    bound: LimitShare,
}

impl LimitHome {
    /// Opens a home without tokens; `index` is its index within the shard.
    pub fn open(index: u8, now: MonotonicTime) -> Self {
        LimitHome {
            index,
            opened_at: now,
            buckets: HashMap::new(),
            settling: HashMap::new(),
            is_sealed: false,
            has_accepted_handover: false,
        }
    }

    /// Takes at most `tokens` whole tokens for waiting requests; none once the
    /// home is sealed.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
        tokens: u32,
    ) -> TokenGrant {
        self.add_and_take(now, name, limit, 0, tokens)
    }

    /// Takes whole tokens after adding the fractions of other homes.
    ///
    /// `requested_at` is the time at which the fractions were requested: they
    /// decay while in transit, and are ignored after 250 ms.
    pub fn take_with_fractions(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
        tokens: u32,
        fractions: &[TokenFraction],
        requested_at: MonotonicTime,
    ) -> TokenGrant {
        let elapsed = now.since(requested_at);
        if elapsed > TRANSFER_VALIDITY {
            return self.take(now, name, limit, tokens);
        }
        let added = fractions
            .iter()
            .map(|fraction| fraction.units_after(elapsed))
            .sum();
        self.add_and_take(now, name, limit, added, tokens)
    }

    fn add_and_take(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
        added: u128,
        tokens: u32,
    ) -> TokenGrant {
        if self.is_sealed {
            return TokenGrant::default();
        }
        let share = self.share(now, name, limit);
        let bucket = self.bucket(now, name, limit);
        let granted = bucket.add_and_take(share, added, tokens);
        let retry_after = if granted < tokens {
            bucket.token_time(share)
        } else {
            Duration::ZERO
        };
        TokenGrant {
            granted,
            retry_after,
        }
    }

    /// Takes the remaining fraction of a token, for the home of the name that
    /// is tried last.
    ///
    /// Nothing is taken while the predecessor's state may still arrive.
    pub fn take_fraction(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
    ) -> TokenFraction {
        if self.is_sealed || self.may_accept_handover(now) {
            return TokenFraction::default();
        }
        let share = self.share(now, name, limit);
        self.bucket(now, name, limit).take_fraction(share)
    }

    /// Time until the home would hold a whole token if it received the refills
    /// of all homes of the name.
    pub fn combined_token_time(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
    ) -> Duration {
        let units = self.bucket(now, name, limit).units();
        let combined = LimitShare {
            rate_micro_per_s: limit.rate_micro_per_s,
            burst_micro: limit.burst_micro,
        };
        combined.refill_time(TOKEN_UNITS.saturating_sub(units))
    }

    /// Changes the limit of a name, effective now.
    ///
    /// A new limit starts with an empty bucket; a removed one drops its
    /// bucket. Otherwise the bucket's tokens stay, up to the new burst. A
    /// larger share takes effect only when no fraction can be in transit any
    /// more and, if the number of homes changes, when every host applies the
    /// new limit.
    pub fn change_limit(
        &mut self,
        now: MonotonicTime,
        name: &str,
        old: Option<FleetLimit>,
        new: Option<FleetLimit>,
    ) {
        let Some(new) = new else {
            self.buckets.remove(name);
            self.settling.remove(name);
            return;
        };
        let Some(old) = old else {
            self.buckets
                .insert(name.to_owned(), TokenBucket::empty(now));
            return;
        };
        let current = self.share(now, name, old);
        self.bucket(now, name, old);
        let wait = if old.home_count() == new.home_count() {
            TRANSFER_VALIDITY
        } else {
            HOME_COUNT_SETTLE_TIME
        };
        let previous_end = self.settling.get(name).map_or(now, |share| share.until);
        let settling = SettlingShare {
            until: previous_end.max(now + wait),
            bound: current,
        };
        self.settling.insert(name.to_owned(), settling);
    }

    /// Drops full buckets, and those of names without a limit; returns the
    /// number of remaining buckets.
    pub fn drop_full_buckets(
        &mut self,
        now: MonotonicTime,
        limit_of: impl Fn(&str) -> Option<FleetLimit>,
    ) -> usize {
        let names: Vec<String> = self.buckets.keys().cloned().collect();
        for name in names {
            let Some(limit) = limit_of(&name) else {
                self.buckets.remove(&name);
                self.settling.remove(&name);
                continue;
            };
            self.drop_if_full(now, &name, limit);
        }
        self.buckets.len()
    }

    fn drop_if_full(&mut self, now: MonotonicTime, name: &str, limit: FleetLimit) {
        let share = self.share(now, name, limit);
        let is_full = self.bucket(now, name, limit).is_full(share);
        let is_settling = self.settling.contains_key(name);
        let implied = self.implied_bucket(now, share);
        if is_full && !is_settling && implied.is_full(share) {
            self.buckets.remove(name);
        }
    }

    /// Number of names with a bucket in memory.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Stops granting tokens permanently and returns the state for the
    /// successor.
    pub fn seal(
        &mut self,
        now: MonotonicTime,
        limit_of: impl Fn(&str) -> Option<FleetLimit>,
    ) -> HandoverState {
        self.is_sealed = true;
        let age = now.since(self.opened_at).as_micros();
        let names: Vec<String> = self.buckets.keys().cloned().collect();
        let buckets = names
            .into_iter()
            .filter_map(|name| {
                let limit = limit_of(&name)?;
                let units = self.bucket(now, &name, limit).units();
                let micro = u64::try_from(units / MICRO_UNITS).unwrap_or(u64::MAX);
                Some(BucketState { name, micro })
            })
            .collect();
        HandoverState {
            age_us: u64::try_from(age).unwrap_or(u64::MAX),
            buckets,
        }
    }

    /// Adds the tokens that the predecessor had when it was sealed.
    ///
    /// The caller ensures that the state is from the epoch directly before
    /// this home's. Only the first state is applied, so that a duplicate adds
    /// nothing, and only within 250 ms of opening. The tokens added to a
    /// bucket are bounded by its capacity less the refill since opening,
    /// because the predecessor's bucket may have been full. Returns whether
    /// the state was applied.
    pub fn accept_handover(
        &mut self,
        now: MonotonicTime,
        state: &HandoverState,
        limit_of: impl Fn(&str) -> Option<FleetLimit>,
    ) -> bool {
        if !self.may_accept_handover(now) {
            return false;
        }
        self.has_accepted_handover = true;
        let age = Duration::from_micros(state.age_us);
        let handed_over: HashMap<&str, u64> = state
            .buckets
            .iter()
            .map(|bucket| (bucket.name.as_str(), bucket.micro))
            .collect();
        let mut names: Vec<String> = self.buckets.keys().cloned().collect();
        names.extend(handed_over.keys().map(|name| (*name).to_owned()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let Some(limit) = limit_of(&name) else {
                continue;
            };
            let share = self.share(now, &name, limit);
            let added = handed_over.get(name.as_str()).map_or_else(
                || u128::from(share.rate_micro_per_s).saturating_mul(age.as_micros()),
                |micro| u128::from(*micro) * MICRO_UNITS,
            );
            let headroom = capacity(share).saturating_sub(self.implied_bucket(now, share).units());
            let added = added.min(headroom);
            self.bucket(now, &name, limit).add_and_take(share, added, 0);
        }
        self.opened_at = self.opened_at.min(now - age);
        true
    }

    fn may_accept_handover(&self, now: MonotonicTime) -> bool {
        !self.has_accepted_handover
            && !self.is_sealed
            && now.since(self.opened_at) <= TRANSFER_VALIDITY
    }

    /// Returns the share in effect, and ends its settling period once that is
    /// over.
    fn share(&mut self, now: MonotonicTime, name: &str, limit: FleetLimit) -> LimitShare {
        let share = limit.share(name, self.index);
        let Some(settling) = self.settling.get(name).copied() else {
            return share;
        };
        if now < settling.until {
            return share.component_min(settling.bound);
        }
        // Tokens accrued before the end of the settling period accrued at the
        // bounded rate.
        self.settling.remove(name);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.refill(share.component_min(settling.bound), settling.until);
        }
        share
    }

    /// Returns the refilled bucket of a name, created if it is absent.
    fn bucket(&mut self, now: MonotonicTime, name: &str, limit: FleetLimit) -> &mut TokenBucket {
        let share = self.share(now, name, limit);
        let implied = self.implied_bucket(now, share);
        let bucket = self.buckets.entry(name.to_owned()).or_insert(implied);
        bucket.refill(share, now);
        bucket
    }

    /// Returns the bucket that an absent one stands for: empty when the home
    /// was opened, and refilled since.
    fn implied_bucket(&self, now: MonotonicTime, share: LimitShare) -> TokenBucket {
        let mut bucket = TokenBucket::empty(self.opened_at);
        bucket.refill(share, now);
        bucket
    }
}
