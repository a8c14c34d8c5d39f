//! Servers in cold start, of which hosts do not learn from the store.

use std::time::Duration;

use {
    standins::{
        StoreMode,
        entry_fleet::{EntryConfiguration, EntryFleet, EntryFleetSettings, EntryServerGroup},
        fleet::ProcessSignal,
    },
    tokio::time::{Instant, sleep},
};

use crate::{REQUEST_INTERVAL, arrivals_at, open_fleet_with, send_requests, send_requests_to};

/// Requests per second that a server can handle in cold start.
const COLD_RATE_PER_S: f64 = 1.0;

/// Duration of a cold start.
const COLD_TIME: Duration = Duration::from_secs(4);

/// Time within which a changed entry must be in force on all hosts, as agreed
/// with the operators.
const ENTRY_DELAY: Duration = Duration::from_secs(2);

/// Time without contact after which a host must not rely on its entries.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Opens a zone of eight hosts, three of which follow the store, and of three
/// servers.
async fn open_zone() -> EntryFleet {
    let settings = EntryFleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 8,
        servers: vec![EntryServerGroup {
            service: "ledger".to_owned(),
            per_zone: 3,
        }],
        configuration: EntryConfiguration {
            cold_rate_per_s: Some(COLD_RATE_PER_S),
            cold_time: COLD_TIME,
            ..Default::default()
        },
        ..Default::default()
    };
    let fleet = open_fleet_with(settings).await;
    send_requests(&fleet, "before", Duration::from_secs(2)).await;
    fleet
}

/// Asserts that the first server got no more requests in any second of its cold
/// start than it can handle, by the operators' bound: 1.5 times the rate plus
/// five.
fn assert_spared(fleet: &EntryFleet, from: Instant, to: Instant) {
    let arrivals = arrivals_at(fleet, &fleet.servers[0].id);
    let cold: Vec<Instant> = arrivals
        .into_iter()
        .filter(|at| (from..to).contains(at))
        .collect();
    let counts = cold.iter().enumerate().map(|(index, start)| {
        let within = cold[index..].iter();
        within
            .take_while(|at| **at - *start < Duration::from_secs(1))
            .count()
    });
    let most = counts.max().unwrap_or_default();
    let allowed = (COLD_RATE_PER_S * 1.5 + 5.0).floor();
    assert!(
        most as f64 <= allowed,
        "{most} requests in a second, {allowed} allowed"
    );
}

/// Only the hosts that follow the store learned that a server had turned cold:
/// the digest by which hosts compare their copies left the warm-up time out.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_turns_cold_reaches_all_hosts() {
    let fleet = open_zone().await;
    fleet.write_cold_entry(0, "ready", COLD_TIME + ENTRY_DELAY);
    let written = Instant::now();
    send_requests(&fleet, "after", COLD_TIME + ENTRY_DELAY).await;
    let end = written + COLD_TIME + ENTRY_DELAY - REQUEST_INTERVAL;
    assert_spared(&fleet, written + ENTRY_DELAY, end);
    fleet.close();
}

/// A server turned cold again before its next heartbeat, with the same time left:
/// most hosts counted its cold start from the first entry.
#[tokio::test(flavor = "multi_thread")]
async fn cold_start_that_begins_again_reaches_all_hosts() {
    let fleet = open_zone().await;
    fleet.write_cold_entry(0, "ready", COLD_TIME);
    send_requests(&fleet, "first", ENTRY_DELAY).await;
    fleet.write_cold_entry(0, "ready", COLD_TIME);
    let again = Instant::now();
    send_requests(&fleet, "again", COLD_TIME).await;
    assert_spared(&fleet, again, again + COLD_TIME - REQUEST_INTERVAL);
    fleet.close();
}

/// The store is away: hosts went on with the entries that they had, while a
/// server had turned cold and said so in its health answers.
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_is_spared_while_the_store_is_away() {
    let fleet = open_zone().await;
    fleet.store.set_mode(StoreMode::Refuses(503));
    send_requests(&fleet, "away", CONTACT_TIME + Duration::from_secs(1)).await;
    fleet.turn_cold(0, COLD_TIME);
    let turned = Instant::now();
    let served = send_requests(&fleet, "cold", COLD_TIME).await;
    // A host relies on an answer of the server for one second.
    assert_spared(&fleet, turned + Duration::from_secs(1), turned + COLD_TIME);
    assert!(served > 200, "the other servers serve: {served}");
    fleet.close();
}

/// A server crashed and came back cold under its id while the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_restarts_is_spared_before_its_entry_changes() {
    let mut fleet = open_zone().await;
    fleet.store.set_mode(StoreMode::Refuses(503));
    fleet.stop_server(0);
    send_requests(&fleet, "down", Duration::from_secs(1)).await;
    let restarted = Instant::now();
    fleet
        .restart_cold(0, COLD_TIME)
        .await
        .expect("the server starts");
    send_requests(&fleet, "cold", COLD_TIME).await;
    assert_spared(&fleet, restarted, restarted + COLD_TIME);
    fleet.close();
}

/// Hosts that start read entries that were written before a server turned cold.
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_is_spared_by_hosts_that_start() {
    let mut fleet = open_zone().await;
    for host in &mut fleet.hosts {
        host.signal(ProcessSignal::Kill);
        host.start().await.expect("the host starts");
    }
    fleet.turn_cold(0, COLD_TIME);
    fleet.wait_ready().await.expect("the hosts become ready");
    let started = Instant::now();
    send_requests(&fleet, "after", ENTRY_DELAY).await;
    assert_spared(&fleet, started, started + ENTRY_DELAY);
    sleep(REQUEST_INTERVAL).await;
    fleet.close();
}

/// Hosts that wake up took what had arrived meanwhile for current, and sent the
/// requests that had waited to servers that had turned cold.
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_is_spared_by_hosts_that_wake_up() {
    const PAUSED: usize = 4;
    let fleet = open_zone().await;
    let paused = &fleet.hosts[fleet.hosts.len() - PAUSED..];
    for host in paused {
        host.signal(ProcessSignal::Stop);
    }
    sleep(Duration::from_millis(500)).await;
    fleet.turn_cold(0, COLD_TIME + CONTACT_TIME);
    fleet.write_cold_entry(0, "ready", COLD_TIME + CONTACT_TIME);
    sleep(CONTACT_TIME).await;
    let resumed = Instant::now() + REQUEST_INTERVAL;
    let waiting = send_requests_to(paused, "waiting", Duration::from_secs(1));
    let resuming = async {
        sleep(Duration::from_millis(900)).await;
        for host in paused {
            host.signal(ProcessSignal::Continue);
        }
    };
    let (served, ()) = tokio::join!(waiting, resuming);
    assert_spared(&fleet, resumed, resumed + COLD_TIME);
    assert!(served > 40, "the other servers serve: {served}");
    fleet.close();
}

/// Health checks cost the servers slots: hosts in contact with the store send
/// none.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_in_contact_send_no_health_checks() {
    let fleet = open_zone().await;
    sleep(CONTACT_TIME).await;
    let before = fleet.log.health_checks();
    send_requests(&fleet, "calm", Duration::from_secs(5)).await;
    assert_eq!(fleet.log.health_checks(), before);
    fleet.close();
}
