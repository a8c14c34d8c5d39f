//! The peer protocol between the entry hosts of one fleet.
//!
//! Entry hosts speak Cap'n Proto RPC to each other: small messages about
//! tokens, slots, ejections, leases and events. Request bodies are never sent
//! over this protocol.
//!
//! # Parts
//!
//! * [`peer_capnp`] is the code generated from `schema/peer.capnp`. It is
//!   committed, so that a build needs no schema compiler.
//! * [`PROTOCOL_VERSION`] is the version that this build speaks, and
//!   [`is_compatible_version`] checks the version that a peer announced.
//!
//! # Example
//!
//! ```
//! use mangostep_wire::{PROTOCOL_VERSION, is_compatible_version};
//!
//! assert!(is_compatible_version(PROTOCOL_VERSION + 1));
//! assert!(!is_compatible_version(PROTOCOL_VERSION + 2));
//! ```

#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic,
    reason = "generated code"
)]
pub mod peer_capnp;

/// The version of the peer protocol that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// Checks whether this build can communicate with a peer of version `other`.
///
/// Versions that differ by at most one are compatible, so that a fleet can be
/// upgraded host by host.
pub fn is_compatible_version(other: u16) -> bool {
    other.abs_diff(PROTOCOL_VERSION) <= 1
}
