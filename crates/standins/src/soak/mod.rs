//! A randomized soak test: runs entry hosts as processes and injects external
//! faults, in series and concurrently, while callers send requests.
//!
//! The faults are drawn from a seed. At the end, the records of callers and
//! backend servers are checked against the guarantees of the system. Timing
//! differs between runs, so a seed that failed once may pass the next time; the
//! records of a failed run are therefore kept.

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
    /// Seed of the faults, the callers' requests and the backend servers.
    pub seed: u64,
    /// Period in which faults begin.
    pub duration: Duration,
    /// Entry hosts in each of three availability zones.
    pub hosts_per_zone: usize,
    /// Backend servers of the first service in each zone; the second service has
    /// half as many, rounded up.
    pub servers_per_zone: usize,
    /// Number of callers, each with its own connection.
    pub callers: usize,
    /// Base of the drawn interval between two faults: 30 % of the intervals are
    /// shorter than 80 ms, all others are 0.3 to 2.2 times this time.
    pub fault_interval: Duration,
    /// Folder to which logs and records are written if a guarantee was violated.
    pub records_folder: Option<PathBuf>,
}

impl Default for SoakSettings {
    fn default() -> Self {
        SoakSettings {
            seed: 1,
            duration: Duration::from_secs(14),
            hosts_per_zone: 2,
            servers_per_zone: 3,
            callers: 24,
            fault_interval: Duration::from_millis(700),
            records_folder: None,
        }
    }
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Number of scheduled faults.
    pub faults: usize,
    /// Violations of the guarantees, in the order of the checks.
    pub violations: Vec<GuaranteeViolation>,
    /// Folder with logs and records, if any were written.
    pub kept_records: Option<PathBuf>,
}

/// Fault-free period at the end, over which the share of served requests is
/// measured.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Time from the end of the last fault until the hosts must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time for requests that are still in flight when the callers have stopped.
const ANSWER_WAIT: Duration = Duration::from_millis(2_500);

/// The services of a soak: one with lookups and bookings, one with refunds.
pub(crate) const SERVICES: [&str; 2] = ["ledger", "refunds"];

/// Runs one soak.
///
/// # Errors
///
/// Fails when the fleet cannot be started. Violations of guarantees are not
/// errors; they are listed in the report.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakReport, StandinError> {
    let configuration = traffic::initial_configuration();
    let mut fleet = open_fleet(settings, &configuration).await?;
    let records = SoakRecords::open();
    let faults = schedule::draw_events(settings);
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
    runner.end_all().await?;
    let faults_ended = Instant::now();
    tokio::time::sleep(RECOVERY_TIME + FAULT_FREE_TIME).await;
    callers.close().await;
    tokio::time::sleep(ANSWER_WAIT).await;
    let fault_free = faults_ended + RECOVERY_TIME..faults_ended + RECOVERY_TIME + FAULT_FREE_TIME;
    let checked = checks::check(&records, &fleet, fault_free);
    let violations = checked.violations;
    let kept_records = match (&settings.records_folder, violations.is_empty()) {
        (Some(folder), false) => Some(save_records(folder, settings.seed, &mut fleet, &records)?),
        _ => None,
    };
    fleet.close();
    Ok(SoakReport {
        requests: checked.requests,
        served: checked.served,
        faults: faults.len(),
        violations,
        kept_records,
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

/// Copies the hosts' logs into a folder and writes the records next to them.
fn save_records(
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
