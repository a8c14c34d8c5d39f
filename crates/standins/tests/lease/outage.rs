use std::time::Duration;

use standins::{
    fleet::{NORTH_KEY, TestFleet, wait_until},
    platform::{OutageMode, PlatformFault},
};

use crate::{
    open_fleet,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, count_events, events, wait_events, wait_rows},
};

/// Longest time from the start of a store outage until peers vouch for a host:
/// the duration of the lease.
const VOUCHED_LIMIT: Duration = Duration::from_secs(12);

#[tokio::test]
async fn hosts_vouch_for_each_other_during_store_outage() -> TestResult {
    let fleet = open_fleet(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.platform.set_faults(vec![outage(&[])]).await?;
    for host in &fleet.hosts {
        wait_events(host, "lease-vouched", 1, VOUCHED_LIMIT).await?;
    }
    // Twice the duration of the lease, so that peers must renew their vouching.
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
async fn lease_of_host_cut_off_from_store_lapses_before_takeover() -> TestResult {
    check_lapse_before_takeover(outage(&["a0"])).await
}

#[tokio::test]
async fn lease_of_host_with_lost_answers_lapses_before_takeover() -> TestResult {
    let fault = PlatformFault {
        clients: vec!["a0".to_owned()],
        lose_answer: true,
        ..Default::default()
    };
    check_lapse_before_takeover(fault).await
}

async fn check_lapse_before_takeover(fault: PlatformFault) -> TestResult {
    let fleet = open_fleet(Default::default()).await?;
    fleet.platform.set_faults(vec![fault]).await?;
    wait_rows(&fleet, "peers take over from a0", TAKEOVER_LIMIT, |rows| {
        rows.held_by("a0") == 0
    })
    .await?;
    wait_events(&fleet.hosts[0], "lease-lapsed", 1, Duration::from_secs(2)).await?;
    let lapsed_us = first_event_us(&fleet, 0, "lease-lapsed").await;
    for taker in 1..fleet.hosts.len() {
        let taken_us = first_event_us(&fleet, taker, "takeover").await;
        assert!(
            taken_us > lapsed_us,
            "expected takeover by host {taker} after the lapse, was {} us before",
            lapsed_us - taken_us
        );
    }
    // The two other hosts reach the store and keep their own leases.
    for host in &fleet.hosts[1..] {
        assert_eq!(
            count_events(host, "lease-lapsed").await,
            0,
            "{}",
            host.name()
        );
    }
    fleet.platform.set_faults(Vec::new()).await?;
    wait_rows(&fleet, "a0 holds resources again", TAKEOVER_LIMIT, |rows| {
        rows.is_whole(3) && rows.held_by("a0") > 0
    })
    .await?;
    fleet.close().await;
    Ok(())
}

/// Returns when a host first recorded an event, in microseconds since 1970, or
/// `i64::MAX` if it never did. All hosts share one clock here.
async fn first_event_us(fleet: &TestFleet, host: usize, name: &str) -> i64 {
    let events = events(&fleet.hosts[host]).await;
    let found = events.iter().find(|event| event.name == name);
    found.map_or(i64::MAX, |event| event.wall_us)
}

#[tokio::test]
async fn host_cut_off_from_store_stays_fresh_through_peers() -> TestResult {
    let fleet = open_fleet(Default::default()).await?;
    fleet.platform.set_faults(vec![outage(&["a0"])]).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    // Twice the time for which a host stays fresh after it has read the head.
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
async fn host_started_during_store_outage_serves() -> TestResult {
    let mut fleet = open_fleet(Default::default()).await?;
    fleet.platform.set_faults(vec![outage(&[])]).await?;
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
    wait_until(
        "new host serves requests",
        Duration::from_secs(15),
        || async { matches!(caller.get("/lookup/7").await, Ok(answer) if answer.status == 200) },
    )
    .await?;
    assert_eq!(count_events(&fleet.hosts[3], "lease-held").await, 0);
    fleet.close().await;
    Ok(())
}

/// Returns a fault with which the platform does not answer the given clients,
/// or any client if none is given.
fn outage(clients: &[&str]) -> PlatformFault {
    PlatformFault {
        clients: clients.iter().map(|name| (*name).to_owned()).collect(),
        outage: Some(OutageMode::Hang),
        ..Default::default()
    }
}
