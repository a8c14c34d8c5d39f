//! The entry host: the process that `mangostep serve` runs on every host.
//!
//! Every host is alike and carries every duty. A thread stands for each
//! duty, and the threads meet at bounded rings: a full ring is a counted
//! refusal, never a wait.
//!
//! # Parts
//!
//! * [`EntryHost`] opens and closes the whole process.
//! * [`ServeSettings`] is all that it is told at its start.
//! * The operator thread answers operators on a listener of its own.
//! * The front thread takes requests by Rocket, the back thread sends them to
//!   backend servers by reqwest, the peer thread speaks to other hosts, and
//!   the store thread speaks to the platform.
//!
//! # Example
//!
//! ```
//! use mangostep_daemon::ServeSettings;
//!
//! let settings = ServeSettings {
//!     fleet: "repairs".to_owned(),
//!     host: "h1".to_owned(),
//!     zone: "almaty-a".to_owned(),
//!     ..Default::default()
//! };
//! assert_eq!(settings.front.port(), 8080);
//! ```

mod back;
mod clock;
mod context;
mod entry_host;
mod error;
mod front;
mod limits;
mod operator;
mod peer;
mod prelude;
mod published;
mod refusal;
mod relay;
mod settings;
mod shared_lease;
mod slots;
mod store;
mod vouching;

pub use crate::{
    context::HostAddresses, entry_host::EntryHost, error::DaemonError, settings::ServeSettings,
};
