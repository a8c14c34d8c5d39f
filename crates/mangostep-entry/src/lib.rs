//! The entry host that sends requests straight to backend servers.
//!
//! Every host of a fleet is alike. It follows the platform's store for the
//! configuration, the backend servers and the other hosts, and shares with
//! the other hosts what it sees of the backend servers. The decisions are
//! those of `mangostep-policy`; this package carries them out.
//!
//! # Parts
//!
//! * [`run_host`] runs a host until it is told to stop.
//! * [`HostSettings`] and [`FleetBounds`] are what it is told at its start.
//! * [`Platform`] is what it asks of the platform that it runs on:
//!   [`FleetTable`], [`OperatorRow`], [`LookupQuery`] and [`LookupAnswer`] in,
//!   [`StoreError`] and [`RowFormatError`] where that fails.
//! * [`EntryError`] tells why a host could not run.
//!
//! # Example
//!
//! ```
//! use mangostep_entry::HostSettings;
//!
//! let text = r#"{ "host": "h1", "zone": "a", "region": "home" }"#;
//! let settings = HostSettings::from_text("host.jsonc", text)?;
//! assert_eq!(settings.bounds.stop_grace_s.as_secs(), 6);
//! # Ok::<(), String>(())
//! ```

mod back;
mod belief;
mod clock;
mod context;
mod error;
mod follow;
mod forward;
mod front;
mod host;
mod peers;
mod platform;
mod prelude;
mod settings;

pub use crate::{
    error::EntryError,
    host::run_host,
    platform::{
        FleetTable, LookupAnswer, LookupQuery, OperatorRow, Platform, RowFormatError, StoreError,
        StoreErrorKind,
    },
    settings::{FleetBounds, HostSettings},
};
