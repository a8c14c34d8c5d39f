use std::fmt;

/// A call to the platform that gave no answer of use.
///
/// It names the step, such as `transact`, and the peer's address.
#[derive(Debug)]
pub struct PlatformError {
    step: &'static str,
    peer: String,
    unsent: bool,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl PlatformError {
    /// Wraps the cause of a failed call.
    pub fn new(
        step: &'static str,
        peer: &str,
        unsent: bool,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        PlatformError {
            step,
            peer: peer.to_owned(),
            unsent,
            source: source.into(),
        }
    }

    /// Tells that the request never left, so that it had no effect.
    pub fn is_unsent(&self) -> bool {
        self.unsent
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.source)
    }
}

impl std::error::Error for PlatformError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
