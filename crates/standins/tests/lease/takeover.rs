use std::time::Duration;

use standins::fleet::{FleetSettings, ProcessSignal};

use crate::{
    open_three,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, count_events, events, wait_events, wait_rows},
};

#[tokio::test]
async fn a_killed_host_is_taken_over_and_returns_under_its_address() -> TestResult {
    let mut fleet = open_three(Default::default()).await?;
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
async fn a_host_restarted_at_once_does_not_act_by_its_old_lease() -> TestResult {
    let mut fleet = open_three(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].restart().await?;
    let old_incarnation = before.hosts["a0"].incarnation;
    wait_rows(&fleet, "whole again", TAKEOVER_LIMIT, |rows| {
        let row = rows.hosts.get("a0");
        let is_new = row.is_some_and(|row| row.incarnation != old_incarnation);
        is_new && rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    let after = FleetRows::read(&fleet).await;
    for (resource, entry) in &after.holders {
        let old = &before.holders[resource];
        if old.host == "a0" {
            assert!(entry.epoch > old.epoch, "{resource} kept its epoch");
        }
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_frozen_host_wakes_without_standing() -> TestResult {
    let mut fleet = open_three(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].signal(ProcessSignal::Stop);
    wait_rows(&fleet, "taken over", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    fleet.hosts[0].signal(ProcessSignal::Continue);
    wait_events(&fleet.hosts[0], "lease-held", 2, TAKEOVER_LIMIT).await?;
    let standing: Vec<String> = events(&fleet.hosts[0])
        .await
        .into_iter()
        .map(|event| event.name)
        .filter(|name| name.starts_with("lease-"))
        .collect();
    assert_eq!(standing, ["lease-held", "lease-lapsed", "lease-held"]);
    let after = FleetRows::read(&fleet).await;
    assert_eq!(
        after.hosts["a0"].incarnation,
        before.hosts["a0"].incarnation
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_hands_everything_over() -> TestResult {
    let settings = FleetSettings {
        host_settings: serde_json::json!({ "lookup_keep_ms": 500 }),
        ..Default::default()
    };
    let mut fleet = open_three(settings).await?;
    fleet.hosts[0].signal(ProcessSignal::Terminate);
    let status = fleet.hosts[0].wait(Duration::from_secs(20)).await?;
    assert!(status.success(), "{status}");
    let rows = FleetRows::read(&fleet).await;
    assert!(!rows.hosts.contains_key("a0"), "the row is gone");
    assert!(!rows.members.contains("a0"), "the member set is without it");
    assert_eq!(rows.held_by("a0"), 0);
    assert!(rows.holders.values().all(|entry| !entry.host.is_empty()));
    for host in &fleet.hosts[1..] {
        assert_eq!(count_events(host, "takeover").await, 0, "{}", host.name());
    }
    fleet.close().await;
    Ok(())
}
