use std::fmt;

/// A failure of a stand-in or of the test harness, with the step and the peer
/// at which it arose.
#[derive(Debug)]
pub struct StandinError {
    step: &'static str,
    peer: String,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl StandinError {
    /// Wraps the cause of a failure.
    pub fn new(
        step: &'static str,
        peer: impl fmt::Display,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        StandinError {
            step,
            peer: peer.to_string(),
            source: source.into(),
        }
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.source)
    }
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
