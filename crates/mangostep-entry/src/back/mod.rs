//! Connections to backend servers, and single attempts at requests over them.

mod attempt;
mod connection;
mod pools;

pub(crate) use self::{
    attempt::{AttemptOutcome, AttemptRequest, FailureReason, attempt},
    connection::configure_socket,
    pools::ConnectionPools,
};
