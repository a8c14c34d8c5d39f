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
const LOAD: Duration = Duration::from_secs(27);

/// Time for a new fleet to found its member set and hold everything.
const SETTLE: Duration = Duration::from_secs(7);
const BEFORE_OUTAGE: Duration = Duration::from_secs(3);

/// More than three leases.
const OUTAGE: Duration = Duration::from_secs(20);

/// Requests within rate that must be served while the store is away.
const SERVED_SHARE_PERCENT: f64 = 99.9;

/// Takes the whole platform away under load and brings it back.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        hosts_per_zone: HOSTS_PER_ZONE,
        ..Default::default()
    })
    .await?;
    tokio::time::sleep(SETTLE).await;
    let load = tokio::spawn(run_load(load_settings(&fleet, settings.seed)));
    let counts = count_platform(&fleet, BEFORE_OUTAGE).await?;
    let away = PlatformFault {
        outage: Some(OutageMode::Hang),
        ..Default::default()
    };
    fleet.platform.set_faults(vec![away]).await?;
    tokio::time::sleep(OUTAGE).await;
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
    figures.push("served", served, "%", Bound::AtLeast(SERVED_SHARE_PERCENT));
    let hosts = fleet.hosts.len() as f64;
    figures.push(
        "hosts_vouched",
        vouched as f64,
        "hosts",
        Bound::AtLeast(hosts),
    );
    figures.push("lapses", lapsed as f64, "times", Bound::AtMost(0.0));
    let per_host_s = hosts * BEFORE_OUTAGE.as_secs_f64();
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

/// Counts what all hosts ask of the platform in a span of quiet time.
async fn count_platform(fleet: &TestFleet, span: Duration) -> Result<ClientCounts, StandinError> {
    let clear = PlatformControl {
        clear_counts: true,
        ..Default::default()
    };
    fleet.platform.control(&clear).await?;
    tokio::time::sleep(span).await;
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
        duration: LOAD,
        requests: vec![
            request("lookup", reqwest::Method::GET, "/lookup/1", NORTH_KEY),
            request("book", reqwest::Method::POST, "/book/1", SOUTH_KEY),
        ],
        seed,
        ..Default::default()
    }
}
