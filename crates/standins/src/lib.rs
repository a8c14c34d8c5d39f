//! Stand-ins for the outside systems, experiments and process tests.
//!
//! Nothing here is part of the shipped binary. The stand-ins are small fakes
//! of what lies outside of the system; each runs as a process of its own, so
//! that a test can pause, kill or cut off any of them.
//!
//! # Parts
//!
//! * [`platform`]: table service, object store and host directory.
//! * [`TableStandIn`]: a store of tables with a change feed, with its faults.
//! * [`backend`]: a backend server with slots, cold start and gray failures.
//! * [`proxy`]: a TCP forwarder with faults by source IP number.
//! * [`fleet`]: [`fleet::TestFleet`] starts all of these and real entry hosts.
//! * [`generate`]: object sets of any size.
//! * [`load`]: callers that send at a steady rate.
//! * [`tokens`]: when tokens of limits were taken.
//! * [`experiments`]: measurements against stated bounds.
//! * [`workload`]: drawn outcomes of a cell's requests, without processes.

mod allocation;
mod error;
mod http;
mod table_store;
mod usage;

pub mod backend;
pub mod experiments;
pub mod fleet;
pub mod generate;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod tokens;
pub mod workload;

pub use crate::{
    allocation::CountingAllocator,
    error::StandinError,
    http::CutPlace,
    table_store::{StoreMood, TableStandIn},
    usage::ProcessUsage,
};
