//! Connections from callers.

mod connection;
mod listening;
pub(crate) mod pages;

pub(crate) use self::listening::{accept_each, serve_callers};
