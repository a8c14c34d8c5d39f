//! The listener for operators: metrics, status and events.

use std::{net::SocketAddr, sync::mpsc::SyncSender, thread::JoinHandle};

use {
    rocket::{Config, State, get, http::Status, routes, serde::json::Json},
    serde::Serialize,
    serde_json::Value,
    tokio::{runtime::Builder, sync::watch},
};

use {
    crate::{entry_host::StopPhase, prelude::*},
    mangostep_telemetry::TimelineEvent,
};

const EVENT_PAGE_MAX: usize = 10_000;

/// Starts the operator thread.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    bound: SyncSender<SocketAddr>,
    mut stopped: watch::Receiver<StopPhase>,
) -> Result<JoinHandle<()>, DaemonError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("operator")
        .enable_all()
        .build()
        .map_err(|err| DaemonError::new("start runtime", "operator thread", err))?;
    let config = Config {
        address: context.settings.operator.ip(),
        port: context.settings.operator.port(),
        workers: 1,
        ip_header: None,
        log_level: rocket::config::LogLevel::Off,
        shutdown: crate::front::library_shutdown(),
        ..Config::release_default()
    };
    let run = move || {
        runtime.block_on(async move {
            let announce = crate::front::announce_address(bound);
            let rocket = rocket::custom(config)
                .attach(announce)
                .manage(context.clone())
                .mount("/", routes![metrics, status, events]);
            let stop = async move {
                // An error means that the sender was dropped: stop as well.
                let _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped).await;
            };
            crate::front::launch(rocket, stop, &context.log).await;
        });
        runtime.shutdown_timeout(Duration::from_millis(200));
    };
    std::thread::Builder::new()
        .name("operator".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "operator thread", err))
}

#[get("/metrics")]
fn metrics(context: &State<Arc<HostContext>>) -> Result<String, Status> {
    context
        .counters
        .scrape()
        .map_err(|_| Status::InternalServerError)
}

/// The answer to `/status`.
#[derive(Debug, Serialize)]
struct HostStatus {
    host: String,
    incarnation: u64,
    zone: String,
    version: u64,
    holds: bool,
    fresh: bool,
    running: u64,
    last_event: u64,
    sections: Value,
}

#[get("/status")]
fn status(context: &State<Arc<HostContext>>) -> Json<HostStatus> {
    let now = context.clock.now();
    Json(HostStatus {
        host: context.settings.host.clone(),
        incarnation: context.incarnation,
        zone: context.settings.zone.clone(),
        version: context.snapshot.load().version(),
        holds: context.standing.holds(now),
        fresh: context.standing.is_fresh(now),
        running: context.in_flight.load(std::sync::atomic::Ordering::Acquire),
        last_event: context.recorder.clock().now(),
        sections: context.status.read(),
    })
}

/// The answer to `/events`: a page of the host's timeline.
#[derive(Debug, Serialize)]
struct EventAnswer {
    host: String,
    incarnation: u64,
    missed: u64,
    events: Vec<TimelineEvent>,
}

#[get("/events?<since>&<most>")]
fn events(
    context: &State<Arc<HostContext>>,
    since: Option<u64>,
    most: Option<usize>,
) -> Json<EventAnswer> {
    let most = most.unwrap_or(EVENT_PAGE_MAX).min(EVENT_PAGE_MAX);
    let page = context.recorder.events_after(since.unwrap_or(0), most);
    Json(EventAnswer {
        host: context.settings.host.clone(),
        incarnation: context.incarnation,
        missed: page.missed,
        events: page.events,
    })
}
