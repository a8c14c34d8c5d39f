use snafu::Snafu;

/// Why a trace cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {message}"))]
#[non_exhaustive]
pub struct TraceError {
    /// The file, as the reader named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub message: String,
}
