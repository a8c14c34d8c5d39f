//! Takes requests from callers by Rocket and leads each through its key,
//! its workspace's limit, a slot, and the backend server.

mod answer;
mod body;
mod forward;
mod handler;
mod headers;
mod lookup;

use std::{net::SocketAddr, sync::mpsc::SyncSender, thread::JoinHandle};

use {
    rocket::{Config, config::Ident, fairing::AdHoc, http::Method, shield::Shield},
    tokio::{runtime::Builder, sync::watch},
};

use crate::{
    back::BackRing, entry_host::StopPhase, front::handler::EntryHandler, peer::PeerRing, prelude::*,
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
    back: BackRing,
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
            let announce = AdHoc::on_liftoff("announce", |rocket| {
                Box::pin(async move {
                    let config = rocket.config();
                    // The opening thread is gone when it gave up.
                    let _ = bound.send(SocketAddr::new(config.address, config.port));
                })
            });
            let rocket = rocket::custom(config)
                .attach(Shield::new())
                .attach(announce)
                .mount("/", routes);
            let ready = match rocket.ignite().await {
                Ok(ready) => ready,
                Err(err) => {
                    slog::error!(context.log, "front failed"; "step" => "ignite", "cause" => err.to_string());
                    return;
                }
            };
            let shutdown = ready.shutdown();
            tokio::spawn(async move {
                // An error means that the sender is gone, which is a stop too.
                let _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped).await;
                shutdown.notify();
            });
            if let Err(err) = ready.launch().await {
                slog::error!(context.log, "front failed"; "step" => "launch", "cause" => err.to_string());
                // Rocket's errors panic when dropped unseen; `to_string` marks them seen.
            }
        });
        runtime.shutdown_timeout(Duration::from_millis(200));
    };
    std::thread::Builder::new()
        .name("front".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "front thread", err))
}

fn rocket_config(context: &HostContext) -> Config {
    let settings = &context.settings;
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: 1,
        mercy: 1,
        force: false,
        ..Default::default()
    };
    Config {
        address: settings.front.ip(),
        port: settings.front.port(),
        workers: settings.front_threads,
        ident: Ident::none(),
        ip_header: None,
        log_level: rocket::config::LogLevel::Off,
        shutdown,
        ..Config::release_default()
    }
}
