//! Forwards a caller's request to a backend server and returns the response.

mod in_flight;
mod outgoing;
mod refusal;
mod request;
mod response_memory;
mod sender;
mod server_check;
mod waiting;

pub(crate) use self::{
    refusal::{FrontResponse, Refusal},
    request::{ForwardRequest, forward},
    response_memory::ResponseReservation,
    waiting::{WaitTicket, wake_first_of, wake_next},
};
use crate::prelude::*;

/// Time after which a caller may return whose request or response found no
/// memory.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
