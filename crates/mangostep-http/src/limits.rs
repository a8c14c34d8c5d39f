/// Size limits of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Maximum size of the start line and headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body without its framing, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a response body whose length is not declared, in bytes.
    /// Only the limit shows that such a body has no end.
    pub unsized_body_bytes: u64,
}

impl Default for MessageLimits {
    fn default() -> Self {
        MessageLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            unsized_body_bytes: 64 << 20,
        }
    }
}
