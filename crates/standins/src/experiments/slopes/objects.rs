use std::time::{Duration, Instant};

use crate::{
    StandinError,
    experiments::{
        Bound, ExperimentSettings, Figures,
        slopes::{TARGET_HOSTS, line::SizeLine},
    },
    fleet::{FleetSettings, StartObjects, TestFleet, wait_until},
    generate::{ObjectCounts, generate_objects},
    usage::ProcessUsage,
};

const WORKSPACE_COUNTS: [usize; 3] = [1_000, 18_000, 72_000];
const SERVICE_COUNTS: [usize; 3] = [20, 100, 430];

/// Cells whose slots one host keeps at the target size: 430 services in 6
/// availability zones over 890 hosts. This fleet has one host in one zone,
/// so its cells are as many as its services.
const CELLS_PER_HOST: usize = 3;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE_DURATION: Duration = Duration::from_secs(3);
const IDLE_DURATION: Duration = Duration::from_secs(2);

/// Longest time from a publication until it is in force.
const IN_FORCE_MAX_S: f64 = 9.0;

/// Largest resident memory of one host.
const MEMORY_MAX_MB: f64 = 128.0;

/// Largest control traffic of one host.
const CONTROL_MAX_BYTES_PER_S: f64 = 2_000.0;

/// Number of services at the target size.
const TARGET_SERVICES: f64 = 430.0;

/// Largest rate of platform reads of the whole fleet.
const PLATFORM_MAX_READS_PER_S: f64 = 1_500.0;

/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: f64 = 2_300.0;

/// Publishes object sets of growing size to one host process.
pub(crate) async fn measure(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        fleet: "objects".to_owned(),
        zones: vec!["zone-0".to_owned()],
        servers: Vec::new(),
        objects: StartObjects::Nothing,
        ready: None,
        ..Default::default()
    })
    .await?;
    let mut figures = Figures::default();
    measure_workspaces(&fleet, settings.seed, &mut figures).await?;
    measure_services(&fleet, settings.seed, &mut figures).await?;
    fleet.close().await;
    Ok(figures)
}

async fn measure_workspaces(
    fleet: &TestFleet,
    seed: u64,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let pid = fleet.hosts[0].pid();
    let mut memory = SizeLine::default();
    let mut cpu = SizeLine::default();
    let mut duration = SizeLine::default();
    for size in WORKSPACE_COUNTS {
        let counts = ObjectCounts {
            workspaces: size,
            services: CELLS_PER_HOST,
            ..Default::default()
        };
        let set = generate_objects(counts, seed);
        let before = ProcessUsage::of(pid)?;
        let start = Instant::now();
        publish(fleet, &set).await?;
        duration.push(size as f64, start.elapsed().as_secs_f64());
        let after = ProcessUsage::of(pid)?;
        cpu.push(size as f64, (after.cpu - before.cpu).as_secs_f64());
        memory.push(size as f64, after.resident_bytes as f64 / 1e6);
    }
    // During a change of the largest set the old and the new set are both in
    // memory.
    let counts = ObjectCounts {
        services: CELLS_PER_HOST,
        ..Default::default()
    };
    let mut changed = generate_objects(counts, seed);
    for limit in &mut changed.limits {
        limit.burst += 1.0;
    }
    publish(fleet, &changed).await?;
    let peak = ProcessUsage::of(pid)?.peak_bytes as f64 / 1e6;
    let full_set = generate_objects(ObjectCounts::default(), seed);
    let bytes = serde_json::to_vec(&full_set).map_or(0, |body| body.len()) as f64;
    let changes_per_s = CHANGES_PER_DAY / 86_400.0;
    let target = 72_000.0;
    let memory_bound = Bound::AtMost(MEMORY_MAX_MB);
    memory.push_figures(
        "host_memory_by_workspaces",
        "MB",
        target,
        memory_bound,
        figures,
    );
    duration.push_figures(
        "set_in_force",
        "s",
        target,
        Bound::AtMost(IN_FORCE_MAX_S),
        figures,
    );
    cpu.push_figures("set_cpu", "s", target, Bound::None, figures);
    let cpu_percent = cpu.value_at(target) * changes_per_s * 100.0;
    figures.push(
        "set_cpu_share_of_core",
        cpu_percent,
        "%",
        Bound::AtMost(2.9),
    );
    figures.push("host_peak_memory_after_change", peak, "MB", memory_bound);
    figures.push("set_bytes", bytes, "bytes", Bound::None);
    let bytes_bound = Bound::AtMost(CONTROL_MAX_BYTES_PER_S);
    figures.push("set_bytes_per_s", bytes * changes_per_s, "B/s", bytes_bound);
    Ok(())
}

async fn measure_services(
    fleet: &TestFleet,
    seed: u64,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let host = &fleet.hosts[0];
    let mut listings = SizeLine::default();
    // A host lists its services one after the other and falls behind when
    // there are many, so the highest rate per service, that of the smallest
    // size, is the one that every service needs.
    let mut listings_per_service = 0.0_f64;
    let mut cpu = SizeLine::default();
    for size in SERVICE_COUNTS {
        let counts = ObjectCounts {
            workspaces: 1_000,
            services: size,
            ..Default::default()
        };
        publish(fleet, &generate_objects(counts, seed)).await?;
        // After a change of the set, cells and limit homes move between hosts.
        tokio::time::sleep(SETTLE_DURATION).await;
        let listings_of = |counts: &crate::platform::PlatformCounts| {
            let client = counts.clients.get(host.name());
            client.map_or(0, |client| client.listings)
        };
        let before = (
            fleet.platform.counts().await?,
            ProcessUsage::of(host.pid())?,
        );
        let start = Instant::now();
        tokio::time::sleep(IDLE_DURATION).await;
        let after = (
            fleet.platform.counts().await?,
            ProcessUsage::of(host.pid())?,
        );
        let seconds = start.elapsed().as_secs_f64();
        let listed = listings_of(&after.0) - listings_of(&before.0);
        listings.push(size as f64, listed as f64 / seconds);
        listings_per_service = listings_per_service.max(listed as f64 / seconds / size as f64);
        let cpu_s = (after.1.cpu - before.1.cpu).as_secs_f64();
        cpu.push(size as f64, cpu_s / seconds * 100.0);
    }
    listings.push_figures(
        "host_listings_by_services",
        "1/s",
        430.0,
        Bound::None,
        figures,
    );
    let target_listings = listings_per_service * TARGET_SERVICES * TARGET_HOSTS;
    let bound = Bound::AtMost(PLATFORM_MAX_READS_PER_S);
    figures.push("target_listings", target_listings, "1/s", bound);
    cpu.push_figures(
        "host_idle_cpu_by_services",
        "%",
        430.0,
        Bound::AtMost(2.9),
        figures,
    );
    Ok(())
}

/// Publishes a set and waits until the host has it in force.
async fn publish(
    fleet: &TestFleet,
    set: &mangostep_objects::ObjectSet,
) -> Result<(), StandinError> {
    let version = fleet.publish(set).await?;
    let host = &fleet.hosts[0];
    wait_until("set in force", IN_FORCE_TIMEOUT, || async {
        host.status()
            .await
            .is_ok_and(|status| status["version"] == version)
    })
    .await
}
