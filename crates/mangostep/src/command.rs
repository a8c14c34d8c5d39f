use std::{fmt::Display, future::Future, path::Path};

use pico_args::Arguments;

/// The exit code of a command that failed.
pub(crate) const EXIT_FAILED: u8 = 1;
/// The exit code of a command line or a file that cannot be understood.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Why a command ended without doing its work.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line cannot be understood.
    Usage(String),
    /// What the command should work on cannot be read.
    Malformed(String),
    /// The work failed.
    Failed(String),
}

impl CommandError {
    /// A failure with the step at which it arose.
    pub(crate) fn failed(step: &str, cause: impl Display) -> Self {
        CommandError::Failed(format!("{step}: {cause}"))
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(err: pico_args::Error) -> Self {
        CommandError::Usage(err.to_string())
    }
}

/// Takes the remaining arguments, which must be free ones.
pub(crate) fn free_arguments(arguments: Arguments) -> Result<Vec<String>, CommandError> {
    let mut free = Vec::new();
    for argument in arguments.finish() {
        let text = argument.to_string_lossy().into_owned();
        if text.starts_with('-') {
            return Err(CommandError::Usage(format!("unknown option `{text}`")));
        }
        free.push(text);
    }
    Ok(free)
}

/// Checks that nothing is left on the command line.
pub(crate) fn no_more_arguments(arguments: Arguments) -> Result<(), CommandError> {
    match free_arguments(arguments)?.first() {
        Some(extra) => Err(CommandError::Usage(format!(
            "unexpected argument `{extra}`"
        ))),
        None => Ok(()),
    }
}

/// Reads a text file, naming it when it cannot be read.
pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|err| CommandError::failed(&path.to_string_lossy(), err))
}

/// Runs a command's asynchronous part.
pub(crate) fn run_async<T>(
    work: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| CommandError::failed("start runtime", err))?
        .block_on(work)
}
