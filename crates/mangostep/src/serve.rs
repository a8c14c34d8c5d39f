use std::path::Path;

use {
    mangostep_daemon::{EntryHost, ServeSettings},
    pico_args::Arguments,
    tokio::signal::unix::{SignalKind, signal},
};

use crate::command::{CommandError, positional_arguments, read_text};

pub(crate) const USAGE: &str = "\
Run an entry host until SIGTERM or SIGINT.

Usage: mangostep serve SETTINGS

SETTINGS is a JSON file with comments. Once all listeners are bound, their
addresses are printed to standard output as one JSON line. The first signal
starts a graceful shutdown, which interrupts no in-flight request; the second
ends the process at once.
";

/// Runs an entry host until a signal arrives, then shuts it down gracefully.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let positional = positional_arguments(arguments)?;
    let [path] = positional.as_slice() else {
        return Err(CommandError::Usage(
            "serve: expected one settings file".to_owned(),
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
        .map_err(|err| CommandError::failed("start async runtime", err))?;
    let host = EntryHost::open(settings).map_err(|err| CommandError::failed("start host", err))?;
    let addresses = serde_json::to_string(&host.addresses())
        .map_err(|err| CommandError::failed("serialize addresses", err))?;
    println!("{addresses}");
    let signals = |err| CommandError::failed("wait for signals", err);
    runtime.block_on(wait_for_signal()).map_err(signals)?;
    // A second signal ends the process even if requests are still in flight.
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
