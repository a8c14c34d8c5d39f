use std::time::Duration;

use standins::fleet::{FleetSettings, ProcessSignal};

use crate::{
    open_fleet,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, count_events, events, wait_events, wait_rows},
};

#[tokio::test]
async fn killed_host_is_taken_over_and_rejoins_after_restart() -> TestResult {
    let mut fleet = open_fleet(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    assert!(before.held_by("a0") > 0);
    fleet.hosts[0].signal(ProcessSignal::Kill);
    wait_rows(&fleet, "peers take over from a0", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    let taken = FleetRows::read(&fleet).await;
    for (resource, entry) in &taken.holders {
        let old = &before.holders[resource];
        let has_moved = old.host != entry.host;
        assert_eq!(entry.epoch, old.epoch + u64::from(has_moved), "{resource}");
    }
    fleet.hosts[0].restart().await?;
    wait_rows(&fleet, "a0 holds resources again", TAKEOVER_LIMIT, |rows| {
        rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn immediately_restarted_host_does_not_use_its_old_lease() -> TestResult {
    let mut fleet = open_fleet(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].restart().await?;
    let old_incarnation = before.hosts["a0"].incarnation;
    wait_rows(&fleet, "a0 holds resources again", TAKEOVER_LIMIT, |rows| {
        let row = rows.hosts.get("a0");
        let is_new = row.is_some_and(|row| row.incarnation != old_incarnation);
        is_new && rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    let after = FleetRows::read(&fleet).await;
    for (resource, entry) in &after.holders {
        let old = &before.holders[resource];
        if old.host == "a0" {
            assert!(
                entry.epoch > old.epoch,
                "expected a higher epoch of {resource} after the restart"
            );
        }
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn frozen_host_has_no_lease_when_it_resumes() -> TestResult {
    let mut fleet = open_fleet(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].signal(ProcessSignal::Stop);
    wait_rows(&fleet, "peers take over from a0", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    fleet.hosts[0].signal(ProcessSignal::Continue);
    wait_events(&fleet.hosts[0], "lease-held", 2, TAKEOVER_LIMIT).await?;
    let lease_events: Vec<String> = events(&fleet.hosts[0])
        .await
        .into_iter()
        .map(|event| event.name)
        .filter(|name| name.starts_with("lease-"))
        .collect();
    assert_eq!(lease_events, ["lease-held", "lease-lapsed", "lease-held"]);
    let after = FleetRows::read(&fleet).await;
    assert_eq!(
        after.hosts["a0"].incarnation,
        before.hosts["a0"].incarnation
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn graceful_shutdown_hands_over_all_resources() -> TestResult {
    let settings = FleetSettings {
        host_settings: serde_json::json!({ "lookup_keep_ms": 500 }),
        ..Default::default()
    };
    let mut fleet = open_fleet(settings).await?;
    fleet.hosts[0].signal(ProcessSignal::Terminate);
    let status = fleet.hosts[0].wait(Duration::from_secs(20)).await?;
    assert!(status.success(), "{status}");
    let rows = FleetRows::read(&fleet).await;
    assert!(
        !rows.hosts.contains_key("a0"),
        "expected the row of a0 to be deleted"
    );
    assert!(
        !rows.members.contains("a0"),
        "expected the member set without a0"
    );
    assert_eq!(rows.held_by("a0"), 0);
    assert!(rows.holders.values().all(|entry| !entry.host.is_empty()));
    for host in &fleet.hosts[1..] {
        assert_eq!(count_events(host, "takeover").await, 0, "{}", host.name());
    }
    fleet.close().await;
    Ok(())
}
