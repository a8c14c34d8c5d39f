use std::time::Duration;

use crate::{
    StandinError,
    experiments::{Bound, ExperimentSettings, Figures, host_pages::HostPages},
    fleet::{FleetSettings, NORTH_KEY, SOUTH_KEY, TestFleet},
    load::{LoadRequest, LoadSettings, run_load},
    platform::{ClientCounts, OutageMode, PlatformControl, PlatformFault},
};

const HOSTS_PER_ZONE: usize = 2;
const RATE_PER_S: f64 = 100.0;
const LOAD_DURATION: Duration = Duration::from_secs(27);

/// Time for a new fleet to form its member set and take all leases.
const SETTLE_DURATION: Duration = Duration::from_secs(7);
const BASELINE_DURATION: Duration = Duration::from_secs(3);

/// Longer than three lease durations, so that leases would lapse without
/// vouching.
const OUTAGE_DURATION: Duration = Duration::from_secs(20);

/// Least share of requests within rate that must be served, including the
/// time without the store.
const SERVED_MIN_PERCENT: f64 = 99.9;

/// Makes the whole platform unavailable under load and then available again.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        hosts_per_zone: HOSTS_PER_ZONE,
        ..Default::default()
    })
    .await?;
    tokio::time::sleep(SETTLE_DURATION).await;
    let load = tokio::spawn(run_load(load_settings(&fleet, settings.seed)));
    let counts = count_platform(&fleet, BASELINE_DURATION).await?;
    let outage = PlatformFault {
        outage: Some(OutageMode::Hang),
        ..Default::default()
    };
    fleet.platform.set_faults(vec![outage]).await?;
    tokio::time::sleep(OUTAGE_DURATION).await;
    fleet.platform.set_faults(Vec::new()).await?;
    let report = load
        .await
        .map_err(|err| StandinError::new("await load", "load caller", err))??;
    eprintln!("reasons: {}", report.reasons_line());
    let pages = HostPages::open()?;
    let (mut vouched, mut lapsed) = (0, 0);
    for host in &fleet.hosts {
        let events = pages.events(host).await?;
        let count = |name: &str| events.iter().filter(|event| event.name == name).count();
        vouched += usize::from(count("lease-vouched") > 0);
        lapsed += count("lease-lapsed");
    }
    let mut figures = Figures::default();
    let total = &report.total;
    figures.push("sent", total.sent as f64, "requests", Bound::None);
    let served = total.served_share() * 100.0;
    figures.push("served", served, "%", Bound::AtLeast(SERVED_MIN_PERCENT));
    let hosts = fleet.hosts.len() as f64;
    figures.push(
        "hosts_vouched",
        vouched as f64,
        "hosts",
        Bound::AtLeast(hosts),
    );
    figures.push("lapses", lapsed as f64, "times", Bound::AtMost(0.0));
    let per_host_s = hosts * BASELINE_DURATION.as_secs_f64();
    let mut rate = |name, count: u64, unit| {
        figures.push(name, count as f64 / per_host_s, unit, Bound::None);
    };
    rate("writes_a_host", counts.row_writes, "rows/s");
    rate("reads_a_host", counts.row_reads, "rows/s");
    rate("transactions_a_host", counts.transactions, "calls/s");
    rate("read_bytes_a_host", counts.row_read_bytes, "B/s");
    fleet.close().await;
    Ok(figures)
}

/// Counts the platform requests of all hosts over a period without faults.
async fn count_platform(fleet: &TestFleet, period: Duration) -> Result<ClientCounts, StandinError> {
    let clear = PlatformControl {
        clear_counts: true,
        ..Default::default()
    };
    fleet.platform.control(&clear).await?;
    tokio::time::sleep(period).await;
    Ok(fleet.platform.counts().await?.total())
}

fn load_settings(fleet: &TestFleet, seed: u64) -> LoadSettings {
    let request = |name: &str, method, path: &str, key: &str| LoadRequest {
        name: name.to_owned(),
        method,
        path: path.to_owned(),
        key: key.to_owned(),
        ..Default::default()
    };
    let hosts = fleet.hosts.iter();
    LoadSettings {
        entries: hosts.map(|host| host.addresses().front).collect(),
        rate_per_s: RATE_PER_S,
        duration: LOAD_DURATION,
        requests: vec![
            request("lookup", reqwest::Method::GET, "/lookup/1", NORTH_KEY),
            request("book", reqwest::Method::POST, "/book/1", SOUTH_KEY),
        ],
        seed,
        ..Default::default()
    }
}
