//! Connections from callers.

mod body_memory;
mod connection;
mod listening;
pub(crate) mod pages;

pub(crate) use self::listening::{accept_each, serve_callers};
