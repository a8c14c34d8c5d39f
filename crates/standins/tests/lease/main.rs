//! The host lease between real processes: standing, takeover, leaving.

mod rows;

use std::time::Duration;

use standins::{
    StandinError,
    fleet::{FleetSettings, NORTH_KEY, ProcessSignal, TestFleet, wait_until},
    platform::{AwayMode, PlatformFault},
};

use crate::rows::{FleetRows, TestResult, standing_changes, wait_rows};

/// Longest time for a fleet to found its member set and hold everything.
const FOUNDING_LIMIT: Duration = Duration::from_secs(20);

/// Longest time to take over what a lapsed host held: the lease, the drift,
/// the margin and three readings, on a busy machine twice that.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_killed_host_is_taken_over_and_returns_under_its_address() -> TestResult {
    let mut fleet = open_three().await?;
    let before = FleetRows::read(&fleet).await;
    assert!(before.held_by("a0") > 0);
    fleet.hosts[0].signal(ProcessSignal::Kill);
    wait_rows(&fleet, "taken over", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    let taken = FleetRows::read(&fleet).await;
    for (resource, entry) in &taken.holders {
        let old = &before.holders[resource];
        let moved = old.host != entry.host;
        assert_eq!(entry.epoch, old.epoch + u64::from(moved), "{resource}");
    }
    fleet.hosts[0].restart().await?;
    wait_rows(&fleet, "whole again", TAKEOVER_LIMIT, |rows| {
        rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn hosts_vouch_for_each_other_while_the_store_is_away() -> TestResult {
    let fleet = open_three().await?;
    let before = FleetRows::read(&fleet).await;
    fleet.platform.set_faults(vec![away()]).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    for host in &fleet.hosts {
        let what = format!("{} vouched", host.name());
        wait_until(&what, Duration::from_secs(12), || async {
            standing_changes(&fleet, host, "lease-vouched") > 0
        })
        .await?;
    }
    // Several leases long, so that vouching must have been renewed.
    let end = tokio::time::Instant::now() + Duration::from_secs(14);
    let mut served = 0;
    while tokio::time::Instant::now() < end {
        let answer = caller.get("/lookup/7").await?;
        assert_eq!(answer.status, 200, "after {served}: {:?}", answer.reason);
        served += 1;
    }
    for host in &fleet.hosts {
        assert_eq!(
            standing_changes(&fleet, host, "lease-lapsed"),
            0,
            "{}",
            host.name()
        );
    }
    fleet.platform.set_faults(Vec::new()).await?;
    for host in &fleet.hosts {
        let what = format!("{} held again", host.name());
        wait_until(&what, Duration::from_secs(10), || async {
            standing_changes(&fleet, host, "lease-held") > 1
        })
        .await?;
    }
    assert_eq!(FleetRows::read(&fleet).await.holders, before.holders);
    fleet.close().await;
    Ok(())
}

/// The whole platform never answers anybody.
fn away() -> PlatformFault {
    PlatformFault {
        away: Some(AwayMode::Hang),
        ..Default::default()
    }
}

async fn open_three() -> Result<TestFleet, Box<dyn std::error::Error>> {
    let opened: Result<TestFleet, StandinError> = TestFleet::open(FleetSettings::default()).await;
    let fleet = opened?;
    wait_rows(&fleet, "founded", FOUNDING_LIMIT, |rows| rows.is_whole(3)).await?;
    Ok(fleet)
}
