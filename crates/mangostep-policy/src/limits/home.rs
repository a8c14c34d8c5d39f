use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    MonotonicTime,
    limits::{
        bucket::{MICRO_UNITS, TOKEN_UNITS, TokenBucket, TokenFraction, capacity},
        share::{FleetLimit, LimitShare},
    },
};

/// Time after which every host gives by a changed number of homes.
const HOMES_SETTLE: Duration = Duration::from_secs(10);

/// Time after which nothing counts any more that was given away before.
const GIFT_VALIDITY: Duration = Duration::from_millis(250);

/// What a home gives for a number of tokens asked of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Tokens given, at most as many as were asked for.
    pub granted: u32,
    /// When fewer were given: time until one token is back at this home.
    pub retry_after: Duration,
}

/// The state of a home that leaves, for the one that follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Time since the home was opened, in microseconds; a name without a
    /// bucket has refilled for as long.
    pub age_us: u64,
    /// Buckets that were not full.
    pub buckets: Vec<BucketState>,
}

/// What one bucket held when its home left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Name that the limit holds for.
    pub name: String,
    /// Millionths of a token.
    pub micro: u64,
}

/// The buckets of one home of one shard, under one epoch.
///
/// A home starts with no tokens, since its forerunner may have given them
/// all. A bucket that has refilled is dropped: what an absent bucket holds
/// follows from the time since the home was opened, so memory grows only with
/// the names that take tokens now.
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
    opened: MonotonicTime,
    buckets: HashMap<String, TokenBucket>,
    settling: HashMap<String, SettlingShare>,
    is_sealed: bool,
    has_accepted: bool,
}

/// The share that still holds for a time after a limit was changed.
#[derive(Clone, Copy, Debug)]
struct SettlingShare {
    until: MonotonicTime,
    most: LimitShare,
}

impl LimitHome {
    /// Opens a home with no tokens.
    pub fn open(index: u8, now: MonotonicTime) -> Self {
        LimitHome {
            index,
            opened: now,
            buckets: HashMap::new(),
            settling: HashMap::new(),
            is_sealed: false,
            has_accepted: false,
        }
    }

    /// Takes whole tokens for requests that wait now.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
        tokens: u32,
    ) -> TokenGrant {
        self.add_and_take(now, name, limit, 0, tokens)
    }

    /// Takes whole tokens after other homes gave their fractions.
    ///
    /// `asked` is when they were asked, so that a fraction which was long
    /// under way counts for less.
    pub fn take_with_fractions(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
        tokens: u32,
        fractions: &[TokenFraction],
        asked: MonotonicTime,
    ) -> TokenGrant {
        let elapsed = now.since(asked);
        if elapsed > GIFT_VALIDITY {
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

    /// Gives away what is left below one token, for the home that was asked
    /// last.
    ///
    /// A home gives nothing away while its forerunner's state may come.
    pub fn take_fraction(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
    ) -> TokenFraction {
        if self.is_sealed || self.may_accept(now) {
            return TokenFraction::default();
        }
        let share = self.share(now, name, limit);
        self.bucket(now, name, limit).take_fraction(share)
    }

    /// Time until the home would hold a whole token if it were given all that
    /// comes back at every home of the name.
    pub fn combined_token_time(
        &mut self,
        now: MonotonicTime,
        name: &str,
        limit: FleetLimit,
    ) -> Duration {
        let units = self.bucket(now, name, limit).units();
        let whole = LimitShare {
            rate_micro_per_s: limit.rate_micro_per_s,
            burst_micro: limit.burst_micro,
        };
        whole.refill_time(TOKEN_UNITS.saturating_sub(units))
    }

    /// Takes note of a limit that changes now.
    ///
    /// Tokens that are there stay, up to the new burst. A share that grows
    /// does so when no fraction is under way any more, and, when the number
    /// of homes changes, when every host has the change in force.
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
        let held = self.share(now, name, old);
        self.bucket(now, name, old);
        let wait = if old.home_count() == new.home_count() {
            GIFT_VALIDITY
        } else {
            HOMES_SETTLE
        };
        let before = self.settling.get(name).map_or(now, |share| share.until);
        let settling = SettlingShare {
            until: before.max(now + wait),
            most: held,
        };
        self.settling.insert(name.to_owned(), settling);
    }

    /// Drops the buckets that have refilled; returns how many are left.
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
        let implied = self.implied(now, share);
        if is_full && !is_settling && implied.is_full(share) {
            self.buckets.remove(name);
        }
    }

    /// Names that have a bucket now.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Ends giving for good and returns what is left.
    pub fn seal(
        &mut self,
        now: MonotonicTime,
        limit_of: impl Fn(&str) -> Option<FleetLimit>,
    ) -> HandoverState {
        self.is_sealed = true;
        let age = now.since(self.opened).as_micros();
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

    /// Takes over what the forerunner had left when it was sealed.
    ///
    /// The caller makes sure that the state is that of the epoch right before
    /// this home's. Only the first state counts, so that one which comes
    /// twice adds nothing, and only right after the opening. What this home
    /// has refilled by then is taken off, since the forerunner's bucket might
    /// have been full. Returns whether the state counts.
    pub fn accept_handover(
        &mut self,
        now: MonotonicTime,
        state: &HandoverState,
        limit_of: impl Fn(&str) -> Option<FleetLimit>,
    ) -> bool {
        if !self.may_accept(now) {
            return false;
        }
        self.has_accepted = true;
        let age = Duration::from_micros(state.age_us);
        let handed: HashMap<&str, u64> = state
            .buckets
            .iter()
            .map(|bucket| (bucket.name.as_str(), bucket.micro))
            .collect();
        let mut names: Vec<String> = self.buckets.keys().cloned().collect();
        names.extend(handed.keys().map(|name| (*name).to_owned()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let Some(limit) = limit_of(&name) else {
                continue;
            };
            let share = self.share(now, &name, limit);
            let added = handed.get(name.as_str()).map_or_else(
                || u128::from(share.rate_micro_per_s).saturating_mul(age.as_micros()),
                |micro| u128::from(*micro) * MICRO_UNITS,
            );
            let room = capacity(share).saturating_sub(self.implied(now, share).units());
            let added = added.min(room);
            self.bucket(now, &name, limit).add_and_take(share, added, 0);
        }
        self.opened = self.opened.min(now - age);
        true
    }

    fn may_accept(&self, now: MonotonicTime) -> bool {
        !self.has_accepted && !self.is_sealed && now.since(self.opened) <= GIFT_VALIDITY
    }

    /// The share that holds now.
    fn share(&mut self, now: MonotonicTime, name: &str, limit: FleetLimit) -> LimitShare {
        let share = limit.share(name, self.index);
        let Some(settling) = self.settling.get(name).copied() else {
            return share;
        };
        if now < settling.until {
            return share.least(settling.most);
        }
        // What came back before the end of the settling did so by its share.
        self.settling.remove(name);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.refill(share.least(settling.most), settling.until);
        }
        share
    }

    /// The bucket of a name, refilled.
    fn bucket(&mut self, now: MonotonicTime, name: &str, limit: FleetLimit) -> &mut TokenBucket {
        let share = self.share(now, name, limit);
        let implied = self.implied(now, share);
        let bucket = self.buckets.entry(name.to_owned()).or_insert(implied);
        bucket.refill(share, now);
        bucket
    }

    /// What a bucket holds that was empty when the home was opened.
    fn implied(&self, now: MonotonicTime, share: LimitShare) -> TokenBucket {
        let mut bucket = TokenBucket::empty(self.opened);
        bucket.refill(share, now);
        bucket
    }
}
