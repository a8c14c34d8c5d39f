use std::fmt;

/// A failure of the daemon, with the step and the peer at which it arose.
#[derive(Debug)]
pub struct DaemonError {
    step: &'static str,
    peer: String,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl DaemonError {
    pub(crate) fn new(
        step: &'static str,
        peer: impl fmt::Display,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        DaemonError {
            step,
            peer: peer.to_string(),
            source: source.into(),
        }
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// The host, address or file at which it failed.
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.source)
    }
}

impl std::error::Error for DaemonError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
