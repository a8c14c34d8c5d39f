use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use mangostep_objects::{Key, KeyDigest, Workspace};

use crate::{
    StandinError,
    backend::{BackendSettings, RunRecord},
    experiments::{Bound, ExperimentSettings, Figures},
    fleet::{FleetSettings, ReadyProbe, ServerGroup, StartObjects, TestFleet, basic_objects},
    load::{
        LoadReport, LoadRequest, LoadSettings, OperationOutcome, RequestReport, audit_runs,
        run_load,
    },
};

const WORKSPACE_COUNT: usize = 8;
const WORKSPACE_RATE_PER_S: f64 = 15.0;
const FLOOD_FACTOR: f64 = 10.0;
const WORK_MS: u64 = 50;
const SLOTS: u32 = 2;
const SERVER_COUNT: usize = 4;
const WARM_UP_DURATION: Duration = Duration::from_secs(3);
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Lets the first workspace send ten times the rate of each other workspace,
/// so that the total load exceeds the servers' capacity.
///
/// The served shares of the other workspaces are compared with those of a run
/// in which the first workspace sends nothing.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = open_fleet().await?;
    run_workspaces(&fleet, 1.0, WARM_UP_DURATION, settings.seed).await?;
    let baseline = run_workspaces(&fleet, 0.0, LOAD_DURATION, settings.seed + 1).await?;
    let flooded = run_workspaces(&fleet, FLOOD_FACTOR, LOAD_DURATION, settings.seed + 2).await?;
    let records = fleet.records().await?;
    let audit = audit_runs(&flooded, &records, &[]);
    let flooded_runs = served_runs(&flooded, &records);
    let baseline_runs = served_runs(&baseline, &records);
    let mut worst_ratio: f64 = 1.0;
    for workspace in (1..WORKSPACE_COUNT).map(workspace_name) {
        let share = |report: &LoadReport, runs: &BTreeMap<String, u64>| {
            let sent = report.kind(&workspace).map_or(0, |kind| kind.sent);
            runs.get(&workspace).copied().unwrap_or(0) as f64 / sent.max(1) as f64
        };
        worst_ratio =
            worst_ratio.min(share(&flooded, &flooded_runs) / share(&baseline, &baseline_runs));
    }
    eprintln!("without flood: {}", baseline.reasons_line());
    eprintln!("with flood: {}", flooded.reasons_line());
    let mut figures = Figures::default();
    let capacity = SERVER_COUNT as f64 * f64::from(SLOTS) * 1000.0 / WORK_MS as f64;
    let demand = WORKSPACE_RATE_PER_S * (WORKSPACE_COUNT as f64 - 1.0 + FLOOD_FACTOR);
    figures.push("wanted", demand / capacity * 100.0, "%", Bound::None);
    figures.push(
        "worst_served",
        worst_ratio * 100.0,
        "%",
        Bound::AtLeast(99.0),
    );
    let flooder = flooded.kind(&workspace_name(0));
    let flooder = flooder.map_or(0.0, RequestReport::served_share);
    figures.push("flooder_served", flooder * 100.0, "%", Bound::None);
    let releases = fleet.count_of("release").await?;
    let messages = fleet.count_of("release-message").await?;
    let releases_per_message = releases / messages;
    figures.push(
        "releases_a_message",
        releases_per_message,
        "releases",
        Bound::None,
    );
    let false_not_run = audit.false_not_run as f64;
    figures.push(
        "false_not_run",
        false_not_run,
        "requests",
        Bound::AtMost(0.0),
    );
    fleet.close().await;
    Ok(figures)
}

/// Counts by kind the operations that were answered and that appear in the
/// servers' records.
fn served_runs(report: &LoadReport, records: &[RunRecord]) -> BTreeMap<String, u64> {
    let ran: HashSet<&str> = records
        .iter()
        .map(|record| record.operation.as_str())
        .collect();
    let mut counts = BTreeMap::new();
    for operation in &report.operations {
        let is_answered =
            matches!(operation.outcome, OperationOutcome::Answered { status } if status < 400);
        if is_answered && ran.contains(operation.operation.as_str()) {
            let kind = report.kinds[operation.kind].name.clone();
            *counts.entry(kind).or_default() += 1;
        }
    }
    counts
}

fn workspace_name(number: usize) -> String {
    format!("w{number}")
}

fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    let zones = vec!["a".to_owned()];
    let mut objects = basic_objects(&zones);
    for service in &mut objects.services {
        service.slots = SLOTS;
        service.cold_slots = SLOTS;
    }
    for name in (0..WORKSPACE_COUNT).map(workspace_name) {
        objects.keys.push(Key {
            name: format!("{name}-1"),
            workspace: name.clone(),
            sha256: KeyDigest::of(key_of(&name).as_bytes()),
        });
        objects.workspaces.push(Workspace {
            name,
            limit: Some("wide".to_owned()),
            priority: None,
        });
    }
    TestFleet::open(FleetSettings {
        zones,
        hosts_per_zone: 3,
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            per_zone: SERVER_COUNT,
            backend: BackendSettings {
                slots: SLOTS as usize,
                cold_slots: SLOTS as usize,
                work_ms: WORK_MS,
                ..Default::default()
            },
            ..Default::default()
        }],
        ready: Some(ReadyProbe::default()),
        ..Default::default()
    })
    .await
}

/// Runs all workspaces at once; `flood` is the rate of the first workspace as
/// a multiple of the rate of each other one.
async fn run_workspaces(
    fleet: &TestFleet,
    flood: f64,
    duration: Duration,
    seed: u64,
) -> Result<LoadReport, StandinError> {
    let requests: Vec<LoadRequest> = (0..WORKSPACE_COUNT)
        .map(|number| LoadRequest {
            name: workspace_name(number),
            key: key_of(&workspace_name(number)),
            weight: if number == 0 { flood } else { 1.0 },
            ..Default::default()
        })
        .filter(|request| request.weight > 0.0)
        .collect();
    let weight: f64 = requests.iter().map(|request| request.weight).sum();
    run_load(LoadSettings {
        entries: fleet.entries(),
        rate_per_s: WORKSPACE_RATE_PER_S * weight,
        duration,
        requests,
        seed,
        ..Default::default()
    })
    .await
}
