//! The entry host, which forwards requests directly to backend servers.
//!
//! All hosts of a fleet have the same role. Each one watches the platform's
//! store for the configuration, the backend servers and the other hosts, and
//! reports the outcomes of its requests to its peers. Decisions are made by
//! `mangostep-policy`; this package does the input and output.
//!
//! # Parts
//!
//! * [`run_host`] runs a host until SIGTERM or SIGINT.
//! * [`HostSettings`] and [`FleetBounds`] are its settings.
//! * [`Platform`] abstracts the platform's store and data formats, with
//!   [`FleetTable`], [`OperatorRow`], [`DecodedStatement`], [`LookupQuery`] and
//!   [`LookupAnswer`] as its types, and [`StoreError`], [`RowFormatError`] and
//!   [`StatementFault`] as its errors.
//! * [`EntryError`] is the reason why a host could not run.
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

mod admission;
mod back;
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
mod rollouts;
mod settings;
mod statements;
mod suspicion;

pub use crate::{
    error::EntryError,
    front::{DestinationReport, EXPLANATION_PATH, ServiceDestination},
    host::run_host,
    platform::{
        DecodedStatement, FleetTable, LookupAnswer, LookupQuery, OperatorRow, Platform,
        RolloutWrite, RolloutWritten, RowFormatError, StatementFault, StoreError, StoreErrorKind,
    },
    settings::{FleetBounds, HostSettings},
};
