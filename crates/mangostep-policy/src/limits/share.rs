use std::time::Duration;

use mangostep_objects::Limit;

use crate::limits::placement::{HOMES_MAX, HomeKey, home_indices, shard_of};

const MICROS: f64 = 1e6;

/// A rate and a burst over all hosts, in millionths of a token.
///
/// # Example
///
/// ```
/// use mangostep_policy::FleetLimit;
///
/// let limit = FleetLimit { rate_micro_per_s: 30_000_000, burst_micro: 2_500_000 };
/// assert_eq!(limit.homes("w:repairs").count(), 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLimit {
    /// Tokens that come back in a second.
    pub rate_micro_per_s: u64,
    /// Tokens that may be taken at once after a quiet time.
    pub burst_micro: u64,
}

impl FleetLimit {
    /// Reads a limit object; fractions below a millionth are cut off.
    pub fn from_limit(limit: &Limit) -> Self {
        // The cast saturates, and a negative number becomes zero.
        FleetLimit {
            rate_micro_per_s: (limit.rate_per_s * MICROS) as u64,
            burst_micro: (limit.burst * MICROS) as u64,
        }
    }

    /// The homes that hold a share of a name: as many as its burst has whole
    /// tokens, at least one and at most three.
    ///
    /// With more of them, a share might never hold one whole token.
    pub fn homes(&self, name: &str) -> impl Iterator<Item = HomeKey> + use<> {
        let shard = shard_of(name);
        home_indices(name, self.home_count()).map(move |index| HomeKey { shard, index })
    }

    /// The share of one home; nothing when it is no home of the name.
    pub fn share(&self, name: &str, index: u8) -> LimitShare {
        let count = self.home_count();
        if !home_indices(name, count).any(|home| home == index) {
            return LimitShare::NONE;
        }
        LimitShare {
            rate_micro_per_s: self.rate_micro_per_s / u64::from(count),
            burst_micro: self.burst_micro / u64::from(count),
        }
    }

    pub(crate) fn home_count(&self) -> u8 {
        let whole = self.burst_micro / 1_000_000;
        u8::try_from(whole.clamp(1, u64::from(HOMES_MAX))).unwrap_or(HOMES_MAX)
    }
}

/// One home's part of a limit, in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitShare {
    /// Tokens that come back in a second.
    pub rate_micro_per_s: u64,
    /// Tokens that the bucket holds when full.
    pub burst_micro: u64,
}

impl LimitShare {
    /// The share of a host that is no home.
    pub const NONE: LimitShare = LimitShare {
        rate_micro_per_s: 0,
        burst_micro: 0,
    };

    /// The smaller of two shares, in each part.
    pub(crate) fn least(self, other: LimitShare) -> LimitShare {
        LimitShare {
            rate_micro_per_s: self.rate_micro_per_s.min(other.rate_micro_per_s),
            burst_micro: self.burst_micro.min(other.burst_micro),
        }
    }

    /// Time in which the share refills an amount, at most an hour.
    pub(crate) fn refill_time(self, amount: u128) -> Duration {
        const MOST: Duration = Duration::from_secs(3600);
        if amount == 0 {
            return Duration::ZERO;
        }
        let Some(micros) = amount.checked_div(u128::from(self.rate_micro_per_s)) else {
            return MOST;
        };
        let micros = u64::try_from(micros + 1).unwrap_or(u64::MAX);
        Duration::from_micros(micros).min(MOST)
    }
}
