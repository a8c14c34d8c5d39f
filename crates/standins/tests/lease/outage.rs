use std::time::Duration;

use standins::{
    fleet::{NORTH_KEY, TestFleet, wait_until},
    platform::{OutageMode, PlatformFault},
};

use crate::{
    open_three,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, count_events, events, wait_events, wait_rows},
};

/// Longest time from the loss of the store to being vouched for: the lease.
const VOUCHED_LIMIT: Duration = Duration::from_secs(12);

#[tokio::test]
async fn hosts_vouch_for_each_other_while_the_store_is_away() -> TestResult {
    let fleet = open_three(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.platform.set_faults(vec![away(&[])]).await?;
    for host in &fleet.hosts {
        wait_events(host, "lease-vouched", 1, VOUCHED_LIMIT).await?;
    }
    // Twice the lease, so that vouching must have been renewed.
    let caller = fleet.caller(0, NORTH_KEY)?;
    let end = tokio::time::Instant::now() + Duration::from_secs(13);
    while tokio::time::Instant::now() < end {
        let answer = caller.get("/lookup/7").await?;
        assert_eq!(answer.status, 200, "{:?}", answer.reason);
    }
    for host in &fleet.hosts {
        assert_eq!(
            count_events(host, "lease-lapsed").await,
            0,
            "{}",
            host.name()
        );
    }
    fleet.platform.set_faults(Vec::new()).await?;
    for host in &fleet.hosts {
        wait_events(host, "lease-held", 2, VOUCHED_LIMIT).await?;
    }
    assert_eq!(FleetRows::read(&fleet).await.holders, before.holders);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_host_without_the_store_lapses_before_it_is_taken_over() -> TestResult {
    lapses_before_takeover(away(&["a0"])).await
}

#[tokio::test]
async fn a_host_whose_answers_are_lost_lapses_before_it_is_taken_over() -> TestResult {
    let fault = PlatformFault {
        clients: vec!["a0".to_owned()],
        lose_answer: true,
        ..Default::default()
    };
    lapses_before_takeover(fault).await
}

async fn lapses_before_takeover(fault: PlatformFault) -> TestResult {
    let fleet = open_three(Default::default()).await?;
    fleet.platform.set_faults(vec![fault]).await?;
    wait_rows(&fleet, "taken over", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    wait_events(&fleet.hosts[0], "lease-lapsed", 1, Duration::from_secs(2)).await?;
    let lapsed = first_at(&fleet, 0, "lease-lapsed").await;
    for taker in 1..fleet.hosts.len() {
        let taken = first_at(&fleet, taker, "takeover").await;
        assert!(
            taken > lapsed,
            "host {taker} took over {} us early",
            lapsed - taken
        );
    }
    // The two others are well, so they go on by their own leases.
    for host in &fleet.hosts[1..] {
        assert_eq!(
            count_events(host, "lease-lapsed").await,
            0,
            "{}",
            host.name()
        );
    }
    fleet.platform.set_faults(Vec::new()).await?;
    wait_rows(&fleet, "whole again", TAKEOVER_LIMIT, |rows| {
        rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    fleet.close().await;
    Ok(())
}

/// When a host first recorded an event, in microseconds since 1970, all
/// hosts having one clock here; far in the future if it never did.
async fn first_at(fleet: &TestFleet, host: usize, name: &str) -> i64 {
    let events = events(&fleet.hosts[host]).await;
    let found = events.iter().find(|event| event.name == name);
    found.map_or(i64::MAX, |event| event.wall_us)
}

#[tokio::test]
async fn a_host_without_the_store_stays_fresh_by_its_peers() -> TestResult {
    let fleet = open_three(Default::default()).await?;
    fleet.platform.set_faults(vec![away(&["a0"])]).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    // Twice the time for which a head keeps its reader fresh.
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    while tokio::time::Instant::now() < end {
        let answer = caller.get("/lookup/7").await?;
        assert_ne!(answer.reason.as_deref(), Some("host-not-fresh"));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_host_that_starts_without_the_store_serves() -> TestResult {
    let mut fleet = open_three(Default::default()).await?;
    fleet.platform.set_faults(vec![away(&[])]).await?;
    for host in &fleet.hosts {
        wait_events(host, "lease-vouched", 1, VOUCHED_LIMIT).await?;
    }
    let seeds: Vec<String> = fleet.hosts[1..]
        .iter()
        .map(|host| host.addresses().peer.to_string())
        .collect();
    fleet.extend_host_settings(&serde_json::json!({ "seeds": seeds }));
    fleet.start_host("a", "a1").await?;
    let caller = fleet.caller(3, NORTH_KEY)?;
    wait_until("new host serves", Duration::from_secs(15), || async {
        matches!(caller.get("/lookup/7").await, Ok(answer) if answer.status == 200)
    })
    .await?;
    assert_eq!(count_events(&fleet.hosts[3], "lease-held").await, 0);
    fleet.close().await;
    Ok(())
}

/// The whole platform never answers some clients; nobody when none is named.
fn away(clients: &[&str]) -> PlatformFault {
    PlatformFault {
        clients: clients.iter().map(|name| (*name).to_owned()).collect(),
        outage: Some(OutageMode::Hang),
        ..Default::default()
    }
}
