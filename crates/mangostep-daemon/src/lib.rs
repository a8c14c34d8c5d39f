//! The entry host: the process that `mangostep serve` runs on every host.
//!
//! All hosts have the same function. Each task of a host has its own thread,
//! and the front thread passes requests to the others through bounded queues.
//! When a queue is full, the request is refused and counted; it never waits.
//!
//! # Parts
//!
//! * [`EntryHost`] starts and stops the threads.
//! * [`ServeSettings`] are the settings read at start.
//! * The front thread accepts requests with Rocket.
//! * The back thread sends requests to backend servers with reqwest.
//! * The peer thread communicates with other hosts.
//! * The store thread communicates with the platform.
//! * The operator thread serves metrics, status and events on its own
//!   listener.
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
