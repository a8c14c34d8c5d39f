//! Serves callers' requests with Rocket.
//!
//! Each request passes its key check, the rate limit of its workspace and the
//! wait for a slot, and is then forwarded to a backend server.

mod answer;
mod body;
mod forward;
mod handler;
mod headers;
mod in_flight;
mod lookup;
mod zone_gate;

use std::{net::SocketAddr, sync::mpsc::SyncSender, thread::JoinHandle};

use {
    rocket::{
        Build, Config, Rocket,
        config::{Ident, Shutdown},
        fairing::AdHoc,
        http::Method,
        shield::Shield,
    },
    slog::Logger,
    tokio::{runtime::Builder, sync::watch},
};

use crate::{
    back::BackSender,
    entry_host::StopPhase,
    front::{handler::EntryHandler, zone_gate::watch_own_zone},
    peer::PeerRing,
    prelude::*,
};

const METHODS: [Method; 9] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
    Method::Trace,
    Method::Connect,
];

/// Starts the front thread and its workers.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    peer: PeerRing,
    back: BackSender,
    bound: SyncSender<SocketAddr>,
    mut stopped: watch::Receiver<StopPhase>,
) -> Result<JoinHandle<()>, DaemonError> {
    let to_error = |err| DaemonError::new("start runtime", "front thread", err);
    let runtime = Builder::new_multi_thread()
        .worker_threads(context.settings.front_threads)
        .thread_name("front")
        .enable_all()
        .build()
        .map_err(to_error)?;
    let config = rocket_config(&context);
    let handler = EntryHandler::new(context.clone(), peer, back);
    let routes: Vec<rocket::Route> = METHODS
        .iter()
        .map(|method| rocket::Route::ranked(0, *method, "/<path..>", handler.clone()))
        .collect();
    let run = move || {
        runtime.block_on(async move {
            tokio::spawn(watch_own_zone(context.clone()));
            let rocket = rocket::custom(config)
                .attach(Shield::new())
                .attach(announce_address(bound))
                .mount("/", routes);
            let stop = async move {
                // An error means that the sender was dropped, which also
                // stops the thread.
                let _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped).await;
            };
            launch(rocket, stop, &context.log).await;
        });
        runtime.shutdown_timeout(Duration::from_millis(200));
    };
    std::thread::Builder::new()
        .name("front".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "front thread", err))
}

/// Reports the address to which a Rocket instance is bound, once it listens.
pub(crate) fn announce_address(bound: SyncSender<SocketAddr>) -> AdHoc {
    AdHoc::on_liftoff("announce", |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            // The receiver is gone if the opening thread stopped waiting.
            let _ = bound.send(SocketAddr::new(config.address, config.port));
        })
    })
}

/// Runs a Rocket instance until `stop` completes.
pub(crate) async fn launch(
    rocket: Rocket<Build>,
    stop: impl Future<Output = ()> + Send + 'static,
    log: &Logger,
) {
    let result = match rocket.ignite().await {
        Ok(ready) => {
            let shutdown = ready.shutdown();
            tokio::spawn(async move {
                stop.await;
                shutdown.notify();
            });
            ready.launch().await.map(drop)
        }
        Err(err) => Err(err),
    };
    if let Err(err) = result {
        // Rocket panics if an error is dropped without having been inspected.
        slog::error!(log, "listener failed"; "cause" => err.to_string());
    }
}

/// Prevents Rocket from printing to standard output, which `serve` uses
/// itself.
///
/// Every Rocket instance sets its own logger and level regardless of its
/// settings, unless a logger is already set.
pub(crate) fn silence_library_log() {
    struct SilentLogger;

    impl log::Log for SilentLogger {
        fn enabled(&self, _: &log::Metadata<'_>) -> bool {
            false
        }

        fn log(&self, _: &log::Record<'_>) {}

        fn flush(&self) {}
    }

    // An error means that a logger is already set.
    let _ = log::set_logger(&SilentLogger);
}

/// Shutdown settings of Rocket, without signals: `serve` handles those itself.
pub(crate) fn library_shutdown() -> Shutdown {
    Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: 1,
        mercy: 1,
        force: false,
        ..Default::default()
    }
}

fn rocket_config(context: &HostContext) -> Config {
    let settings = &context.settings;
    Config {
        address: settings.front.ip(),
        port: settings.front.port(),
        workers: settings.front_threads,
        ident: Ident::none(),
        ip_header: None,
        log_level: rocket::config::LogLevel::Off,
        shutdown: library_shutdown(),
        ..Config::release_default()
    }
}
