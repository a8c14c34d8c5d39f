//! Stand-ins for the outside systems, experiments and process tests.
//!
//! Nothing here is part of the shipped binary. The stand-ins replace the external
//! systems; each can run as a separate process, so that a test can pause, kill
//! or isolate any of them. Stubs do the same within the test process.
//!
//! # Parts
//!
//! * [`platform`]: table service, object store and host directory.
//! * [`TableStub`]: stub of a table store with a change feed and faults.
//! * [`SignedBackend`]: stub of a backend server that signs its answers and
//!   reports whether it ran a request; [`BackendLog`] holds the requests that
//!   reached such servers.
//! * [`CallerConnection`]: persistent connection of a caller to an entry host.
//! * [`entry_fleet`]: starts `mangostep entry` with these stubs.
//! * [`backend`]: a backend server with slots, cold start and gray failures.
//! * [`proxy`]: a TCP proxy that injects faults by source IP address.
//! * [`fleet`]: [`fleet::TestFleet`] starts the stand-ins and real entry hosts.
//! * [`soak`]: randomized faults in an [`entry_fleet`], and the guarantees that
//!   must hold.
//! * [`generate`]: random object sets of any size.
//! * [`load`]: callers that send at a constant rate.
//! * [`tokens`]: log of the tokens taken for a rate limit.
//! * [`experiments`]: measurements against stated bounds.
//! * [`workload`]: generated outcomes of a cell's requests, without processes.

mod allocation;
mod caller_connection;
mod error;
mod http;
mod signed_backend;
mod table_stub;
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
    caller_connection::{CallerAnswer, CallerConnection, RequestSpec},
    error::StandinError,
    http::TruncationPoint,
    signed_backend::{
        AnswerMode, AnswerPlan, BackendArrival, BackendLog, BackendStatement, SignedBackend,
        SignedBackendSettings,
    },
    table_stub::{StoreMode, TableStub},
    usage::ProcessUsage,
};
