use std::collections::HashMap;

use crate::{
    MonotonicTime,
    lease::{LeaseRules, LeaseTimes, MemberSet},
};

/// Whether a host may act as the holder of the resources assigned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The host's own lease is running.
    Held,
    /// The lease has run out, but a majority of members that cannot reach the
    /// store either has extended the standing.
    Vouched,
    /// The host may not act as holder.
    Lapsed,
}

/// Consecutive renewal intervals without a confirmed renewal after which a
/// host suspects that the store is unavailable.
const MISSED_RENEWALS_MIN: u32 = 3;

/// One renewal of the host's row, which the caller writes at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Sequence number of this renewal, written into the row.
    pub number: u64,
    /// Number of the latest confirmed renewal, written into the row; 0 if
    /// there is none.
    pub confirmed: u64,
    /// When the renewal was begun; the lease is counted from here.
    pub sent: MonotonicTime,
}

/// Effect of a response to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The lease was still valid, by renewal or vouching, and is extended.
    Extended,
    /// The host had lapsed and may act again.
    Regained,
    /// The response came too late or belongs to an abandoned renewal.
    Ignored,
}

/// One host's lease on its own row, and the standing that results from it.
///
/// The caller writes the row with [`Renewal::number`] and
/// [`Renewal::confirmed`], conditional on the row being unchanged since this
/// process last wrote it, and reads the holders of all resources in the same
/// transaction or after it.
///
/// # Example
///
/// ```
/// use mangostep_policy::{HostLease, LeaseTimes, MonotonicTime, Standing};
///
/// let start = MonotonicTime::from_micros(5_000_000);
/// let mut lease = HostLease::new(LeaseTimes::default(), start);
/// assert_eq!(lease.standing(start), Standing::Lapsed);
/// let renewal = lease.begin_renewal(start).unwrap();
/// lease.confirm(start, renewal.number);
/// assert_eq!(lease.standing(start), Standing::Held);
/// ```
#[derive(Clone, Debug)]
pub struct HostLease {
    times: LeaseTimes,
    rules: LeaseRules,
    number: u64,
    confirmed: u64,
    pending: Option<Renewal>,
    due: MonotonicTime,
    /// When the latest confirmed renewal was sent, or the start of the
    /// process.
    last_confirmed: MonotonicTime,
    lease_end: MonotonicTime,
    standing_end: MonotonicTime,
    replaced: bool,
    /// By host, when the latest request was sent that the host answered with
    /// a vouch.
    vouches: HashMap<String, MonotonicTime>,
}

impl HostLease {
    /// Creates the lease of a process that has just started.
    ///
    /// Its standing is [`Standing::Lapsed`] until a renewal is confirmed.
    pub fn new(times: LeaseTimes, started: MonotonicTime) -> Self {
        Self::with_rules(times, LeaseRules::default(), started)
    }

    /// Creates a lease with some safety rules disabled, for model checks.
    #[doc(hidden)]
    pub fn with_rules(times: LeaseTimes, rules: LeaseRules, started: MonotonicTime) -> Self {
        HostLease {
            times,
            rules,
            number: 0,
            confirmed: 0,
            pending: None,
            due: started,
            last_confirmed: started,
            lease_end: MonotonicTime::ZERO,
            standing_end: MonotonicTime::ZERO,
            replaced: false,
            vouches: HashMap::new(),
        }
    }

    /// The durations with which the lease was created.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }

    /// Begins a renewal if one is due and no response is pending.
    ///
    /// A response counts as pending for the answer limit. Returns `None`
    /// after [`HostLease::end`].
    pub fn begin_renewal(&mut self, now: MonotonicTime) -> Option<Renewal> {
        if self.replaced || now < self.due {
            return None;
        }
        let is_pending = |pending: Renewal| now.since(pending.sent) <= self.times.answer_limit;
        if self.pending.is_some_and(is_pending) {
            return None;
        }
        self.number += 1;
        self.due = now + self.times.renewal_interval;
        let renewal = Renewal {
            number: self.number,
            confirmed: self.confirmed,
            sent: now,
        };
        self.pending = Some(renewal);
        Some(renewal)
    }

    /// When the next renewal becomes due.
    pub fn next_renewal(&self) -> MonotonicTime {
        self.due
    }

    /// Handles the response that a renewal was written.
    ///
    /// If [`HostLease::standing`] is lapsed, the caller must have read the
    /// holders of all resources no earlier than the renewal took effect.
    pub fn confirm(&mut self, now: MonotonicTime, number: u64) -> Confirmation {
        let Some(renewal) = self.pending.filter(|pending| pending.number == number) else {
            return Confirmation::Ignored;
        };
        self.pending = None;
        let is_late = now.since(renewal.sent) > self.times.answer_limit;
        if is_late && self.rules.enforce_answer_limit {
            return Confirmation::Ignored;
        }
        let had_lapsed = self.standing(now) == Standing::Lapsed;
        self.confirmed = number;
        self.last_confirmed = renewal.sent;
        self.lease_end = renewal.sent + self.times.lease;
        self.standing_end = self.standing_end.max(self.lease_end);
        if had_lapsed {
            Confirmation::Regained
        } else {
            Confirmation::Extended
        }
    }

    /// Abandons the pending renewal, which failed or was not written.
    ///
    /// Has no effect if `number` is not the pending renewal.
    pub fn abandon(&mut self, number: u64) {
        if self.pending.is_some_and(|pending| pending.number == number) {
            self.pending = None;
        }
    }

    /// Makes the next renewal due immediately, after one that was not
    /// written.
    pub fn make_renewal_due(&mut self, now: MonotonicTime) {
        self.due = now;
    }

    /// Ends the lease permanently: another process has taken the host's row.
    pub fn end(&mut self) {
        self.replaced = true;
        self.pending = None;
        self.lease_end = MonotonicTime::ZERO;
        self.standing_end = MonotonicTime::ZERO;
    }

    /// Whether the lease has ended permanently.
    pub fn has_ended(&self) -> bool {
        self.replaced
    }

    /// Whether no renewal sent within [`LeaseTimes::doubt_after`] has been
    /// confirmed.
    pub fn is_in_doubt(&self, now: MonotonicTime) -> bool {
        now.since(self.last_confirmed) >= self.times.doubt_after
    }

    /// Whether several renewals in a row are unconfirmed, so that the store
    /// may be unavailable to this host.
    ///
    /// This begins well before the host is in doubt, so that it can query the
    /// members in time.
    pub fn has_missed_renewals(&self, now: MonotonicTime) -> bool {
        now.since(self.last_confirmed) >= self.times.renewal_interval * MISSED_RENEWALS_MIN
    }

    /// Whether this host vouches for a member that requests it.
    pub fn can_vouch(&self, now: MonotonicTime) -> bool {
        self.is_in_doubt(now) || !self.rules.vouch_only_in_doubt
    }

    /// Records a member's response that it is in doubt too.
    ///
    /// `sent` is when this host sent the request.
    pub fn record_vouch(&mut self, now: MonotonicTime, host: &str, sent: MonotonicTime) {
        let counts_from = if self.rules.vouch_counts_from_request {
            sent
        } else {
            now
        };
        match self.vouches.get_mut(host) {
            Some(latest) => *latest = counts_from.max(*latest),
            None => {
                self.vouches.insert(host.to_owned(), counts_from);
            }
        }
    }

    /// Until when vouching by a majority of the members can extend the
    /// standing.
    ///
    /// This host counts towards the majority while it is in doubt itself.
    /// Returns `None` if it is not in doubt or has no majority.
    pub fn vouched_until(
        &self,
        now: MonotonicTime,
        own: &str,
        members: &MemberSet,
    ) -> Option<MonotonicTime> {
        if !self.is_in_doubt(now) {
            return None;
        }
        let mut vouch_times: Vec<MonotonicTime> = members
            .members()
            .iter()
            .filter_map(|member| {
                if member == own {
                    Some(now)
                } else {
                    self.vouches.get(member).copied()
                }
            })
            .collect();
        vouch_times.sort_unstable_by_key(|time| std::cmp::Reverse(*time));
        let needed = if self.rules.vouch_needs_majority {
            members.majority()
        } else {
            2.min(members.majority())
        };
        let oldest = *vouch_times.get(needed.checked_sub(1)?)?;
        Some(oldest + self.times.vouch)
    }

    /// Extends the standing of a host in doubt by the vouches of its members.
    ///
    /// Standing that has expired is not restored.
    pub fn extend_by_vouching(&mut self, now: MonotonicTime, own: &str, members: &MemberSet) {
        if self.replaced {
            return;
        }
        let Some(until) = self.vouched_until(now, own, members) else {
            return;
        };
        let is_running = now < self.standing_end || !self.rules.no_vouched_revival;
        if is_running && until > now {
            self.standing_end = self.standing_end.max(until);
        }
    }

    /// The host's standing at a time.
    pub fn standing(&self, now: MonotonicTime) -> Standing {
        let never_expires = !self.rules.standing_expires && self.confirmed > 0 && !self.replaced;
        if now < self.lease_end {
            Standing::Held
        } else if now < self.standing_end || never_expires {
            Standing::Vouched
        } else {
            Standing::Lapsed
        }
    }

    /// When the standing expires unless a renewal or vouching extends it.
    pub fn standing_end(&self) -> MonotonicTime {
        self.standing_end
    }
}
