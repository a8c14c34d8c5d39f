//! HTTP/1.1 messages of callers and backend servers, without I/O.
//!
//! The heads are parsed by `httparse`. This package adds the framing of
//! bodies, and keeps what a proxy must know of each message: where it ends,
//! whether it is whole, and whether its connection may carry another one.
//!
//! # Parts
//!
//! * [`RequestDecoder`] reads the requests of a connection, one behind the
//!   other, within [`MessageLimits`].
//! * [`ResponseDecoder`] reads the answers of a backend server and tells cut
//!   ones from whole ones.
//! * [`encode_request`] and [`encode_response`] write messages with a length.
//! * [`MessageFault`] tells why bytes are no message.
//!
//! # Example
//!
//! ```
//! use bytes::BytesMut;
//! use mangostep_http::{MessageLimits, RequestDecoder};
//!
//! let mut decoder = RequestDecoder::new(MessageLimits::default());
//! let mut bytes = BytesMut::from("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
//! let request = decoder.decode(&mut bytes)?.expect("the request is whole");
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
    encode::{ResponseOptions, encode_request, encode_response},
    fault::MessageFault,
    head::{RequestHead, ResponseHead, is_hop_by_hop_header},
    limits::MessageLimits,
    request::{CallerRequest, RequestDecoder},
    response::{ResponseDecoder, ServerResponse},
};
