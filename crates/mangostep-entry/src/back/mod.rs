//! Connections to backend servers, and one attempt of a request on them.

mod attempt;
mod connection;
mod pools;

pub(crate) use self::{
    attempt::{AttemptOutcome, AttemptRequest, FailureReason, attempt},
    connection::configure_socket,
    pools::ConnectionPools,
};
