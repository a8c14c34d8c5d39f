//! Takes requests from callers by Rocket and leads each through its key,
//! its workspace's limit, a slot, and the backend server.

mod answer;
mod body;
mod forward;
mod handler;
mod headers;
mod lookup;
mod running;
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
    let failed = |err| DaemonError::new("start runtime", "front thread", err);
    let runtime = Builder::new_multi_thread()
        .worker_threads(context.settings.front_threads)
        .thread_name("front")
        .enable_all()
        .build()
        .map_err(failed)?;
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
                // An error means that the sender is gone, which is a stop too.
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

/// Tells the address that a Rocket instance is bound to.
pub(crate) fn announce_address(bound: SyncSender<SocketAddr>) -> AdHoc {
    AdHoc::on_liftoff("announce", |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            // The opening thread is gone when it gave up.
            let _ = bound.send(SocketAddr::new(config.address, config.port));
        })
    })
}

/// Runs a Rocket instance until `stop` is done.
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
        // The library panics on errors that are dropped unseen.
        slog::error!(log, "listener failed"; "cause" => err.to_string());
    }
}

/// Keeps Rocket from printing to standard output, which belongs to `serve`.
///
/// Rocket sets its own logger and level anew with every instance, whatever
/// its settings say, unless a logger is there before.
pub(crate) fn silence_library_log() {
    struct SilentLogger;

    impl log::Log for SilentLogger {
        fn enabled(&self, _: &log::Metadata<'_>) -> bool {
            false
        }

        fn log(&self, _: &log::Record<'_>) {}

        fn flush(&self) {}
    }

    // An error means that a logger is there already.
    let _ = log::set_logger(&SilentLogger);
}

/// The library's own signal handling is off: `serve` handles signals.
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
