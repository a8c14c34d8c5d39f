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
//! * [`AnswerDecoder`] reads the answers of a backend server and tells cut
//!   ones from whole ones.
//! * [`encode_request`] and [`encode_answer`] write messages with a length.
//! * [`MessageFault`] tells why bytes are no message.
//!
//! # Example
//!
//! ```
//! use bytes::BytesMut;
//! use mangostep_http::{MessageLimits, RequestDecoder};
//!
//! let mut decoder = RequestDecoder::open(MessageLimits::default());
//! let mut bytes = BytesMut::from("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
//! let request = decoder.decode(&mut bytes)?.expect("the request is whole");
//! assert_eq!(request.head.target, "/a");
//! # Ok::<(), mangostep_http::MessageFault>(())
//! ```

mod answer;
mod body;
mod encode;
mod fault;
mod head;
mod limits;
mod request;

pub use crate::{
    answer::{AnswerDecoder, ServerAnswer},
    encode::{AnswerEnd, encode_answer, encode_request},
    fault::MessageFault,
    head::{AnswerHead, RequestHead, is_hop_header},
    limits::MessageLimits,
    request::{CallerRequest, RequestDecoder},
};
