use std::fmt;

/// An error of the daemon, with the failed step and its target.
#[derive(Debug)]
pub struct DaemonError {
    step: &'static str,
    target: String,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl DaemonError {
    pub(crate) fn new(
        step: &'static str,
        target: impl fmt::Display,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        DaemonError {
            step,
            target: target.to_string(),
            source: source.into(),
        }
    }

    /// The operation that failed, such as `bind front listener`.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// The host, address, thread or file that the step was about.
    pub fn target(&self) -> &str {
        &self.target
    }
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.target, self.source)
    }
}

impl std::error::Error for DaemonError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
