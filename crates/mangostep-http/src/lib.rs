//! HTTP/1.1 messages of callers and backend servers, without I/O.
//!
//! Message heads are parsed by `httparse`. This package adds body framing and
//! reports what a proxy needs to know about each message: where it ends,
//! whether it is complete, and whether its connection can be reused.
//!
//! # Parts
//!
//! * [`RequestDecoder`] reads the pipelined requests of a connection within
//!   [`MessageLimits`].
//! * [`ResponseDecoder`] reads the responses of a backend server and detects
//!   truncated ones.
//! * [`encode_request`] and [`encode_response`] write messages framed by a
//!   `content-length`.
//! * [`MessageFault`] is the reason why a message is refused.
//!
//! # Example
//!
//! ```
//! use bytes::BytesMut;
//! use mangostep_http::{MessageLimits, RequestDecoder};
//!
//! let mut decoder = RequestDecoder::new(MessageLimits::default());
//! let mut bytes = BytesMut::from("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
//! let request = decoder.decode(&mut bytes)?.expect("the request is complete");
//! assert_eq!(request.head.target, "/a");
//! # Ok::<(), mangostep_http::MessageFault>(())
//! ```

mod body;
mod encode;
mod fault;
mod head;
mod limits;
mod request;
mod response;

pub use crate::{
    encode::{ResponseOptions, encode_request, encode_response, encode_response_head},
    fault::MessageFault,
    head::{RequestHead, ResponseHead, is_hop_by_hop_header},
    limits::MessageLimits,
    request::{CallerRequest, RequestDecoder},
    response::{ResponseDecoder, ServerResponse},
};
