use std::{process::ExitCode, time::Duration};

use {
    mangostep_daemon::{EntryHost, ServeSettings},
    tokio::signal::unix::{SignalKind, signal},
};

const STOP_GRACE: Duration = Duration::from_secs(10);

/// Runs an entry host until a signal ends it.
pub(crate) fn run(mut arguments: pico_args::Arguments) -> ExitCode {
    let Ok(path) = arguments.free_from_str::<String>() else {
        eprintln!("serve: which settings file?");
        return ExitCode::from(crate::EXIT_USAGE);
    };
    match read_settings(&path).and_then(serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("serve: {message}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &str) -> Result<ServeSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|err| format!("{path}: {err}"))?;
    jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|err| format!("{path}: {err}"))
}

fn serve(settings: ServeSettings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| err.to_string())?;
    let host = EntryHost::open(settings).map_err(|err| err.to_string())?;
    let bound = serde_json::to_string(&host.addresses()).map_err(|err| err.to_string())?;
    println!("{bound}");
    runtime
        .block_on(wait_for_signal())
        .map_err(|err| err.to_string())?;
    host.close(STOP_GRACE);
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
