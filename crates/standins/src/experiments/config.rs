use std::time::{Duration, Instant};

use crate::{
    StandinError,
    experiments::{
        Bound, ExperimentSettings, Figures,
        host_pages::{HostEvent, HostPages},
    },
    fleet::{FleetSettings, TestFleet, basic_objects},
    platform::{OutageMode, PlatformFault, PlatformService},
};

const HOSTS_PER_ZONE: usize = 2;

/// Time for a new fleet to form its member set.
const SETTLE_DURATION: Duration = Duration::from_secs(6);
const PUBLISH_INTERVAL: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time from the acceptance of a version until it is in force on
/// every host.
const IN_FORCE_MAX_S: f64 = 9.0;

/// Publishes under platform faults and measures the time until each version
/// is in force on every host.
pub(crate) async fn run(_: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        hosts_per_zone: HOSTS_PER_ZONE,
        ..Default::default()
    })
    .await?;
    tokio::time::sleep(SETTLE_DURATION).await;
    let pages = HostPages::open()?;
    let mut figures = Figures::default();
    for (name, faults) in fault_rounds() {
        fleet.platform.set_faults(faults).await?;
        let delay = publish_and_wait(&fleet, &pages).await?;
        let bound = Bound::AtMost(IN_FORCE_MAX_S);
        figures.push(&format!("in_force_{name}"), delay.as_secs_f64(), "s", bound);
        tokio::time::sleep(PUBLISH_INTERVAL.saturating_sub(delay)).await;
    }
    fleet.platform.set_faults(Vec::new()).await?;
    let mut steps_back = 0;
    for host in &fleet.hosts {
        steps_back += count_steps_back(&pages.events(host).await?);
    }
    figures.push(
        "steps_back",
        f64::from(steps_back),
        "times",
        Bound::AtMost(0.0),
    );
    fleet.close().await;
    Ok(figures)
}

/// Returns a figure suffix and the platform faults of each publication.
fn fault_rounds() -> Vec<(&'static str, Vec<PlatformFault>)> {
    let away = |client: &str, part| PlatformFault {
        clients: vec![client.to_owned()],
        part,
        outage: Some(OutageMode::Hang),
        ..Default::default()
    };
    let lost = |client: &str| PlatformFault {
        clients: vec![client.to_owned()],
        lose_answer: true,
        ..Default::default()
    };
    vec![
        ("all_well", Vec::new()),
        (
            "objects_away_for_one",
            vec![away("a0", Some(PlatformService::Objects))],
        ),
        ("platform_away_for_one", vec![away("b1", None)]),
        ("answers_lost_for_one", vec![lost("c1")]),
        (
            "platform_away_for_a_zone",
            ["a0", "a1"].map(|name| away(name, None)).into(),
        ),
        ("well_again", Vec::new()),
    ]
}

/// Publishes once; returns the time from acceptance until the version is in
/// force on all hosts, or a time above the timeout if a host stays behind.
async fn publish_and_wait(fleet: &TestFleet, pages: &HostPages) -> Result<Duration, StandinError> {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let version = fleet.publish(&basic_objects(&zones)).await?;
    let accepted = Instant::now();
    let timeout = Duration::from_secs_f64(2.0 * IN_FORCE_MAX_S);
    while accepted.elapsed() < timeout {
        let mut behind = 0;
        for host in &fleet.hosts {
            let status = pages.status(host).await?;
            behind += u32::from(status.version < version);
        }
        if behind == 0 {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(accepted.elapsed())
}

/// Counts the events at which a host put a version in force that is not newer
/// than its previous one.
fn count_steps_back(events: &[HostEvent]) -> u32 {
    let in_force = events
        .iter()
        .filter(|event| event.name == "version-in-force");
    let versions: Vec<u64> = in_force
        .filter_map(|event| event.fields.get("version")?.parse().ok())
        .collect();
    let steps = versions.windows(2).filter(|pair| pair[1] <= pair[0]);
    u32::try_from(steps.count()).unwrap_or(u32::MAX)
}
