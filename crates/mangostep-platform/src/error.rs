use std::fmt;

/// An error of a call to the platform, or invalid data in a row.
///
/// The message contains the operation, such as `transact`, and the address of
/// the service or the kind of data.
#[derive(Debug)]
pub struct PlatformError {
    operation: &'static str,
    peer: String,
    unsent: bool,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl PlatformError {
    /// Wraps the cause of a failed operation.
    ///
    /// `unsent` states that the request was certainly not sent.
    pub fn new(
        operation: &'static str,
        peer: &str,
        unsent: bool,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        PlatformError {
            operation,
            peer: peer.to_owned(),
            unsent,
            source: source.into(),
        }
    }

    /// Returns whether the request was certainly not sent, so that it had no
    /// effect.
    pub fn is_unsent(&self) -> bool {
        self.unsent
    }

    /// The operation that failed, such as `transact`.
    pub fn operation(&self) -> &'static str {
        self.operation
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.operation, self.peer, self.source)
    }
}

impl std::error::Error for PlatformError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
