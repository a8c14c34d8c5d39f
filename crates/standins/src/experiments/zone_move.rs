use std::time::{Duration, Instant};

use mangostep_objects::{ObjectSet, ZoneState};

use crate::{
    StandinError,
    backend::{BackendSettings, wall_us},
    experiments::{Bound, ExperimentSettings, Figures, mixed_load::mixed_load},
    fleet::{FleetSettings, ServerGroup, StartObjects, TestFleet, basic_objects},
    load::{audit_runs, run_load},
};

const ZONE: &str = "a";
const SLOTS: u32 = 4;
const SERVERS_PER_ZONE: usize = 2;
const WORK_MS: u64 = 100;
/// Share of all slots that the load occupies on average.
const LOAD_SHARE: f64 = 0.6;
const WARM_UP_DURATION: Duration = Duration::from_secs(4);
const LOAD_DURATION: Duration = Duration::from_secs(28);
/// Time into the load at which the zone is taken out.
const OUT_AT: Duration = Duration::from_secs(6);
/// Time into the load at which the zone returns.
const BACK_AT: Duration = Duration::from_secs(17);
/// Longest time in which a zone that was taken out may still start requests.
const LAST_WORK_MAX_S: f64 = 5.0;

/// Takes an availability zone out under load and brings it back.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut objects = basic_objects(&["a", "b", "c"].map(str::to_owned));
    for service in &mut objects.services {
        service.slots = SLOTS;
        service.cold_slots = SLOTS / 2;
    }
    let fleet = open_fleet(&objects).await?;
    let slots = fleet.servers.len() as f64 * f64::from(SLOTS);
    let rate_per_s = LOAD_SHARE * slots * 1000.0 / WORK_MS as f64;
    run_load(mixed_load(
        &fleet,
        rate_per_s,
        WARM_UP_DURATION,
        settings.seed,
    ))
    .await?;
    let start = Instant::now();
    let load = tokio::spawn(run_load(mixed_load(
        &fleet,
        rate_per_s,
        LOAD_DURATION,
        settings.seed + 1,
    )));
    tokio::time::sleep(OUT_AT).await;
    publish_zone_state(&fleet, &mut objects, ZoneState::Out).await?;
    let out_us = wall_us();
    tokio::time::sleep(BACK_AT.saturating_sub(start.elapsed())).await;
    let back_us = wall_us();
    publish_zone_state(&fleet, &mut objects, ZoneState::In).await?;
    let report = load
        .await
        .map_err(|err| StandinError::new("await load", "load caller", err))??;
    let records = fleet.records().await?;
    let audit = audit_runs(&report, &records, &["book"]);
    let mut last_start_us = out_us;
    let mut ran_after_return = 0;
    for server in fleet.servers.iter().filter(|server| server.zone() == ZONE) {
        for run in server.records().await? {
            if run.start_us < back_us {
                last_start_us = last_start_us.max(run.start_us);
            } else {
                ran_after_return += 1;
            }
        }
    }
    eprintln!("reasons: {}", report.reasons_line());
    let mut figures = Figures::default();
    let total = &report.total;
    let correct = total.served - audit.phantom - audit.doubled;
    let correct = correct as f64 / total.sent as f64 * 100.0;
    figures.push("sent", total.sent as f64, "requests", Bound::None);
    figures.push("answered_once", correct, "%", Bound::AtLeast(99.9));
    let zero = Bound::AtMost(0.0);
    figures.push("doubled", audit.doubled as f64, "requests", zero);
    figures.push(
        "false_not_run",
        audit.false_not_run as f64,
        "requests",
        zero,
    );
    let last_start_s = (last_start_us - out_us) as f64 / 1e6;
    figures.push(
        "last_new_work",
        last_start_s,
        "s",
        Bound::AtMost(LAST_WORK_MAX_S),
    );
    figures.push(
        "ran_after_return",
        f64::from(ran_after_return),
        "requests",
        Bound::AtLeast(1.0),
    );
    figures.push("latency_p99", total.latency_ms(0.99), "ms", Bound::None);
    fleet.close().await;
    Ok(figures)
}

async fn publish_zone_state(
    fleet: &TestFleet,
    objects: &mut ObjectSet,
    state: ZoneState,
) -> Result<(), StandinError> {
    for zone in objects.zones.iter_mut().filter(|zone| zone.name == ZONE) {
        zone.state = state;
    }
    fleet.publish(objects).await?;
    Ok(())
}

async fn open_fleet(objects: &ObjectSet) -> Result<TestFleet, StandinError> {
    TestFleet::open(FleetSettings {
        objects: StartObjects::Set(objects.clone()),
        servers: vec![ServerGroup {
            per_zone: SERVERS_PER_ZONE,
            backend: BackendSettings {
                slots: SLOTS as usize,
                cold_slots: SLOTS as usize / 2,
                work_ms: WORK_MS,
                ..Default::default()
            },
            ..Default::default()
        }],
        ..Default::default()
    })
    .await
}
