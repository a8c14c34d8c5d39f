use std::collections::HashMap;

use crate::{
    MonotonicTime,
    lease::{LeaseRules, LeaseTimes, MemberSet},
};

/// Whether a host may act as the holder of what is assigned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Its own lease runs.
    Held,
    /// A majority of members without the store extends its standing.
    Vouched,
    /// It may not act.
    Lapsed,
}

/// Renewals that go unconfirmed before a host is unsure of the store.
const MISSED_RENEWALS: u32 = 3;

/// One renewal of the host's row, to be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Number of this renewal, to be written into the row.
    pub number: u64,
    /// Latest renewal whose answer came in time, to be written too.
    pub confirmed: u64,
    /// When it was begun; the lease counts from here.
    pub sent: MonotonicTime,
}

/// What the answer to a renewal means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The lease runs on.
    Extended,
    /// The host had lapsed and may act again.
    Regained,
    /// The answer came too late or belongs to a renewal given up.
    Ignored,
}

/// One host's lease on its own row, and its standing by it.
///
/// The caller writes the row with [`Renewal::number`] and
/// [`Renewal::confirmed`], conditional on the row being as this process wrote
/// it last, and reads who holds what in the same transaction or after it.
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
    /// Sending of the latest confirmed renewal, or the start of the process.
    last_confirmed: MonotonicTime,
    lease_end: MonotonicTime,
    standing_end: MonotonicTime,
    replaced: bool,
    /// Latest asking that each host answered by being in doubt.
    vouches: HashMap<String, MonotonicTime>,
}

impl HostLease {
    /// A lease of a process that has just started; it holds nothing yet.
    pub fn new(times: LeaseTimes, started: MonotonicTime) -> Self {
        Self::with_rules(times, LeaseRules::default(), started)
    }

    /// The same with some clauses switched off, for model checks.
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

    /// The times that the lease goes by.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }

    /// Begins a renewal when one is due and none is awaited.
    pub fn begin_renewal(&mut self, now: MonotonicTime) -> Option<Renewal> {
        if self.replaced || now < self.due {
            return None;
        }
        let is_awaited = |pending: Renewal| now.since(pending.sent) <= self.times.answer_limit;
        if self.pending.is_some_and(is_awaited) {
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

    /// When the next renewal is due.
    pub fn next_renewal(&self) -> MonotonicTime {
        self.due
    }

    /// Takes the answer that a renewal was written.
    ///
    /// When [`HostLease::standing`] is lapsed, the caller must have read who
    /// holds what no earlier than the renewal took effect.
    pub fn confirm(&mut self, now: MonotonicTime, number: u64) -> Confirmation {
        let Some(renewal) = self.pending.filter(|pending| pending.number == number) else {
            return Confirmation::Ignored;
        };
        self.pending = None;
        let late = now.since(renewal.sent) > self.times.answer_limit;
        if late && self.rules.enforce_answer_limit {
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

    /// Gives up the awaited renewal, which failed or was not written.
    pub fn abandon(&mut self, number: u64) {
        if self.pending.is_some_and(|pending| pending.number == number) {
            self.pending = None;
        }
    }

    /// Makes the next renewal due at once, after one that was not written.
    pub fn make_renewal_due(&mut self, now: MonotonicTime) {
        self.due = now;
    }

    /// Ends the lease for good: another process has taken the host's row.
    pub fn end(&mut self) {
        self.replaced = true;
        self.pending = None;
        self.lease_end = MonotonicTime::ZERO;
        self.standing_end = MonotonicTime::ZERO;
    }

    /// Whether the lease has ended for good.
    pub fn has_ended(&self) -> bool {
        self.replaced
    }

    /// Whether no renewal sent within the time of doubt was confirmed.
    pub fn is_in_doubt(&self, now: MonotonicTime) -> bool {
        now.since(self.last_confirmed) >= self.times.doubt_after
    }

    /// Whether renewals fail, so that the store may not answer this host.
    ///
    /// It comes well before doubt, and is the time to ask members what they
    /// know.
    pub fn has_missed_renewals(&self, now: MonotonicTime) -> bool {
        now.since(self.last_confirmed) >= self.times.renewal_interval * MISSED_RENEWALS
    }

    /// What this host answers to a member that asks it to vouch.
    pub fn can_vouch(&self, now: MonotonicTime) -> bool {
        self.is_in_doubt(now) || !self.rules.vouch_only_in_doubt
    }

    /// Takes a member's answer that it is in doubt too.
    pub fn record_vouch(&mut self, now: MonotonicTime, host: &str, asked: MonotonicTime) {
        let asked = if self.rules.vouch_counts_from_request {
            asked
        } else {
            now
        };
        match self.vouches.get_mut(host) {
            Some(latest) => *latest = asked.max(*latest),
            None => {
                self.vouches.insert(host.to_owned(), asked);
            }
        }
    }

    /// Until when a majority of the members vouches, this host included
    /// while it is in doubt itself.
    pub fn vouched_until(
        &self,
        now: MonotonicTime,
        own: &str,
        members: &MemberSet,
    ) -> Option<MonotonicTime> {
        if !self.is_in_doubt(now) {
            return None;
        }
        let mut askings: Vec<MonotonicTime> = members
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
        askings.sort_unstable_by_key(|asked| std::cmp::Reverse(*asked));
        let need = if self.rules.vouch_needs_majority {
            members.majority()
        } else {
            2.min(members.majority())
        };
        let oldest = *askings.get(need.checked_sub(1)?)?;
        Some(oldest + self.times.vouch)
    }

    /// Extends the standing of a host in doubt by what its members say.
    ///
    /// Standing that has run out stays so.
    pub fn extend_by_vouching(&mut self, now: MonotonicTime, own: &str, members: &MemberSet) {
        if self.replaced {
            return;
        }
        let Some(until) = self.vouched_until(now, own, members) else {
            return;
        };
        let runs = now < self.standing_end || !self.rules.no_vouched_revival;
        if runs && until > now {
            self.standing_end = self.standing_end.max(until);
        }
    }

    /// The host's standing.
    pub fn standing(&self, now: MonotonicTime) -> Standing {
        let holds_on = !self.rules.standing_expires && self.confirmed > 0 && !self.replaced;
        if now < self.lease_end {
            Standing::Held
        } else if now < self.standing_end || holds_on {
            Standing::Vouched
        } else {
            Standing::Lapsed
        }
    }

    /// When the standing runs out, if nothing extends it.
    pub fn standing_end(&self) -> MonotonicTime {
        self.standing_end
    }
}
