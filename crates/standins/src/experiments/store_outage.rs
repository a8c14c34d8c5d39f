use std::time::Duration;

use crate::{
    StandinError,
    experiments::{Bound, ExperimentSettings, Figures, host_pages::HostPages},
    fleet::{FleetSettings, NORTH_KEY, SOUTH_KEY, TestFleet},
    load::{LoadRequest, LoadSettings, run_load},
    platform::{AwayMode, PlatformFault},
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
    tokio::time::sleep(BEFORE_OUTAGE).await;
    let away = PlatformFault {
        away: Some(AwayMode::Hang),
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
    fleet.close().await;
    Ok(figures)
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
