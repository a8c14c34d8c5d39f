use std::time::Duration;

use crate::{
    MonotonicTime,
    shares::{GrantVerdict, ShareLimit, ShareSettings, share_bucket::wait_micros},
};

/// Tokens of one workspace at a standby home, which is asked when the first
/// home does not respond in time.
///
/// What a standby grants is reported to the first home, which deducts it. A
/// first home that confirms the report is alive; without a confirmation for
/// [`ShareSettings::takeover_time`], the standby refills the bucket itself.
#[derive(Clone, Debug)]
pub(super) struct StandbyBucket {
    limit: ShareLimit,
    tokens: f64,
    /// Granted requests that the first home has not confirmed.
    unconfirmed: u32,
    /// Time since which the first home owes a confirmation.
    unconfirmed_since: Option<MonotonicTime>,
    /// Since when tokens are gained. Until the takeover, since the first home
    /// owes a confirmation: a failed home has granted nothing since.
    refilled: MonotonicTime,
    asked: MonotonicTime,
}

impl StandbyBucket {
    pub(super) fn open(settings: &ShareSettings, limit: ShareLimit, now: MonotonicTime) -> Self {
        StandbyBucket {
            limit,
            tokens: settings.standby_tokens(limit),
            unconfirmed: 0,
            unconfirmed_since: None,
            refilled: now,
            asked: now,
        }
    }

    /// Whether this home has taken the bucket over.
    pub(super) fn is_holder(&self, settings: &ShareSettings, now: MonotonicTime) -> bool {
        self.unconfirmed_since
            .is_some_and(|since| now.since(since) >= settings.takeover_time)
    }

    /// Takes a token. `None` if there is none and the first home may have one.
    pub(super) fn take(
        &mut self,
        settings: &ShareSettings,
        limit: ShareLimit,
        now: MonotonicTime,
    ) -> Option<GrantVerdict> {
        self.limit = limit;
        let is_holder = self.is_holder(settings, now);
        if is_holder {
            // A failed home has granted nothing since the first report.
            self.unconfirmed = 0;
            let gained = now.since(self.refilled).as_secs_f64() * limit.rate_per_s;
            self.tokens = (self.tokens + gained).min(limit.burst.max(1.0));
        }
        if is_holder || self.unconfirmed_since.is_none() {
            self.refilled = now;
        }
        self.asked = now;
        // The first report also tells whether the first home is alive.
        self.unconfirmed_since = self.unconfirmed_since.or(Some(now));
        if self.tokens < 1.0 {
            let wait = wait_micros(1.0 - self.tokens, limit);
            return is_holder.then_some(GrantVerdict::Denied(wait));
        }
        self.tokens -= 1.0;
        // A holder refills at the rate, in place of the first home.
        self.unconfirmed += u32::from(!is_holder);
        Some(GrantVerdict::Granted)
    }

    /// What is to be reported to the first home. `None` if nothing is.
    pub(super) fn debt(&self) -> Option<(ShareLimit, u32)> {
        self.unconfirmed_since
            .map(|_| (self.limit, self.unconfirmed))
    }

    /// Records that the first home has deducted `count` requests, and whether
    /// its bucket is exhausted. Then this one stays empty, too.
    pub(super) fn record_confirmation(
        &mut self,
        settings: &ShareSettings,
        count: u32,
        is_exhausted: bool,
        now: MonotonicTime,
    ) {
        self.unconfirmed = self.unconfirmed.saturating_sub(count);
        self.unconfirmed_since = (self.unconfirmed > 0).then_some(now);
        self.tokens = match is_exhausted {
            true => 0.0,
            false => settings.standby_tokens(self.limit) - f64::from(self.unconfirmed),
        };
        self.refilled = now;
    }

    pub(super) fn idle_time(&self, now: MonotonicTime) -> Duration {
        now.since(self.asked)
    }
}
