use snafu::Snafu;

/// Why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageFault {
    /// The bytes violate the protocol.
    #[snafu(display("malformed message: {what}"))]
    Malformed {
        /// The part of the message that is invalid.
        what: &'static str,
    },
    /// The status line of a response names no status code from 100 to 599.
    #[snafu(display("malformed message: invalid status"))]
    InvalidStatus,
    /// The head exceeds the limit on its size or number of headers.
    #[snafu(display("message head too large"))]
    HeadTooLarge,
    /// The body exceeds its size limit.
    #[snafu(display("message body too large"))]
    BodyTooLarge,
    /// The connection closed before the end of the message.
    #[snafu(display("message truncated: the connection closed before its end"))]
    Truncated,
}

impl MessageFault {
    pub(crate) fn malformed(what: &'static str) -> Self {
        MessageFault::Malformed { what }
    }
}
