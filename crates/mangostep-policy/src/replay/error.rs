use snafu::Snafu;

/// Error from parsing a trace.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {message}"))]
#[non_exhaustive]
pub struct TraceError {
    /// Name of the file, as passed to [`Trace::parse`](crate::replay::Trace::parse).
    pub file: String,
    /// Number of the malformed line, from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}
