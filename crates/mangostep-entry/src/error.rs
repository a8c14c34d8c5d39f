use std::{error::Error, fmt};

/// A failure of an entry host, with the step and the location at which it arose.
#[derive(Debug)]
pub struct EntryError {
    step: &'static str,
    location: String,
    source: Box<dyn Error + Send + Sync>,
}

impl EntryError {
    /// Wraps the cause of a failure.
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

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// The host, address or file at which it failed.
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
