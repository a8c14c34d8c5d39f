use std::time::Duration;

use crate::{MonotonicTime, limits::share::LimitShare};

/// Units of one token: a rate in millionths a second times microseconds gives
/// whole units, so that no rounding ever adds a token.
pub(crate) const TOKEN_UNITS: u128 = 1_000_000_000_000;

/// Units of a millionth of a token.
pub(crate) const MICRO_UNITS: u128 = 1_000_000;

/// What a home gave away of less than one token.
///
/// The giver may refill its bucket while the fraction is under way. So the
/// fraction keeps its worth only as long as the giver's bucket has room for
/// it, and then shrinks as fast as the giver refills. Thus the buckets and
/// the fractions under way never hold more than the burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenFraction {
    /// Millionths of a token.
    pub micro: u64,
    /// Time from the asking in which nothing is lost.
    pub decays_after: Duration,
    /// Millionths of a token lost in a second after that.
    pub decay_micro_per_s: u64,
}

impl TokenFraction {
    /// What is left some time after the fraction was asked for.
    pub(crate) fn units_after(&self, elapsed: Duration) -> u128 {
        let late = elapsed.saturating_sub(self.decays_after).as_micros();
        let lost = u128::from(self.decay_micro_per_s).saturating_mul(late);
        (u128::from(self.micro) * MICRO_UNITS).saturating_sub(lost)
    }
}

/// A token bucket without its share, which may change while it is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenBucket {
    units: u128,
    refilled: MonotonicTime,
}

impl TokenBucket {
    pub(crate) fn empty(now: MonotonicTime) -> Self {
        TokenBucket {
            units: 0,
            refilled: now,
        }
    }

    pub(crate) fn units(&self) -> u128 {
        self.units
    }

    /// Adds what came back since the last call.
    pub(crate) fn refill(&mut self, share: LimitShare, now: MonotonicTime) {
        let elapsed = now.since(self.refilled).as_micros();
        let gained = u128::from(share.rate_micro_per_s).saturating_mul(elapsed);
        self.units = self.units.saturating_add(gained).min(capacity(share));
        self.refilled = self.refilled.max(now);
    }

    /// Takes whole tokens, at most `wanted`; call [`TokenBucket::refill`]
    /// before.
    pub(crate) fn take(&mut self, wanted: u32) -> u32 {
        let whole = u32::try_from(self.units / TOKEN_UNITS).unwrap_or(u32::MAX);
        let taken = whole.min(wanted);
        self.units -= u128::from(taken) * TOKEN_UNITS;
        taken
    }

    /// Takes what is left below one token; nothing while whole ones are left.
    pub(crate) fn take_fraction(&mut self, share: LimitShare) -> TokenFraction {
        let micro = u64::try_from(self.units / MICRO_UNITS).unwrap_or(u64::MAX);
        if self.units >= TOKEN_UNITS || micro == 0 {
            return TokenFraction::default();
        }
        let room = capacity(share).saturating_sub(self.units);
        self.units -= u128::from(micro) * MICRO_UNITS;
        // Rounded down, for the fraction may not outlast the room.
        let decays_after = room
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

    /// Adds units that came from elsewhere, and takes whole tokens of the sum
    /// before the rest is cut to what the bucket holds.
    pub(crate) fn add_and_take(&mut self, share: LimitShare, added: u128, wanted: u32) -> u32 {
        self.units = self.units.saturating_add(added);
        let taken = self.take(wanted);
        self.units = self.units.min(capacity(share));
        taken
    }

    pub(crate) fn is_full(&self, share: LimitShare) -> bool {
        self.units >= capacity(share)
    }

    /// Time until one whole token is there.
    pub(crate) fn token_time(&self, share: LimitShare) -> Duration {
        share.refill_time(TOKEN_UNITS.saturating_sub(self.units))
    }
}

pub(crate) fn capacity(share: LimitShare) -> u128 {
    u128::from(share.burst_micro) * MICRO_UNITS
}
