use std::path::Path;

use {
    mangostep_entry::{HostSettings, run_host},
    pico_args::Arguments,
    platform_adapter::TablePlatform,
};

use crate::command::{CommandError, free_arguments, read_text};

pub(crate) const USAGE: &str = "\
Run an entry host on the users' platform until SIGTERM or SIGINT.

Usage: mangostep entry SETTINGS

SETTINGS is a JSON file with comments. The host follows the platform's store
and writes its log to standard output, a JSON object a line. SIGTERM starts a
planned stop, which ends within the grace that the settings name.
";

/// Runs an entry host until a signal ends it.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let free = free_arguments(arguments)?;
    let [path] = free.as_slice() else {
        return Err(CommandError::Usage(
            "entry takes one settings file".to_owned(),
        ));
    };
    let text = read_text(Path::new(path))?;
    let settings = HostSettings::from_text(path, &text).map_err(CommandError::Failed)?;
    let zones: Vec<(String, String)> = settings.zones.clone().into_iter().collect();
    let platform = TablePlatform::open(&settings.store, &zones)
        .map_err(|err| CommandError::failed("open platform", err))?;
    run_host(settings, platform).map_err(|err| CommandError::failed("entry", err))
}
