use snafu::Snafu;

/// Why bytes are no message that may be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageFault {
    /// The bytes break the protocol.
    #[snafu(display("not a message: {what}"))]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
    /// The head is larger than the limit.
    #[snafu(display("the head is too large"))]
    HeadTooLarge,
    /// The body is larger than the limit.
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    /// The connection ended before the message did.
    #[snafu(display("the message was cut"))]
    Truncated,
}

impl MessageFault {
    pub(crate) fn malformed(what: &'static str) -> Self {
        MessageFault::Malformed { what }
    }
}
