//! Several entry hosts as processes, behind fault proxies.

use std::{net::SocketAddr, time::Duration};

use {
    standins::{
        CallerConnection, RequestSpec,
        entry_fleet::{
            EntryConfiguration, EntryFleet, EntryFleetSettings, EntryWorkspace, look_up,
        },
        fleet::ProcessSignal,
        proxy::{LinkRule, ProxyCommand},
    },
    tokio::time::{Instant, sleep},
};

/// Within it a change must be in force, by the operators' agreement.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time after its end within which look-ups may still name a host.
const NAMED: Duration = Duration::from_secs(6);

/// Within it a fleet must serve again after all hosts were killed.
const RECOVERY: Duration = Duration::from_secs(15);

const LIMIT: Duration = Duration::from_secs(2);

fn configuration(version: u64, key: &str, rate_per_s: f64) -> EntryConfiguration {
    EntryConfiguration {
        version,
        workspaces: vec![EntryWorkspace {
            name: "north".to_owned(),
            keys: vec![key.to_owned()],
            rate_per_s,
            burst: rate_per_s,
        }],
        ..Default::default()
    }
}

async fn fleet(rate_per_s: f64) -> EntryFleet {
    let settings = EntryFleetSettings {
        configuration: configuration(1, "north-key", rate_per_s),
        ..Default::default()
    };
    EntryFleet::open(settings).await.expect("the fleet starts")
}

/// The status of one lookup; none without an answer.
async fn ask(front: SocketAddr, id: &str, key: &str) -> Option<u16> {
    let ask = RequestSpec {
        path: "/look-ledger/1",
        id,
        key,
        ..Default::default()
    };
    let mut caller = CallerConnection::open(front, LIMIT).await.ok()?;
    caller
        .request(ask, LIMIT)
        .await
        .ok()
        .map(|answer| answer.status)
}

/// Waits until a condition holds, and tells how long that took.
async fn wait_until(within: Duration, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < within, "not within {within:?}");
        sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

/// Publishes a new key and waits until every host takes it and no host the old
/// one.
async fn withdraw_key(fleet: &EntryFleet) {
    fleet.publish(&configuration(2, "new-key", 1_000.0));
    let started = Instant::now();
    for (number, host) in fleet.hosts.iter().enumerate() {
        let front = host.addresses().front;
        let left = IN_FORCE.saturating_sub(started.elapsed());
        wait_until(left.max(Duration::from_millis(1)), async || {
            ask(front, &format!("old-{number}"), "north-key").await == Some(401)
        })
        .await;
        assert_eq!(
            ask(front, &format!("new-{number}"), "new-key").await,
            Some(200)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_store_learns_of_a_withdrawn_key() {
    for rule in [
        LinkRule::CUT_BOTH,
        LinkRule::CUT_TO_TARGET,
        LinkRule::CUT_TO_SOURCE,
    ] {
        let fleet = fleet(1_000.0).await;
        let cut = ProxyCommand::Rule { source: None, rule };
        fleet.hosts[0].store().run(cut);
        sleep(Duration::from_millis(500)).await;
        withdraw_key(&fleet).await;
        fleet.close();
    }
}

/// The feeds of a whole zone fall silent, without a reset; new connections
/// would work.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_whose_feeds_are_silent_learns_of_a_withdrawn_key() {
    let fleet = fleet(1_000.0).await;
    sleep(Duration::from_millis(1_500)).await;
    for host in fleet.hosts.iter().filter(|host| host.zone() == "a") {
        host.store().run(ProxyCommand::Silence { source: None });
    }
    withdraw_key(&fleet).await;
    fleet.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn look_ups_leave_out_hosts_that_stop_or_die() {
    let fleet = fleet(1_000.0).await;
    let zone = fleet.hosts[1].zone().to_owned();
    let asked = fleet.hosts[1].addresses().lookup;
    let same_zone: Vec<usize> = (0..fleet.hosts.len())
        .filter(|index| *index != 1 && fleet.hosts[*index].zone() == zone)
        .collect();
    let other = &fleet.hosts[same_zone[0]];
    let front = other.addresses().front;
    let names = async |wanted: bool| {
        let named = look_up(asked, &zone).await.unwrap_or_default();
        named.contains(&front) == wanted
    };
    wait_until(NAMED, async || names(true).await).await;
    other.signal(ProcessSignal::Terminate);
    let took = wait_until(NAMED, async || names(false).await).await;
    assert!(
        took < Duration::from_secs(1),
        "a stopping host was named for {took:?}"
    );
    fleet.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_is_named_no_more() {
    let fleet = fleet(1_000.0).await;
    let front = fleet.hosts[0].addresses().front;
    let others: Vec<SocketAddr> = fleet.hosts[1..]
        .iter()
        .map(|h| h.addresses().lookup)
        .collect();
    let is_named = async || {
        for other in &others {
            if look_up(*other, "a")
                .await
                .unwrap_or_default()
                .contains(&front)
            {
                return true;
            }
        }
        false
    };
    wait_until(NAMED, async || is_named().await).await;
    fleet.hosts[0].signal(ProcessSignal::Kill);
    wait_until(NAMED, async || !is_named().await).await;
    fleet.close();
}

/// All hosts are killed at once, twice, while the store refuses calls in
/// between.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_was_killed_serves_again() {
    let mut fleet = fleet(1_000.0).await;
    for round in 0..2 {
        for host in &fleet.hosts {
            host.signal(ProcessSignal::Kill);
        }
        sleep(Duration::from_millis(100)).await;
        for host in &mut fleet.hosts {
            host.start().await.expect("the host starts");
        }
        for host in &fleet.hosts {
            let front = host.addresses().front;
            wait_until(RECOVERY, async || {
                ask(front, &format!("again-{round}"), "north-key").await == Some(200)
            })
            .await;
        }
    }
    fleet.close();
}

/// Callers of all hosts send several times a workspace's rate while the host
/// that counts its tokens is killed: whichever it is, for each is in turn.
#[tokio::test(flavor = "multi_thread")]
async fn a_hot_workspace_stays_within_its_limit_while_its_home_dies() {
    const RATE: f64 = 30.0;
    let mut fleet = fleet(RATE).await;
    let fronts: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.addresses().front).collect();
    let callers: Vec<_> = fronts
        .into_iter()
        .map(|front| {
            tokio::spawn(async move {
                for number in 0..260 {
                    let id = format!("hot-{front}-{number}");
                    tokio::spawn(async move { ask(front, &id, "north-key").await });
                    sleep(Duration::from_millis(30)).await;
                }
            })
        })
        .collect();
    for index in 0..fleet.hosts.len() {
        sleep(Duration::from_millis(1_100)).await;
        fleet.hosts[index].signal(ProcessSignal::Kill);
        sleep(Duration::from_millis(100)).await;
        fleet.hosts[index].start().await.expect("the host starts");
    }
    for caller in callers {
        caller.await.expect("callers end");
    }
    sleep(LIMIT).await;
    let runs: Vec<Instant> = {
        let arrivals = fleet.log.arrivals();
        arrivals
            .iter()
            .filter(|a| a.has_run)
            .map(|a| a.at)
            .collect()
    };
    let window = Duration::from_secs(5);
    // The operators' bound: a tenth and 20 requests over the limit.
    let most = (RATE * window.as_secs_f64() + RATE) * 1.1 + 20.0;
    for (first, start) in runs.iter().enumerate() {
        let inside = runs[first..].iter().take_while(|at| **at - *start < window);
        let count = inside.count();
        assert!(count as f64 <= most, "{count} in a window, {most} allowed");
    }
    assert!(runs.len() > 150, "only {} ran", runs.len());
    fleet.close();
}
