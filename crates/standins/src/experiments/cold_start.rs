use std::time::{Duration, Instant};

use crate::{
    StandinError,
    backend::{BackendControl, BackendSettings, RunRecord, wall_us},
    experiments::{Bound, ExperimentSettings, Figures, mixed_load::mixed_load},
    fleet::{
        FleetSettings, ProcessSignal, ServerGroup, StartObjects, TestFleet, basic_objects,
        wait_until,
    },
    load::{audit_runs, run_load},
};

const CELL: &str = "cell/ledger/a";
const SLOTS: u32 = 4;
const COLD_SLOTS: u32 = 1;
const COLD_RAMP: Duration = Duration::from_secs(4);
const WORK_MS: u64 = 20;
const RATE_PER_S: f64 = 150.0;
const LOAD_DURATION: Duration = Duration::from_secs(34);
/// Time into the load at which the slot keeper is killed; its servers are
/// still cold then.
const KILL_AT: Duration = Duration::from_secs(2);
/// Time into the load at which one server turns cold without notice.
const TURN_COLD_AT: Duration = Duration::from_secs(28);
const KEEPER_TIMEOUT: Duration = Duration::from_secs(10);

/// Loads servers in cold start, kills their slot keeper during the warm-up,
/// and turns one server cold again once all are warm.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut fleet = open_fleet().await?;
    wait_until("cell held", KEEPER_TIMEOUT, || async {
        fleet.keeper_of(CELL).await.is_some()
    })
    .await?;
    let start = Instant::now();
    let load = tokio::spawn(run_load(mixed_load(
        &fleet,
        RATE_PER_S,
        LOAD_DURATION,
        settings.seed,
    )));
    tokio::time::sleep(KILL_AT).await;
    if let Some(keeper) = fleet.keeper_of(CELL).await {
        fleet.hosts[keeper].signal(ProcessSignal::Kill);
    }
    tokio::time::sleep(TURN_COLD_AT.saturating_sub(start.elapsed())).await;
    let turned_us = wall_us();
    let turn_cold = BackendControl {
        cold: Some(true),
        ..Default::default()
    };
    fleet.servers[0].control(&turn_cold).await?;
    let report = load
        .await
        .map_err(|err| StandinError::new("await load", "load caller", err))??;
    let mut figures = Figures::default();
    let (mut over_cold_slots, mut cold_runs, mut falls) = (0, 0, 0);
    let mut excess_us = 0;
    for (index, server) in fleet.servers.iter().enumerate() {
        let records = server.records().await?;
        cold_runs += records.iter().filter(|run| run.cold).count();
        let is_after_turn = |run: &&RunRecord| index == 0 && run.start_us >= turned_us;
        over_cold_slots += records
            .iter()
            .filter(|run| exceeds_cold_slots(run) && !is_after_turn(run))
            .count();
        let over_after_turn = records
            .iter()
            .filter(|run| exceeds_cold_slots(run) && is_after_turn(run));
        let last_over_us = over_after_turn.map(|run| run.start_us - turned_us).max();
        excess_us = excess_us.max(last_over_us.unwrap_or(0));
        if index != 0 {
            falls += server.summary().await?.falls;
        }
    }
    let audit = audit_runs(&report, &fleet.records().await?, &["book"]);
    eprintln!("reasons: {}", report.reasons_line());
    figures.push(
        "cold_runs",
        cold_runs as f64,
        "requests",
        Bound::AtLeast(1.0),
    );
    let zero = Bound::AtMost(0.0);
    figures.push("over_cold_slots", over_cold_slots as f64, "requests", zero);
    figures.push("falls", falls as f64, "falls", zero);
    let excess_ms = excess_us as f64 / 1000.0;
    figures.push("turned_cold_excess", excess_ms, "ms", Bound::None);
    figures.push("doubled", audit.doubled as f64, "requests", zero);
    figures.push(
        "false_not_run",
        audit.false_not_run as f64,
        "requests",
        zero,
    );
    let served = report.total.served_share() * 100.0;
    figures.push("served", served, "%", Bound::None);
    fleet.close().await;
    Ok(figures)
}

fn exceeds_cold_slots(run: &RunRecord) -> bool {
    run.cold && run.concurrent > u64::from(COLD_SLOTS)
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    let zones = vec!["a".to_owned()];
    let mut objects = basic_objects(&zones);
    for service in &mut objects.services {
        service.slots = SLOTS;
        service.cold_slots = COLD_SLOTS;
        service.warm_up = COLD_RAMP;
    }
    TestFleet::open(FleetSettings {
        zones,
        hosts_per_zone: 3,
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            per_zone: 4,
            backend: BackendSettings {
                slots: SLOTS as usize,
                cold_slots: COLD_SLOTS as usize,
                cold: true,
                warm_ms: COLD_RAMP.as_millis() as u64,
                work_ms: WORK_MS,
                ..Default::default()
            },
            ..Default::default()
        }],
        ..Default::default()
    })
    .await
}
