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
//! * [`SignedBackend`]: backend servers that sign their answers and tell
//!   whether they ran a request; [`BackendLog`] holds what reached them.
//! * [`KeptCaller`]: a caller's connection.
//! * [`entry_fleet`]: starts `mangostep entry` between these.
//! * [`backend`]: a backend server with slots, cold start and gray failures.
//! * [`proxy`]: a TCP forwarder with faults by source IP number.
//! * [`fleet`]: [`fleet::TestFleet`] starts all of these and real entry hosts.
//! * [`soak`]: randomized faults around such a fleet, and what must hold.
//! * [`generate`]: object sets of any size.
//! * [`load`]: callers that send at a steady rate.
//! * [`tokens`]: when tokens of limits were taken.
//! * [`experiments`]: measurements against stated bounds.
//! * [`workload`]: drawn outcomes of a cell's requests, without processes.

mod allocation;
mod error;
mod http;
mod kept_caller;
mod signed_backend;
mod table_store;
mod usage;

pub mod backend;
pub mod entry_fleet;
pub mod experiments;
pub mod fleet;
pub mod generate;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod soak;
pub mod tokens;
pub mod workload;

pub use crate::{
    allocation::CountingAllocator,
    error::StandinError,
    http::TruncationPoint,
    kept_caller::{CallerAnswer, CallerAsk, KeptCaller},
    signed_backend::{
        AnswerMood, BackendArrival, BackendLog, MoodPlan, SignedBackend, SignedBackendSettings,
    },
    table_store::{StoreMood, TableStandIn},
    usage::ProcessUsage,
};
