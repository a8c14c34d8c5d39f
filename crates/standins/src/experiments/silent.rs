use std::time::Duration;

use crate::{
    StandinError,
    backend::BackendSettings,
    experiments::{Bound, ExperimentSettings, Figures, mixed_load::mixed_load},
    fleet::basic_objects,
    fleet::{FleetSettings, ProxiedLinks, ServerGroup, StartObjects, TestFleet},
    load::{audit_runs, run_load},
    proxy::ProxyCommand,
};

const RATE_PER_S: f64 = 120.0;
const LOAD_DURATION: Duration = Duration::from_secs(24);
const SILENCE_INTERVAL: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(3);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
const WORK_MS: u64 = 10;

/// Least share of look-ups that must be served within their deadline.
const SERVED_MIN_PERCENT: f64 = 99.9;

/// Periodically stalls all open connections to the backend servers, without
/// closing them, while new connections work.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = open_fleet().await?;
    let load = tokio::spawn(run_load(mixed_load(
        &fleet,
        RATE_PER_S,
        LOAD_DURATION,
        settings.seed,
    )));
    let mut silenced = 0;
    while !load.is_finished() {
        tokio::time::sleep(SILENCE_INTERVAL).await;
        for server in &fleet.servers {
            if let Some(proxy) = server.proxy() {
                proxy
                    .run(vec![ProxyCommand::Silence { source: None }])
                    .await?;
            }
        }
        silenced += 1;
    }
    let report = load
        .await
        .map_err(|err| StandinError::new("await load", "load caller", err))??;
    let audit = audit_runs(&report, &fleet.records().await?, &["book"]);
    eprintln!("{}", report.failures_by_second());
    let mut figures = Figures::default();
    for kind in &report.kinds {
        let mut count = |name: &str, value: u64| {
            let name = format!("{}_{name}", kind.name);
            figures.push(&name, value as f64, "requests", Bound::None);
        };
        count("sent", kind.sent);
        count("served", kind.served);
        count("not_run", kind.not_run);
        count("unknown", kind.unknown + kind.lost);
    }
    let within = report.kinds[0].served_share_within(DEADLINE) * 100.0;
    let bound = Bound::AtLeast(SERVED_MIN_PERCENT);
    figures.push("lookup_served_in_time", within, "%", bound);
    let mut count = |name, value: u64| {
        figures.push(name, value as f64, "requests", Bound::AtMost(0.0));
    };
    count("doubled", audit.doubled);
    count("false_not_run", audit.false_not_run);
    count("crossed", report.total.crossed);
    figures.push("silences", f64::from(silenced), "times", Bound::None);
    fleet.close().await;
    Ok(figures)
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    let zones: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let mut objects = basic_objects(&zones);
    for service in &mut objects.services {
        service.attempt_timeout = ATTEMPT_TIMEOUT;
    }
    TestFleet::open(FleetSettings {
        zones,
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            backend: BackendSettings {
                work_ms: WORK_MS,
                slots: 8,
                cold_slots: 4,
                ..Default::default()
            },
            ..Default::default()
        }],
        proxied: ProxiedLinks {
            servers: true,
            ..Default::default()
        },
        ..Default::default()
    })
    .await
}
