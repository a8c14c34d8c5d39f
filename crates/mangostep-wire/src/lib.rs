//! The inner protocol between the entry hosts of one fleet.
//!
//! Entry hosts speak Cap'n Proto RPC to each other: small messages about
//! tokens, slots, ejections, leases and events. Bodies of requests never
//! cross this protocol.
//!
//! # Parts
//!
//! * [`peer_capnp`] is the code generated from `schema/peer.capnp`. It is
//!   committed, so that a build needs no schema compiler.
//! * [`PROTOCOL_VERSION`] names the version that this build speaks, and
//!   [`speaks_with`] tells whether two builds understand each other.
//!
//! # Example
//!
//! ```
//! use mangostep_wire::{PROTOCOL_VERSION, speaks_with};
//!
//! assert!(speaks_with(PROTOCOL_VERSION + 1));
//! assert!(!speaks_with(PROTOCOL_VERSION + 2));
//! ```

#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic,
    reason = "generated code"
)]
pub mod peer_capnp;

/// The version of the inner protocol that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// Tells whether a peer that speaks `other` can be understood.
///
/// Neighbouring versions understand each other, so that a fleet can be
/// upgraded host by host.
pub fn speaks_with(other: u16) -> bool {
    other.abs_diff(PROTOCOL_VERSION) <= 1
}
