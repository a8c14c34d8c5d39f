//! Connections to backend servers, and one attempt of a request on them.

mod attempt;
mod connection;
mod pools;

pub(crate) use self::{
    attempt::{AttemptEnd, AttemptOrder, LossReason, attempt},
    connection::watch_silence,
    pools::BackPools,
};
