/// The clauses of the lease, each of which a model check can switch off.
///
/// All are in force by default and stay so in every process; a check that
/// switches one off must find two holders of one resource.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRules {
    /// Once standing ran out, vouching cannot bring it back.
    pub no_gap: bool,
    /// Only a host in doubt vouches.
    pub vouch_in_doubt: bool,
    /// Vouching needs a majority of the members.
    pub vouch_majority: bool,
    /// A member counts as renewing only by a confirmed renewal.
    pub confirmed_renewal: bool,
    /// A take needs a majority of renewing members.
    pub take_majority: bool,
    /// A take waits out the lease of the old holder.
    pub full_wait: bool,
    /// Standing ends without renewal or vouching.
    pub standing_ends: bool,
    /// A take is conditional on the holder's row being unchanged.
    pub conditional_take: bool,
    /// An answer after the answer limit does not count.
    pub answer_limit: bool,
    /// A vouch counts from its asking, not from its arrival.
    pub vouch_from_asking: bool,
    /// A take needs a majority of each set that hosts may still go by.
    pub sets_before: bool,
}

impl Default for LeaseRules {
    fn default() -> Self {
        LeaseRules {
            no_gap: true,
            vouch_in_doubt: true,
            vouch_majority: true,
            confirmed_renewal: true,
            take_majority: true,
            full_wait: true,
            standing_ends: true,
            conditional_take: true,
            answer_limit: true,
            vouch_from_asking: true,
            sets_before: true,
        }
    }
}
