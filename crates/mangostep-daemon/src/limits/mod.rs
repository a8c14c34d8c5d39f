//! Limits that hold over all hosts together: the home's side and the asking
//! side.

mod duty;
mod hand_over;
mod home_table;
mod limit_name;
mod serving;
mod token_messages;

pub(crate) use crate::limits::{
    duty::LimitDuty,
    limit_name::{LimitName, homes_of},
};
