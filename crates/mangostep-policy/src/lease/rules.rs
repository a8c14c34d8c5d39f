/// The safety rules of the lease, each of which a model check can disable.
///
/// All rules are enabled by default and in every production process. With a
/// rule disabled, a model check must find two holders of one resource, which
/// shows that the rule is necessary.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRules {
    /// Vouching cannot restore standing that has expired; only a confirmed
    /// renewal can.
    pub no_vouched_revival: bool,
    /// A host vouches for others only while it is in doubt itself.
    pub vouch_only_in_doubt: bool,
    /// Vouching extends standing only with a majority of the members.
    pub vouch_needs_majority: bool,
    /// A member counts as renewing only after it reports a confirmed renewal.
    pub count_confirmed_only: bool,
    /// A takeover requires that a majority of the members is renewing.
    pub takeover_needs_majority: bool,
    /// A takeover waits until the lease of the old holder has run out.
    pub takeover_waits_full_lease: bool,
    /// Standing expires without renewal or vouching.
    pub standing_expires: bool,
    /// The takeover transaction fails if the old holder's row has changed.
    pub takeover_is_conditional: bool,
    /// A response that arrives after the answer limit does not confirm its
    /// renewal.
    pub enforce_answer_limit: bool,
    /// A vouch counts from when it was requested, not from its arrival.
    pub vouch_counts_from_request: bool,
    /// A takeover requires a majority of each member set that hosts may still
    /// be using, not only of the latest.
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
