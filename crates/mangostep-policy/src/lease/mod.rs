//! The host lease: who may act as the holder of what, and until when.
//!
//! Every promise that counts over all hosts hangs on one property: at no
//! instant do two hosts act as holder of one resource. No wall clocks are
//! compared and hosts run no vote; all that is agreed goes through rows of
//! the platform's table.
//!
//! # Parts
//!
//! * [`HostLease`] is one host's own standing: held, vouched or lapsed.
//! * [`LeaseWatch`] tells when the holder of a resource has surely lapsed.
//! * [`MemberSet`] is the set of hosts whose majorities count, with the sets
//!   that hosts may still go by.
//! * [`MemberPlanner`] decides when and how the set changes.
//! * [`HolderPlanner`] decides which host should hold which resource.
//! * [`LeaseTimes`] holds all times, [`LeaseRules`] all clauses.

mod holder_planner;
mod host_lease;
mod lease_watch;
mod member_planner;
mod member_set;
mod rules;
mod times;

pub use crate::lease::{
    holder_planner::{
        HOMES_PER_SHARD, HolderPlanner, LiveHost, SHARD_COUNT, cell_name, shard_name,
    },
    host_lease::{Confirmation, HostLease, Renewal, Standing},
    lease_watch::{LeaseRecord, LeaseWatch},
    member_planner::MemberPlanner,
    member_set::MemberSet,
    rules::LeaseRules,
    times::LeaseTimes,
};
