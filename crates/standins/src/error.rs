use std::fmt;

/// An error of a stand-in or of the test harness, with the step that failed and
/// the host, address or file concerned.
#[derive(Debug)]
pub struct StandinError {
    step: &'static str,
    target: String,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl StandinError {
    /// Wraps the cause of an error with its step, such as `open store`, and the
    /// target of the step.
    pub fn new(
        step: &'static str,
        target: impl fmt::Display,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        StandinError {
            step,
            target: target.to_string(),
            source: source.into(),
        }
    }

    /// The step that failed, such as `open store`.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.target, self.source)
    }
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
