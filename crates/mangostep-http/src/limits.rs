/// What one message may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
}

impl Default for MessageLimits {
    fn default() -> Self {
        MessageLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
        }
    }
}
