//! Connections from callers.

mod body_memory;
mod connection;
mod explanation;
mod lingering;
mod listening;
pub(crate) mod pages;

pub(crate) use self::explanation::explanation_page;
pub use self::explanation::{DestinationReport, EXPLANATION_PATH, ServiceDestination};
pub(crate) use self::listening::{accept_each, serve_callers};
