use std::time::Duration;

use crate::{MonotonicTime, limits::share::LimitShare};

/// Bucket units per token. A rate in millionths of a token per second times a
/// time in microseconds gives whole units, so rounding never adds a token.
pub(crate) const TOKEN_UNITS: u128 = 1_000_000_000_000;

/// Bucket units per millionth of a token.
pub(crate) const MICRO_UNITS: u128 = 1_000_000;

/// Less than one token, transferred from one home to another.
///
/// The sending home may refill its bucket while the fraction is in transit.
/// The fraction therefore keeps its full value only until the sender's bucket
/// would have been full without the transfer, and then decays at the sender's
/// refill rate. Buckets and fractions in transit together never exceed the
/// burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenFraction {
    /// Value at the time of the request, in millionths of a token.
    pub micro: u64,
    /// Time from the request for the fraction until its value starts to decay.
    pub decays_after: Duration,
    /// Decay after that, in millionths of a token per second.
    pub decay_micro_per_s: u64,
}

impl TokenFraction {
    /// Remaining value in bucket units, `elapsed` after the fraction was
    /// requested.
    pub(crate) fn units_after(&self, elapsed: Duration) -> u128 {
        let decaying_us = elapsed.saturating_sub(self.decays_after).as_micros();
        let lost = u128::from(self.decay_micro_per_s).saturating_mul(decaying_us);
        (u128::from(self.micro) * MICRO_UNITS).saturating_sub(lost)
    }
}

/// A token bucket that gets its rate and burst with each call, since both may
/// change while it is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenBucket {
    units: u128,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    pub(crate) fn empty(now: MonotonicTime) -> Self {
        TokenBucket {
            units: 0,
            refilled_at: now,
        }
    }

    pub(crate) fn units(&self) -> u128 {
        self.units
    }

    /// Adds the tokens accrued since the last refill, up to the burst.
    pub(crate) fn refill(&mut self, share: LimitShare, now: MonotonicTime) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let gained = u128::from(share.rate_micro_per_s).saturating_mul(elapsed);
        self.units = self.units.saturating_add(gained).min(capacity(share));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes at most `wanted` whole tokens without refilling first; call
    /// [`TokenBucket::refill`] before.
    pub(crate) fn take(&mut self, wanted: u32) -> u32 {
        let whole = u32::try_from(self.units / TOKEN_UNITS).unwrap_or(u32::MAX);
        let taken = whole.min(wanted);
        self.units -= u128::from(taken) * TOKEN_UNITS;
        taken
    }

    /// Takes the remaining fraction of a token, or nothing while the bucket
    /// holds a whole token.
    pub(crate) fn take_fraction(&mut self, share: LimitShare) -> TokenFraction {
        let micro = u64::try_from(self.units / MICRO_UNITS).unwrap_or(u64::MAX);
        if self.units >= TOKEN_UNITS || micro == 0 {
            return TokenFraction::default();
        }
        let headroom = capacity(share).saturating_sub(self.units);
        self.units -= u128::from(micro) * MICRO_UNITS;
        // Rounded down, so that the fraction decays no later than the bucket
        // would have become full.
        let decays_after = headroom
            .checked_div(u128::from(share.rate_micro_per_s))
            .map_or(Duration::MAX, |micros| {
                Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
            });
        TokenFraction {
            micro,
            decays_after,
            decay_micro_per_s: share.rate_micro_per_s,
        }
    }

    /// Adds units received from other homes and takes whole tokens from the
    /// sum, then limits the remainder to the bucket's capacity.
    pub(crate) fn add_and_take(&mut self, share: LimitShare, added: u128, wanted: u32) -> u32 {
        self.units = self.units.saturating_add(added);
        let taken = self.take(wanted);
        self.units = self.units.min(capacity(share));
        taken
    }

    pub(crate) fn is_full(&self, share: LimitShare) -> bool {
        self.units >= capacity(share)
    }

    /// Time until the bucket holds one whole token.
    pub(crate) fn token_time(&self, share: LimitShare) -> Duration {
        share.refill_time(TOKEN_UNITS.saturating_sub(self.units))
    }
}

/// Units that a full bucket of the share holds.
pub(crate) fn capacity(share: LimitShare) -> u128 {
    u128::from(share.burst_micro) * MICRO_UNITS
}
