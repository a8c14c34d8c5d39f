//! Servers whose entries the store removes: they left, or could not renew their
//! entries while the store was away.

use std::time::Duration;

use {
    standins::{
        StoreMode,
        entry_fleet::{EntryFleet, EntryFleetSettings, EntryHost, EntryServerGroup},
        fleet::ProcessSignal,
        proxy::{ConnectMode, LinkRule, ProxyCommand},
    },
    tokio::time::{Instant, sleep},
};

use crate::{
    CONTACT_TIME, DRAIN_LIMIT, REQUEST_INTERVAL, open_fleet_with, send_requests, send_requests_to,
};

/// Time from the return of the store until the entries of all live servers are
/// back.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Number of attempts to stop hosts between their report and its use.
const SCENE_ATTEMPTS: usize = 3;

/// Opens a fleet whose servers are all needed: the requests of
/// [`send_requests`] take more slots than those of one server.
async fn open_busy_fleet(servers_per_zone: usize) -> EntryFleet {
    let settings = EntryFleetSettings {
        servers: vec![EntryServerGroup {
            service: "ledger".to_owned(),
            per_zone: servers_per_zone,
        }],
        work: Duration::from_millis(400),
        ..Default::default()
    };
    let fleet = open_fleet_with(settings).await;
    send_requests(&fleet, "before", Duration::from_secs(2)).await;
    fleet
}

/// Number of requests that reached one of the servers at `from` or later.
fn late_arrivals(fleet: &EntryFleet, servers: &[String], from: Instant) -> usize {
    let arrivals = fleet.log.arrivals();
    let late = arrivals.iter().filter(|arrival| {
        arrival.at >= from && !arrival.is_misdirected && servers.contains(&arrival.server)
    });
    late.count()
}

/// Asserts that no request reached one of the servers at `from` or later.
fn assert_unused(fleet: &EntryFleet, servers: &[String], from: Instant) {
    let late = late_arrivals(fleet, servers, from);
    assert_eq!(late, 0, "late requests to {servers:?}");
}

/// Removes the entries of the first servers, which go on serving. Returns their
/// ids.
fn remove_entries(fleet: &EntryFleet, count: usize) -> Vec<String> {
    let removed = fleet.servers.iter().take(count);
    let removed: Vec<String> = removed.map(|server| server.id.clone()).collect();
    for id in &removed {
        fleet.remove_entry(id);
    }
    removed
}

fn set_store_rule(fleet: &EntryFleet, host: usize, rule: LinkRule) {
    let store = fleet.hosts[host].store();
    store.run(ProxyCommand::Rule { source: None, rule });
}

/// Resets all connections between a host and the store.
fn refuse_store(fleet: &EntryFleet, host: usize) {
    let mut refused = LinkRule::CUT_BOTH;
    refused.connect = ConnectMode::Refuse;
    set_store_rule(fleet, host, refused);
    let reset = ProxyCommand::Reset { source: None };
    fleet.hosts[host].store().run(reset);
}

/// A host whose calls to the store had failed, while its peers reached the
/// store, used servers for 2.2 s or longer after it had read that they left.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_the_store_refused_uses_no_server_that_left() {
    let fleet = open_busy_fleet(1).await;
    refuse_store(&fleet, 0);
    sleep(Duration::from_millis(2_000)).await;
    set_store_rule(&fleet, 0, LinkRule::default());
    let connected = Instant::now();
    sleep(CONTACT_TIME - DRAIN_LIMIT).await;
    let left = remove_entries(&fleet, 2);
    let removed = Instant::now();
    send_requests(&fleet, "after", Duration::from_secs(5)).await;
    assert!(connected + CONTACT_TIME <= removed + DRAIN_LIMIT);
    assert_unused(&fleet, &left, removed + DRAIN_LIMIT);
    fleet.close();
}

/// Hosts used servers that left together, two in five or more, for 2.2 s or
/// longer: no call to the store had failed.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_leave_together_get_no_requests_after_the_drain_limit() {
    let fleet = open_busy_fleet(2).await;
    let left = remove_entries(&fleet, 4);
    let removed = Instant::now();
    send_requests(&fleet, "after", Duration::from_secs(5)).await;
    assert_unused(&fleet, &left, removed + DRAIN_LIMIT);
    fleet.close();
}

/// The store connections of all hosts fell silent, and the first call that
/// failed put each removal in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_leave_behind_silent_feeds_get_no_requests() {
    let fleet = open_busy_fleet(1).await;
    for host in &fleet.hosts {
        host.store().run(ProxyCommand::Silence { source: None });
    }
    let silenced = Instant::now();
    sleep(Duration::from_millis(300)).await;
    let left = remove_entries(&fleet, 2);
    send_requests(&fleet, "after", Duration::from_secs(6)).await;
    assert_unused(&fleet, &left, silenced + CONTACT_TIME);
    fleet.close();
}

/// A host read changes from one peer after another, and waited 1.2 s for each
/// that had frozen after its report.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_left_gets_no_requests_beside_hosts_that_froze() {
    let settings = EntryFleetSettings {
        hosts_per_zone: 3,
        ..Default::default()
    };
    let fleet = open_fleet_with(settings).await;
    refuse_store(&fleet, 0);
    sleep(CONTACT_TIME).await;
    let (reader, peers) = fleet.hosts.split_first().expect("has hosts");
    let frozen = &peers[..peers.len() - 1];
    // On a busy machine, the reader may have read the change before the others
    // are stopped.
    for server in fleet.servers.iter().take(SCENE_ATTEMPTS) {
        let left = [server.id.clone()];
        fleet.remove_entry(&server.id);
        let removed = Instant::now();
        freeze_after_report(peers, frozen, &server.id).await;
        let is_set_up = !has_read_removal(reader, &server.id);
        if is_set_up {
            let span = Duration::from_secs(5);
            send_requests_to(std::slice::from_ref(reader), "after", span).await;
        }
        for host in frozen {
            host.signal(ProcessSignal::Continue);
        }
        if is_set_up {
            assert_unused(&fleet, &left, removed + DRAIN_LIMIT);
            return fleet.close();
        }
        sleep(CONTACT_TIME).await;
    }
    panic!("the reader always read the removal before its peers froze");
}

/// Whether a host logged the removal of a server's entry.
fn has_read_removal(host: &EntryHost, server: &str) -> bool {
    let log = host.log_text();
    let mut lines = log.lines();
    lines.any(|line| line.contains("server entry removed") && line.contains(server))
}

/// Stops hosts once all peers had the time to report a removal.
async fn freeze_after_report(peers: &[EntryHost], frozen: &[EntryHost], server: &str) {
    let started = Instant::now();
    while !peers.iter().all(|peer| has_read_removal(peer, server))
        && started.elapsed() < Duration::from_millis(100)
    {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(40)).await;
    for host in frozen {
        host.signal(ProcessSignal::Stop);
    }
}

/// Entries of live servers lapse while the store is away: the servers are used
/// until they have had the time to write their entries again, and no longer.
#[tokio::test(flavor = "multi_thread")]
async fn servers_whose_entries_lapsed_are_used_until_they_can_return() {
    let fleet = open_busy_fleet(2).await;
    fleet.store.set_mode(StoreMode::Refuses(503));
    send_requests(&fleet, "away", Duration::from_secs(5)).await;
    let lapsed = remove_entries(&fleet, fleet.servers.len());
    fleet.store.set_mode(StoreMode::Healthy);
    let returned = Instant::now();
    let span = RETURN_TIME - Duration::from_millis(500);
    let count = (span.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    let served = send_requests(&fleet, "lapsed", span).await;
    assert!(
        served * 100 >= count * 90,
        "{served} of {count} were served"
    );
    for index in 1..fleet.servers.len() {
        fleet.write_entry(index, "ready");
    }
    send_requests(&fleet, "after", Duration::from_secs(4)).await;
    // The first server did not return.
    assert_unused(&fleet, &lapsed[..1], returned + CONTACT_TIME);
    let used = late_arrivals(&fleet, &lapsed[1..], returned + CONTACT_TIME);
    assert!(used > 50, "{used} requests to the servers that returned");
    fleet.close();
}
