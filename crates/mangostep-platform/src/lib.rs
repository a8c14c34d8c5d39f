//! Client of the platform's table service, object store and host directory.
//!
//! A fleet stores all shared and persistent state in these three services.
//! Each is a small trait, so that tests need no network, and is implemented by
//! a client that sends JSON over HTTP.
//!
//! # Overview
//!
//! * [`TableStore`] holds versioned rows and runs transactions on them.
//! * [`ObjectStore`] holds immutable objects by name.
//! * [`HostDirectory`] lists the backend servers of a service, with a delay.
//! * [`HostRow`], [`HolderIndex`] and [`HolderGroup`] are the rows of the host
//!   leases and of the holders of resources.
//! * [`PlatformClient`] implements all three services over HTTP, with a timeout
//!   for each call.
//! * [`ConfigurationPublisher`] publishes a new configuration by updating the
//!   head row.
//! * [`keys`] defines the names of the rows and objects of a fleet.
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
