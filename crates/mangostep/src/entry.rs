use std::path::Path;

use {
    mangostep_entry::{HostSettings, run_host},
    pico_args::Arguments,
    platform_adapter::TablePlatform,
};

use crate::command::{CommandError, positional_arguments, read_text};

pub(crate) const USAGE: &str = "\
Run an entry host on the users' platform until SIGTERM or SIGINT.

Usage: mangostep entry SETTINGS

SETTINGS is a JSON file with comments. The host watches the platform's store and
logs to standard output, one JSON object per line. SIGTERM or SIGINT starts a
graceful shutdown, which ends within the grace period from the settings.
";

/// Runs an entry host on the users' platform until a signal arrives.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let positional = positional_arguments(arguments)?;
    let [path] = positional.as_slice() else {
        return Err(CommandError::Usage(
            "entry: expected one settings file".to_owned(),
        ));
    };
    let text = read_text(Path::new(path))?;
    let settings = HostSettings::from_text(path, &text).map_err(CommandError::Failed)?;
    let zones: Vec<(String, String)> = settings.zones.clone().into_iter().collect();
    let platform = TablePlatform::open(&settings.store, &zones)
        .map_err(|err| CommandError::failed("open platform", err))?;
    run_host(settings, platform).map_err(|err| CommandError::failed("run host", err))
}
