//! Rate limits that apply to the whole fleet.
//!
//! Tokens are held by limit homes and requested by the hosts that received the
//! callers' requests. This module implements both roles.

mod duty;
mod handover;
mod home_table;
mod limit_name;
mod serving;
mod token_messages;

pub(crate) use crate::limits::{
    duty::LimitDuty,
    limit_name::{LimitName, home_hosts},
};
