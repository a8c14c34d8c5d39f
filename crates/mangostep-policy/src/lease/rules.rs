/// The clauses of the lease, each of which a model check can switch off.
///
/// All are in force by default and stay so in every process; a check that
/// switches one off must find two holders of one resource.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRules {
    /// Once standing ran out, vouching cannot bring it back.
    pub no_vouched_revival: bool,
    /// Only a host in doubt vouches.
    pub vouch_only_in_doubt: bool,
    /// Vouching needs a majority of the members.
    pub vouch_needs_majority: bool,
    /// A member counts as renewing only by a confirmed renewal.
    pub count_confirmed_only: bool,
    /// A take needs a majority of renewing members.
    pub takeover_needs_majority: bool,
    /// A take waits out the lease of the old holder.
    pub takeover_waits_full_lease: bool,
    /// Standing ends without renewal or vouching.
    pub standing_expires: bool,
    /// A take is conditional on the holder's row being unchanged.
    pub takeover_is_conditional: bool,
    /// An answer after the answer limit does not count.
    pub enforce_answer_limit: bool,
    /// A vouch counts from its asking, not from its arrival.
    pub vouch_counts_from_request: bool,
    /// A take needs a majority of each set that hosts may still go by.
    pub earlier_sets_count: bool,
}

impl Default for LeaseRules {
    fn default() -> Self {
        LeaseRules {
            no_vouched_revival: true,
            vouch_only_in_doubt: true,
            vouch_needs_majority: true,
            count_confirmed_only: true,
            takeover_needs_majority: true,
            takeover_waits_full_lease: true,
            standing_expires: true,
            takeover_is_conditional: true,
            enforce_answer_limit: true,
            vouch_counts_from_request: true,
            earlier_sets_count: true,
        }
    }
}
