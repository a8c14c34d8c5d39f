use std::path::Path;

use {
    mangostep_daemon::{EntryHost, ServeSettings},
    pico_args::Arguments,
    tokio::signal::unix::{SignalKind, signal},
};

use crate::command::{CommandError, free_arguments, read_text};

pub(crate) const USAGE: &str = "\
Run an entry host until SIGTERM or SIGINT.

Usage: mangostep serve SETTINGS

SETTINGS is a JSON file with comments. When all listeners are bound, one JSON
line on standard output tells their addresses. The first signal starts a
planned stop, which cuts no request; a second one stops at once.
";

/// Runs an entry host until a signal ends it.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let free = free_arguments(arguments)?;
    let [path] = free.as_slice() else {
        return Err(CommandError::Usage(
            "serve takes one settings file".to_owned(),
        ));
    };
    let settings = read_settings(Path::new(path))?;
    serve(settings)
}

fn read_settings(path: &Path) -> Result<ServeSettings, CommandError> {
    let text = read_text(path)?;
    ServeSettings::from_text(&path.to_string_lossy(), &text).map_err(CommandError::Failed)
}

fn serve(settings: ServeSettings) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .map_err(|err| CommandError::failed("start runtime", err))?;
    let host = EntryHost::open(settings).map_err(|err| CommandError::failed("serve", err))?;
    let addresses = serde_json::to_string(&host.addresses())
        .map_err(|err| CommandError::failed("tell addresses", err))?;
    println!("{addresses}");
    let signals = |err| CommandError::failed("wait for signals", err);
    runtime.block_on(wait_for_signal()).map_err(signals)?;
    // A second signal ends the process whatever still runs.
    runtime.spawn(async {
        if wait_for_signal().await.is_ok() {
            std::process::exit(0);
        }
    });
    host.close();
    Ok(())
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
