use std::{fmt::Display, future::Future, path::Path};

use pico_args::Arguments;

pub(crate) const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or an unreadable trace.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Reason for which a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line is invalid; the message is followed by a hint to the
    /// help.
    Usage(String),
    /// The input of the command cannot be read or parsed.
    Malformed(String),
    /// The command was understood and failed.
    Failed(String),
}

impl CommandError {
    /// Returns a failure whose message names the step that failed.
    pub(crate) fn failed(step: &str, cause: impl Display) -> Self {
        CommandError::Failed(format!("{step}: {cause}"))
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(err: pico_args::Error) -> Self {
        CommandError::Usage(err.to_string())
    }
}

/// Returns the remaining arguments, all of which must be positional.
pub(crate) fn positional_arguments(arguments: Arguments) -> Result<Vec<String>, CommandError> {
    let mut positional = Vec::new();
    for argument in arguments.finish() {
        let text = argument.to_string_lossy().into_owned();
        if text.starts_with('-') {
            return Err(CommandError::Usage(format!("unknown option `{text}`")));
        }
        positional.push(text);
    }
    Ok(positional)
}

/// Fails if arguments remain on the command line.
pub(crate) fn expect_no_arguments(arguments: Arguments) -> Result<(), CommandError> {
    match positional_arguments(arguments)?.first() {
        Some(extra) => Err(CommandError::Usage(format!(
            "unexpected argument `{extra}`"
        ))),
        None => Ok(()),
    }
}

/// Reads a text file; the error names its path.
pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|err| CommandError::failed(&path.to_string_lossy(), err))
}

/// Runs a future to completion on a single-threaded runtime.
pub(crate) fn run_async<T>(
    future: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| CommandError::failed("start async runtime", err))?
        .block_on(future)
}
