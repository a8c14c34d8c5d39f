use std::fmt;

/// A failure of logs, metrics or events, with the step at which it arose.
#[derive(Debug)]
pub struct TelemetryError {
    step: &'static str,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl TelemetryError {
    pub(crate) fn new(
        step: &'static str,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        TelemetryError {
            step,
            source: source.into(),
        }
    }
}

impl fmt::Display for TelemetryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.source)
    }
}

impl std::error::Error for TelemetryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
