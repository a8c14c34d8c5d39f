use std::time::Duration;

use standins::{
    fleet::{TestFleet, basic_objects},
    platform::{OutageMode, PlatformFault, PlatformService},
};

use crate::{
    open_fleet,
    rows::{TestResult, events, wait_events},
};

/// Longest time until an accepted version is in force on every host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

#[tokio::test]
async fn version_reaches_host_cut_off_from_object_store() -> TestResult {
    check_version_reaches_cut_off_host(Some(PlatformService::Objects)).await
}

#[tokio::test]
async fn version_reaches_host_cut_off_from_platform() -> TestResult {
    check_version_reaches_cut_off_host(None).await
}

async fn check_version_reaches_cut_off_host(part: Option<PlatformService>) -> TestResult {
    let fleet = open_fleet(Default::default()).await?;
    let fault = PlatformFault {
        clients: vec!["a0".to_owned()],
        part,
        outage: Some(OutageMode::Hang),
        ..Default::default()
    };
    fleet.platform.set_faults(vec![fault]).await?;
    publish_second_version(&fleet).await?;
    for host in &fleet.hosts {
        wait_events(host, "version-in-force", 2, IN_FORCE_LIMIT).await?;
    }
    let events = events(&fleet.hosts[0]).await;
    let in_force: Vec<_> = events
        .iter()
        .filter(|event| event.name == "version-in-force")
        .collect();
    let versions: Vec<&str> = in_force
        .iter()
        .map(|event| event.fields["version"].as_str())
        .collect();
    assert_eq!(versions, ["1", "2"]);
    assert_eq!(in_force[0].fields["from"], "object store");
    assert_ne!(
        in_force[1].fields["from"], "object store",
        "expected a peer to have relayed version 2"
    );
    fleet.close().await;
    Ok(())
}

async fn publish_second_version(fleet: &TestFleet) -> TestResult {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let version = fleet.publish(&basic_objects(&zones)).await?;
    assert_eq!(version, 2);
    Ok(())
}
