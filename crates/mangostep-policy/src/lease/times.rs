use std::time::Duration;

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

/// Durations of the host lease.
///
/// All hosts of a fleet must use the same values.
///
/// # Example
///
/// ```
/// use mangostep_policy::LeaseTimes;
///
/// assert!(LeaseTimes::default().is_valid());
/// assert!(LeaseTimes::for_890_hosts().is_valid());
/// ```
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseTimes {
    /// Time between the starts of two renewals.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "renew_every_ms")]
    pub renewal_interval: Duration,
    /// Longest response time at which a response still confirms its renewal,
    /// and at which a reading still counts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_limit_ms")]
    pub answer_limit: Duration,
    /// Time since the sending of the latest confirmed renewal after which a
    /// host is in doubt about its lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "doubt_after_ms")]
    pub doubt_after: Duration,
    /// Length of the lease, counted from just before the confirmed renewal
    /// was sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Length of the extension by vouching, counted from the oldest vouch
    /// request of the majority.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "vouch_ms")]
    pub vouch: Duration,
    /// Time between two rounds of vouch requests to the members.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ask_every_ms")]
    pub vouch_request_interval: Duration,
    /// Shortest time between two readings of the host rows; a reading that
    /// follows sooner does not count.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "reading_gap_min_ms")]
    pub reading_gap_min: Duration,
    /// Longest time between two readings of the host rows; after a longer gap
    /// every member has to prove again that it is renewing.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "reading_gap_max_ms")]
    pub reading_gap_max: Duration,
    /// Largest difference between the clock rates of two hosts, in
    /// thousandths.
    pub drift_per_mille: u32,
    /// Safety margin added to the wait before a takeover.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "take_margin_ms")]
    pub takeover_margin: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        let ms = Duration::from_millis;
        LeaseTimes {
            renewal_interval: ms(500),
            answer_limit: ms(500),
            doubt_after: ms(4_500),
            lease: ms(6_500),
            vouch: ms(2_000),
            vouch_request_interval: ms(300),
            reading_gap_min: ms(1_200),
            reading_gap_max: ms(1_800),
            drift_per_mille: 20,
            takeover_margin: ms(400),
        }
    }
}

impl LeaseTimes {
    /// Durations for a fleet of 890 hosts, whose renewals would exceed the
    /// write capacity of the table at the default interval.
    pub fn for_890_hosts() -> Self {
        let ms = Duration::from_millis;
        LeaseTimes {
            renewal_interval: ms(4_000),
            answer_limit: ms(1_000),
            doubt_after: ms(24_500),
            lease: ms(29_500),
            vouch: ms(5_000),
            vouch_request_interval: ms(1_500),
            reading_gap_min: ms(9_500),
            reading_gap_max: ms(11_000),
            takeover_margin: ms(1_000),
            ..Default::default()
        }
    }

    /// Returns whether the durations satisfy the inequalities that the safety
    /// proof relies on.
    ///
    /// A member that shows a newly confirmed renewal at every reading must
    /// never have been in doubt, and vouching must be able to start before
    /// the lease ends.
    pub fn is_valid(&self) -> bool {
        let two_gaps = self.reading_gap_max * 2 + self.answer_limit;
        let two_renewals = self.renewal_interval * 2;
        self.with_drift(two_gaps) < self.doubt_after
            && two_renewals < self.reading_gap_min
            && self.reading_gap_min < self.reading_gap_max
            && self.doubt_after + self.vouch_request_interval * 3 < self.lease
            && self.doubt_after + self.vouch <= self.lease
    }

    /// How long the holder's row must have been observed unchanged before a
    /// takeover, on the clock of the host that takes over.
    pub fn takeover_wait(&self) -> Duration {
        self.with_drift(self.lease) + self.takeover_margin
    }

    /// How long a majority must have been observed renewing before a
    /// takeover.
    pub fn majority_wait(&self) -> Duration {
        self.with_drift(self.vouch) + self.reading_gap_max
    }

    /// Returns the longest duration that this host's clock can measure for a
    /// span of another host's clock.
    fn with_drift(&self, span: Duration) -> Duration {
        span + span * self.drift_per_mille / 1000
    }
}
