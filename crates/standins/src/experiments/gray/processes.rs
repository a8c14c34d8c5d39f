use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    mangostep_objects::ObjectSet, mangostep_telemetry::TimelineEvent, serde::Deserialize,
    tokio::task::JoinSet,
};

use crate::{
    StandinError, TruncationPoint,
    backend::{BackendControl, BackendSettings, GrayFault, GrayMode, wall_us},
    experiments::{Bound, ExperimentSettings, Figures, gray::push_detection},
    fleet::{
        FleetSettings, NORTH_KEY, ReadyProbe, ServerGroup, StartObjects, TestFleet, basic_objects,
    },
    load::{LoadRequest, LoadSettings, run_load},
};

/// Services: name, servers per availability zone, and floor.
const SERVICES: [(&str, usize, u32); 2] = [("ledger", 10, 20), ("refunds", 2, 4)];
const SERVER_RATE_PER_S: f64 = 20.0;
const LOAD_DURATION: Duration = Duration::from_secs(30);
const SETTLE_DURATION: Duration = Duration::from_secs(3);
const DETECTION_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const HOSTS_PER_ZONE: usize = 3;
const WORK_MS: u64 = 15;

/// Number of modes, from the first, that a refunds server gets as well, each
/// in an availability zone of its own.
const REFUND_MODES: usize = 3;

fn fault_modes() -> [(&'static str, GrayMode); 6] {
    [
        ("errors", GrayMode::Error),
        ("hang", GrayMode::Hang),
        ("slow", GrayMode::Slow(300)),
        ("wrong_id", GrayMode::WrongId),
        ("cut", GrayMode::Cut(TruncationPoint::Length)),
        ("reset", GrayMode::Reset),
    ]
}

/// A page of a host's timeline.
#[derive(Debug, Deserialize)]
struct EventPage {
    events: Vec<TimelineEvent>,
}

/// Gives servers each mode of gray failure in turn, under load.
pub(super) async fn measure(
    settings: ExperimentSettings,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let fleet = open_fleet().await?;
    let mut loads = JoinSet::new();
    for host in 0..fleet.hosts.len() {
        loads.spawn(run_load(load_settings(&fleet, host, settings.seed)));
    }
    tokio::time::sleep(SETTLE_DURATION).await;
    let mut faulty = Vec::new();
    for (index, (name, mode)) in fault_modes().into_iter().enumerate() {
        let mut targets = vec![server_index(&fleet, "ledger", index % 3, index / 3 * 4 + 1)];
        if index < REFUND_MODES {
            targets.push(server_index(&fleet, "refunds", index % 3, 1));
        }
        let found = measure_mode(&fleet, mode, &targets).await?;
        for (target, seconds) in targets.iter().zip(found) {
            let service = fleet.servers[*target].service();
            push_detection(figures, &format!("processes_{service}_{name}"), seconds);
        }
        faulty.extend(targets.iter().map(|target| fleet.servers[*target].name()));
    }
    let ejected = ejections(&fleet).await?;
    let is_false = |server: &&String| !faulty.contains(&server.as_str());
    let false_ejections = ejected.keys().filter(is_false).count();
    let bound = Bound::AtMost(0.0);
    figures.push(
        "processes_false",
        false_ejections as f64,
        "ejections",
        bound,
    );
    let mut sent = 0;
    while let Some(report) = loads.join_next().await {
        let report =
            report.map_err(|err| StandinError::new("await load", "load caller", err))??;
        sent += report.total.sent;
        eprintln!("reasons: {}", report.reasons_line());
    }
    figures.push("processes_sent", sent as f64, "requests", Bound::None);
    fleet.close().await;
    Ok(())
}

/// Returns the index in `fleet.servers` of a server, given by its number (from
/// 0) among those of its service and availability zone; 0 if there is none.
fn server_index(fleet: &TestFleet, service: &str, zone: usize, number: usize) -> usize {
    let zone = ["a", "b", "c"][zone];
    let is_match = |index: &usize| {
        let server = &fleet.servers[*index];
        server.service() == service && server.zone() == zone
    };
    let mut indexes = (0..fleet.servers.len()).filter(is_match);
    indexes.nth(number).unwrap_or(0)
}

/// Returns the seconds until each target was ejected, `None` for a target that
/// was not ejected before the timeout.
async fn measure_mode(
    fleet: &TestFleet,
    mode: GrayMode,
    targets: &[usize],
) -> Result<Vec<Option<f64>>, StandinError> {
    set_faults(fleet, targets, vec![GrayFault::always(mode)]).await?;
    let start_us = wall_us();
    let start = Instant::now();
    let mut found = vec![None; targets.len()];
    while found.contains(&None) && start.elapsed() < DETECTION_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
        let ejected = ejections(fleet).await?;
        for (target, found) in targets.iter().zip(&mut found) {
            let times = ejected.get(fleet.servers[*target].name());
            let first = times.and_then(|times| times.iter().find(|at| **at >= start_us));
            *found = first.map(|at| (at - start_us) as f64 / 1e6);
        }
    }
    set_faults(fleet, targets, Vec::new()).await?;
    Ok(found)
}

async fn set_faults(
    fleet: &TestFleet,
    targets: &[usize],
    faults: Vec<GrayFault>,
) -> Result<(), StandinError> {
    for target in targets {
        let control = BackendControl {
            faults: Some(faults.clone()),
            ..Default::default()
        };
        fleet.servers[*target].control(&control).await?;
    }
    Ok(())
}

/// Returns the times in microseconds at which each server was ejected, from
/// the timelines of all hosts.
async fn ejections(fleet: &TestFleet) -> Result<BTreeMap<String, Vec<u64>>, StandinError> {
    let mut ejected: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for host in &fleet.hosts {
        let address = host.addresses().operator;
        let failed = |err| StandinError::new("read timeline", address, err);
        let page: EventPage = reqwest::get(format!("http://{address}/events"))
            .await
            .map_err(failed)?
            .json()
            .await
            .map_err(failed)?;
        for event in page.events {
            let is_granted = event
                .fields
                .get("granted")
                .is_some_and(|granted| granted == "true");
            let server = event.fields.get("server").filter(|_| is_granted);
            if let Some(server) = server.filter(|_| event.name == "ejection") {
                let at = u64::try_from(event.wall_us).unwrap_or(0);
                ejected.entry(server.clone()).or_default().push(at);
            }
        }
    }
    ejected.values_mut().for_each(|times| times.sort_unstable());
    Ok(ejected)
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    let zones: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let group = |(service, per_zone, _): (&str, usize, u32)| ServerGroup {
        service: service.to_owned(),
        per_zone,
        backend: BackendSettings {
            work_ms: WORK_MS,
            warm_ms: 500,
            ..Default::default()
        },
        ..Default::default()
    };
    TestFleet::open(FleetSettings {
        objects: StartObjects::Set(objects(&zones)),
        servers: SERVICES.into_iter().map(group).collect(),
        ready: Some(ReadyProbe {
            path: "/ledger/ready".to_owned(),
            ..Default::default()
        }),
        hosts_per_zone: HOSTS_PER_ZONE,
        zones,
        ..Default::default()
    })
    .await
}

/// Returns the basic objects with the two services and two slots per server.
fn objects(zones: &[String]) -> ObjectSet {
    let mut set = basic_objects(zones);
    let service = set.services.remove(0);
    let route = set.routes.remove(0);
    set.routes.clear();
    for (name, _, floor) in SERVICES {
        let mut named_service = service.clone();
        named_service.name = name.to_owned();
        named_service.slots = 2;
        named_service.cold_slots = 1;
        named_service.warm_up = Duration::from_millis(500);
        named_service.floor = floor;
        set.services.push(named_service);
        let mut named_route = route.clone();
        named_route.name = name.to_owned();
        named_route.path = format!("/{name}");
        named_route.service = name.to_owned();
        set.routes.push(named_route);
    }
    set
}

/// Returns the load that is sent to one entry host.
fn load_settings(fleet: &TestFleet, host: usize, seed: u64) -> LoadSettings {
    let servers = |per_zone: usize| (per_zone * 3) as f64;
    let request = |(name, per_zone, _): (&str, usize, u32)| LoadRequest {
        name: name.to_owned(),
        path: format!("/{name}/1"),
        key: NORTH_KEY.to_owned(),
        weight: servers(per_zone),
        ..Default::default()
    };
    let server_count: f64 = SERVICES.iter().map(|service| servers(service.1)).sum();
    LoadSettings {
        entries: vec![fleet.hosts[host].addresses().front],
        look_up: false,
        rate_per_s: server_count * SERVER_RATE_PER_S / fleet.hosts.len() as f64,
        duration: LOAD_DURATION,
        requests: SERVICES.into_iter().map(request).collect(),
        seed: seed + host as u64,
        ..Default::default()
    }
}
