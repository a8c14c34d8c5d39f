use std::time::Duration;

use mangostep_objects::Limit;

use crate::limits::placement::{HOMES_MAX, HomeKey, home_indices, shard_of};

const MICROS_PER_TOKEN: f64 = 1e6;

/// A rate limit enforced over all hosts together, in millionths of a token.
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
    /// Refill rate in millionths of a token per second.
    pub rate_micro_per_s: u64,
    /// Tokens that may be taken at once from full buckets, in millionths.
    pub burst_micro: u64,
}

impl FleetLimit {
    /// Converts a configured limit, truncated to whole millionths; negative
    /// values become zero.
    pub fn from_limit(limit: &Limit) -> Self {
        // The cast saturates, and a negative number becomes zero.
        FleetLimit {
            rate_micro_per_s: (limit.rate_per_s * MICROS_PER_TOKEN) as u64,
            burst_micro: (limit.burst * MICROS_PER_TOKEN) as u64,
        }
    }

    /// Returns the homes that hold a share of a name: one per whole token of
    /// the burst, at least one and at most three.
    ///
    /// With more homes, a share might never hold one whole token.
    pub fn homes(&self, name: &str) -> impl Iterator<Item = HomeKey> + use<> {
        let shard = shard_of(name);
        home_indices(name, self.home_count()).map(move |index| HomeKey { shard, index })
    }

    /// Returns the share of the home with the given index, or
    /// [`LimitShare::NONE`] when it is not a home of the name.
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
        let whole_tokens = self.burst_micro / 1_000_000;
        u8::try_from(whole_tokens.clamp(1, u64::from(HOMES_MAX))).unwrap_or(HOMES_MAX)
    }
}

/// One home's share of a [`FleetLimit`], in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitShare {
    /// Refill rate in millionths of a token per second.
    pub rate_micro_per_s: u64,
    /// Capacity of the bucket in millionths of a token.
    pub burst_micro: u64,
}

impl LimitShare {
    /// The empty share, of a home that does not serve the name.
    pub const NONE: LimitShare = LimitShare {
        rate_micro_per_s: 0,
        burst_micro: 0,
    };

    /// Minimum of two shares, of rate and burst separately.
    pub(crate) fn component_min(self, other: LimitShare) -> LimitShare {
        LimitShare {
            rate_micro_per_s: self.rate_micro_per_s.min(other.rate_micro_per_s),
            burst_micro: self.burst_micro.min(other.burst_micro),
        }
    }

    /// Time in which the share refills `units` bucket units, at most an hour.
    pub(crate) fn refill_time(self, units: u128) -> Duration {
        const REFILL_TIME_MAX: Duration = Duration::from_secs(3600);
        if units == 0 {
            return Duration::ZERO;
        }
        let Some(micros) = units.checked_div(u128::from(self.rate_micro_per_s)) else {
            return REFILL_TIME_MAX;
        };
        let micros = u64::try_from(micros + 1).unwrap_or(u64::MAX);
        Duration::from_micros(micros).min(REFILL_TIME_MAX)
    }
}
