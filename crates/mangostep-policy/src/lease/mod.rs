//! The host lease: which host may act as the holder of a resource, and until
//! when.
//!
//! Every fleet-wide guarantee depends on one property: at no instant do two
//! hosts act as holder of the same resource. The protocol compares no wall
//! clocks, and hosts run no election among themselves; all agreement goes
//! through rows of the platform's table.
//!
//! # Parts
//!
//! * [`HostLease`] tracks one host's own lease and its [`Standing`].
//! * [`LeaseWatch`] detects that the holder of a resource has certainly
//!   lapsed, so that a takeover is safe.
//! * [`MemberSet`] is the set of hosts whose majorities count, with the
//!   earlier sets that hosts may still be using.
//! * [`MemberPlanner`] decides when and how the member set changes.
//! * [`HolderPlanner`] decides which host should hold which resource.
//! * [`LeaseTimes`] configures the durations, [`LeaseRules`] the safety rules.

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
