use std::fmt;

/// An error in logs, metrics or events; its text starts with the operation
/// that failed.
#[derive(Debug)]
pub struct TelemetryError {
    operation: &'static str,
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl TelemetryError {
    pub(crate) fn new(
        operation: &'static str,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        TelemetryError {
            operation,
            source: source.into(),
        }
    }
}

impl fmt::Display for TelemetryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.operation, self.source)
    }
}

impl std::error::Error for TelemetryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.source)
    }
}
