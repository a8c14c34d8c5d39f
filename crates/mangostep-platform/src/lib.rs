//! The platform's table service, object store and host directory.
//!
//! All that a fleet agrees on or keeps goes through these three. Each is a
//! small trait, so that policy and tests need no network, and each has one
//! client that speaks JSON over HTTP.
//!
//! # Parts
//!
//! * [`TableStore`]: rows with versions, and transactions on them.
//! * [`ObjectStore`]: immutable objects by name.
//! * [`HostDirectory`]: the lagging list of backend servers.
//! * [`HostRow`], [`HolderIndex`], [`HolderGroup`]: the rows of the host lease.
//! * [`PlatformClient`]: all three over HTTP, with a deadline for each call.
//! * [`ConfigurationPublisher`]: moves the head row to a new set of objects.
//! * [`keys`]: the names of the rows that a fleet uses.
//!
//! # Example
//!
//! ```
//! use mangostep_platform::{Condition, Transaction, Write};
//!
//! let mut change = Transaction::default();
//! change.conditions.push(Condition { key: "head".into(), version: 4 });
//! change.writes.push(Write { key: "head".into(), value: Some("{}".into()) });
//! assert_eq!(change.writes.len(), 1);
//! ```

mod client;
mod directory;
mod error;
mod head;
mod holder_rows;
mod host_row;
pub mod keys;
mod objects;
mod publication;
mod table;

pub use crate::{
    client::{PlatformClient, PlatformSettings},
    directory::{DirectoryEntry, DirectoryState, HostDirectory},
    error::PlatformError,
    head::ConfigurationHead,
    holder_rows::{HolderEntry, HolderGroup, HolderIndex, holder_group},
    host_row::HostRow,
    objects::ObjectStore,
    publication::{
        ConfigurationPublisher, PublicationDraft, PublicationOutcome, PublicationRecord,
        PublisherSettings,
    },
    table::{Condition, Row, TableStore, Transaction, TransactionResult, Write},
};
