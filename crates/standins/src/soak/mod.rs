//! A randomized soak: real entry hosts under faults that come from outside of
//! them, in series and together, while callers go on.
//!
//! A seed draws the faults. What callers and backend servers saw is checked
//! against the promises at the end. Times differ from run to run, so that a
//! seed that failed may pass; its records are kept for that reason.

mod checks;
mod faults;
mod records;
mod schedule;
mod traffic;

use std::{path::PathBuf, time::Duration};

use tokio::time::Instant;

use crate::{
    StandinError,
    entry_fleet::{EntryConfiguration, EntryFleet, EntryFleetSettings, EntryServerGroup},
    soak::{faults::FaultRunner, records::SoakRecords, traffic::TrafficSettings},
};

pub use self::{checks::GuaranteeViolation, schedule::SoakFault};

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Draws the faults.
    pub seed: u64,
    /// Time in which faults begin.
    pub duration: Duration,
    /// Entry hosts in each of three availability zones.
    pub hosts_per_zone: usize,
    /// Backend servers of each service in each zone.
    pub servers_per_zone: usize,
    /// Callers, each with a connection of its own.
    pub callers: usize,
    /// Mean time between two faults.
    pub fault_pause: Duration,
    /// Where records of a broken promise are kept.
    pub keep: Option<PathBuf>,
}

impl Default for SoakSettings {
    fn default() -> Self {
        SoakSettings {
            seed: 1,
            duration: Duration::from_secs(14),
            hosts_per_zone: 2,
            servers_per_zone: 3,
            callers: 24,
            fault_pause: Duration::from_millis(700),
            keep: None,
        }
    }
}

/// What a soak saw.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that were served.
    pub served: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Promises that did not hold.
    pub broken: Vec<GuaranteeViolation>,
    /// Folder with logs and records, if they were kept.
    pub kept: Option<PathBuf>,
}

/// Time without faults at the end, over which service is measured.
const CALM: Duration = Duration::from_secs(3);

/// Time from the last fault's end until the hosts must serve as before.
const RECOVERY: Duration = Duration::from_secs(4);

/// Time for answers that are still under way when the callers stop.
const SETTLING: Duration = Duration::from_millis(2_500);

/// The services of a soak: one with lookups and bookings, one with refunds.
pub(crate) const SERVICES: [&str; 2] = ["ledger", "refunds"];

/// Runs one soak.
///
/// # Errors
///
/// Fails when the fleet cannot be started; broken promises stand in the
/// report.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakReport, StandinError> {
    let configuration = traffic::first_configuration();
    let mut fleet = open_fleet(settings, &configuration).await?;
    let records = SoakRecords::open();
    let faults = schedule::draw(settings);
    let traffic = TrafficSettings {
        callers: settings.callers,
        seed: settings.seed,
        hosts: fleet
            .hosts
            .iter()
            .map(|h| (h.zone().to_owned(), *h.addresses()))
            .collect(),
    };
    let callers = traffic::start(&traffic, &records);
    let mut runner = FaultRunner::open(&mut fleet, &records, configuration);
    runner.run(&faults).await?;
    runner.heal().await?;
    let healed = Instant::now();
    tokio::time::sleep(RECOVERY + CALM).await;
    callers.close().await;
    tokio::time::sleep(SETTLING).await;
    let calm = healed + RECOVERY..healed + RECOVERY + CALM;
    let checked = checks::check(&records, &fleet, calm);
    let broken = checked.broken;
    let kept = match (&settings.keep, broken.is_empty()) {
        (Some(folder), false) => Some(keep(folder, settings.seed, &mut fleet, &records)?),
        _ => None,
    };
    fleet.close();
    Ok(SoakReport {
        requests: checked.requests,
        served: checked.served,
        faults: faults.len(),
        broken,
        kept,
    })
}

async fn open_fleet(
    settings: &SoakSettings,
    configuration: &EntryConfiguration,
) -> Result<EntryFleet, StandinError> {
    let group = |service: &str, per_zone| EntryServerGroup {
        service: service.to_owned(),
        per_zone,
    };
    EntryFleet::open(EntryFleetSettings {
        hosts_per_zone: settings.hosts_per_zone,
        servers: vec![
            group(SERVICES[0], settings.servers_per_zone),
            group(SERVICES[1], settings.servers_per_zone.div_ceil(2)),
        ],
        work: Duration::from_millis(30),
        configuration: configuration.clone(),
        seed: settings.seed,
        ..Default::default()
    })
    .await
}

/// Keeps the hosts' logs and writes what was recorded beside them.
fn keep(
    folder: &std::path::Path,
    seed: u64,
    fleet: &mut EntryFleet,
    records: &SoakRecords,
) -> Result<PathBuf, StandinError> {
    let target = folder.join(format!("seed-{seed}-{}", std::process::id()));
    let failed = |err: std::io::Error| StandinError::new("keep records", target.display(), err);
    std::fs::create_dir_all(&target).map_err(failed)?;
    for entry in std::fs::read_dir(fleet.directory()).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if let Some(name) = path.file_name() {
            std::fs::copy(&path, target.join(name)).map_err(failed)?;
        }
    }
    std::fs::write(target.join("records.txt"), records.to_text(&fleet.log)).map_err(failed)?;
    Ok(target)
}
