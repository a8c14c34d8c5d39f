use std::{error::Error, fmt};

/// A failure of an entry host, with the failed step and its location.
#[derive(Debug)]
pub struct EntryError {
    step: &'static str,
    location: String,
    source: Box<dyn Error + Send + Sync>,
}

impl EntryError {
    /// Wraps the cause of a failure of `step` at the host, address or file
    /// `location`.
    pub fn new(
        step: &'static str,
        location: impl fmt::Display,
        source: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        EntryError {
            step,
            location: location.to_string(),
            source: source.into(),
        }
    }

    /// Name of the failed step, for messages.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Host, address or file at which the step failed.
    pub fn location(&self) -> &str {
        &self.location
    }
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.location, self.source)
    }
}

impl Error for EntryError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.source)
    }
}
