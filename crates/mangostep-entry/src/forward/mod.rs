//! The way of one request from a caller to a backend server and back.

mod outgoing;
mod refusal;
mod request;
mod running;
mod sending;

pub(crate) use self::{
    refusal::{FrontAnswer, Refusal},
    request::{ForwardRequest, forward},
};
