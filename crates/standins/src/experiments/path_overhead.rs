use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    StandinError,
    backend::BackendSettings,
    experiments::{Bound, ExperimentSettings, Figures},
    fleet::{Caller, FleetSettings, NORTH_KEY, ServerGroup, TestFleet, basic_objects},
    fleet::{ReadyProbe, StartObjects},
    load::{LoadReport, LoadRequest, LoadSettings, run_load},
    usage::{ProcessUsage, load_average},
};

/// Largest difference of the 99th percentiles of latency through an entry host
/// and directly.
const ADDED_P99_MAX_MS: f64 = 1.8;

const RATE_PER_S: f64 = 300.0;
const STEADY_DURATION: Duration = Duration::from_secs(12);
const WARM_UP_DURATION: Duration = Duration::from_secs(2);
const SATURATED_DURATION: Duration = Duration::from_secs(6);
const SATURATED_CALLERS: usize = 32;
const SLOTS: u32 = 512;

/// Sends to the backend server directly and through an entry host at the same
/// time, then measures the CPU time of the host per request.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = open_fleet().await?;
    let through = fleet.hosts[0].addresses().front;
    let direct = fleet.servers[0].address();
    run_steady_load(through, WARM_UP_DURATION, settings.seed).await?;
    let before = ProcessUsage::of(fleet.hosts[0].pid())?;
    let (direct, through) = tokio::try_join!(
        run_steady_load(direct, STEADY_DURATION, settings.seed + 1),
        run_steady_load(through, STEADY_DURATION, settings.seed + 2),
    )?;
    let after = ProcessUsage::of(fleet.hosts[0].pid())?;
    let mut figures = Figures::default();
    let added = |quantile| through.total.latency_ms(quantile) - direct.total.latency_ms(quantile);
    figures.push(
        "direct_p50",
        direct.total.latency_ms(0.5),
        "ms",
        Bound::None,
    );
    figures.push(
        "direct_p99",
        direct.total.latency_ms(0.99),
        "ms",
        Bound::None,
    );
    figures.push("added_p50", added(0.5), "ms", Bound::None);
    figures.push(
        "added_p99",
        added(0.99),
        "ms",
        Bound::AtMost(ADDED_P99_MAX_MS),
    );
    let unserved = through.total.sent - through.total.served;
    figures.push("unserved", unserved as f64, "requests", Bound::AtMost(0.0));
    // Time that the host's threads waited for a core: it shows how busy the
    // machine is, not what the host costs.
    let run_delay_ms = (after.run_delay - before.run_delay).as_secs_f64() * 1000.0;
    let delay_per_request = run_delay_ms / through.total.sent.max(1) as f64;
    figures.push(
        "host_run_delay",
        delay_per_request,
        "ms/request",
        Bound::None,
    );
    figures.push("load_average", load_average(), "threads", Bound::None);
    measure_saturated(&fleet, &mut figures).await?;
    fleet.close().await;
    Ok(figures)
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    let zones = vec!["a".to_owned()];
    let mut objects = basic_objects(&zones);
    for service in &mut objects.services {
        service.slots = SLOTS;
        service.cold_slots = SLOTS;
    }
    for limit in &mut objects.limits {
        limit.rate_per_s = 1_000_000.0;
        limit.burst = 1_000_000.0;
    }
    TestFleet::open(FleetSettings {
        zones,
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            per_zone: 1,
            backend: BackendSettings {
                slots: SLOTS as usize,
                cold_slots: SLOTS as usize,
                ..Default::default()
            },
            ..Default::default()
        }],
        ready: Some(ReadyProbe::default()),
        ..Default::default()
    })
    .await
}

async fn run_steady_load(
    entry: SocketAddr,
    duration: Duration,
    seed: u64,
) -> Result<LoadReport, StandinError> {
    run_load(LoadSettings {
        entries: vec![entry],
        look_up: false,
        rate_per_s: RATE_PER_S,
        duration,
        requests: vec![LoadRequest::get("lookup", "/lookup/1", NORTH_KEY)],
        seed,
        ..Default::default()
    })
    .await
}

/// Sends as fast as the host answers, and measures its CPU time.
async fn measure_saturated(fleet: &TestFleet, figures: &mut Figures) -> Result<(), StandinError> {
    let caller = fleet.caller(0, NORTH_KEY)?;
    let pid = fleet.hosts[0].pid();
    let before = ProcessUsage::of(pid)?;
    let start = Instant::now();
    let callers = (0..SATURATED_CALLERS).map(|_| send_until(&caller, start + SATURATED_DURATION));
    let served: u64 = futures::future::join_all(callers).await.iter().sum();
    let cpu = ProcessUsage::of(pid)?.cpu - before.cpu;
    let requests_per_core = served as f64 / cpu.as_secs_f64();
    let rate = served as f64 / start.elapsed().as_secs_f64();
    figures.push("saturated_rate", rate, "requests/s", Bound::None);
    figures.push(
        "requests_per_core",
        requests_per_core,
        "requests/s",
        Bound::None,
    );
    Ok(())
}

async fn send_until(caller: &Caller, end: Instant) -> u64 {
    let mut served = 0;
    while Instant::now() < end {
        let answer = caller.get("/lookup/1").await;
        served += u64::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    served
}
