//! A small HTTP/1.1 server on plain TCP.
//!
//! The stand-ins must truncate an answer at any byte, which server libraries
//! prevent by design. Heads are parsed by `httparse`.

mod answer;
mod listen;
mod request;
mod stream;

pub use crate::http::answer::TruncationPoint;
pub(crate) use crate::http::{
    answer::{HttpResponse, ResponseBody},
    listen::accept_connections,
    request::{RequestBody, RequestHead},
    stream::HttpStream,
};
