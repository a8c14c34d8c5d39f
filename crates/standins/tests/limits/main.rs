//! Limits between real processes: every window stays within rate and burst.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    mangostep_objects::{Limit, ObjectSet},
    standins::{
        StandinError,
        fleet::{
            FleetSettings, NORTH_KEY, ProcessSignal, ReadyProbe, SOUTH_KEY, ServerGroup,
            StartObjects, TestFleet, basic_objects, wait_until,
        },
        load::{LoadReport, LoadRequest, LoadSettings, run_load},
        tokens::{TokenLog, WindowLimit},
    },
};

type TestResult = Result<(), Box<dyn std::error::Error>>;

const RATE_PER_S: u64 = 40;
const BURST: u64 = 9;

/// Longest time to found the member set and hold all homes.
const FOUNDING_LIMIT: Duration = Duration::from_secs(20);

/// Longest time to take over from a lapsed host.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

fn window_limit(rate: u64, burst: u64) -> WindowLimit {
    WindowLimit {
        rate_micro_per_s: rate * 1_000_000,
        burst_micro: burst * 1_000_000,
    }
}

/// The basic objects with a limit of its own for workspace `north`.
fn objects(rate: u64, burst: u64) -> ObjectSet {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let mut set = basic_objects(&zones);
    set.limits.push(Limit {
        name: "narrow".to_owned(),
        rate_per_s: rate as f64,
        burst: burst as f64,
    });
    set.workspaces[0].limit = Some("narrow".to_owned());
    for route in &mut set.routes {
        if route.name == "open" {
            route.limit = Some("narrow".to_owned());
        }
    }
    set
}

async fn open_three(rate: u64, burst: u64) -> Result<TestFleet, StandinError> {
    open_with(objects(rate, burst)).await
}

async fn open_with(set: ObjectSet) -> Result<TestFleet, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        servers: vec![ServerGroup {
            per_zone: 1,
            ..Default::default()
        }],
        objects: StartObjects::Set(set),
        host_settings: serde_json::json!({ "record_tokens": true }),
        ready: Some(ReadyProbe {
            key: SOUTH_KEY.to_owned(),
            ..Default::default()
        }),
        ..Default::default()
    })
    .await?;
    wait_until("homes held", FOUNDING_LIMIT, || async {
        let mut held = 0;
        for host in &fleet.hosts {
            held += homes_held(host.addresses().operator).await;
        }
        held == 192
    })
    .await?;
    Ok(fleet)
}

/// Homes that a host has open, as its status tells.
async fn homes_held(operator: SocketAddr) -> u64 {
    limit_status(operator, "homes").await
}

/// A number of the part on limits of a host's status.
async fn limit_status(operator: SocketAddr, field: &str) -> u64 {
    let read = async {
        let url = format!("http://{operator}/status");
        let status: serde_json::Value = client().get(url).send().await.ok()?.json().await.ok()?;
        status["sections"]["limits"][field].as_u64()
    };
    read.await.unwrap_or(0)
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("client")
}

/// Sends requests of workspace `north`.
async fn send(
    fleet: &TestFleet,
    log: &mut TokenLog,
    hosts: &[usize],
    rate_per_s: f64,
    span: Duration,
) -> Result<Vec<LoadReport>, StandinError> {
    let request = LoadRequest {
        key: NORTH_KEY.to_owned(),
        ..Default::default()
    };
    send_request(fleet, log, hosts, rate_per_s, span, &request).await
}

/// Sends to some hosts at once, an equal part of the rate to each, and reads
/// the tokens taken at those meanwhile.
async fn send_request(
    fleet: &TestFleet,
    log: &mut TokenLog,
    hosts: &[usize],
    rate_per_s: f64,
    span: Duration,
    request: &LoadRequest,
) -> Result<Vec<LoadReport>, StandinError> {
    let loads = hosts.iter().map(|host| {
        run_load(LoadSettings {
            entries: vec![fleet.hosts[*host].addresses().front],
            look_up: false,
            rate_per_s: rate_per_s / hosts.len() as f64,
            duration: span,
            requests: vec![request.clone()],
            seed: *host as u64,
            ..Default::default()
        })
    });
    let loads = futures::future::try_join_all(loads);
    let http = client();
    let reading = async {
        loop {
            read_all(fleet, log, &http, hosts).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let reports = tokio::select! {
        reports = loads => reports?,
        () = reading => Vec::new(),
    };
    read_all(fleet, log, &http, hosts).await;
    Ok(reports)
}

async fn read_all(fleet: &TestFleet, log: &mut TokenLog, http: &reqwest::Client, hosts: &[usize]) {
    for host in hosts {
        // A host that is paused or restarts is read later.
        let _ = log.read(http, &fleet.hosts[*host]).await;
    }
}

fn check_windows(log: &TokenLog, rate: u64, burst: u64) {
    let taken = log.taken_us();
    let excess = window_limit(rate, burst).excess(&taken);
    eprintln!("{} tokens, excess {excess}", taken.len());
    assert_eq!(log.missed(), 0, "events were lost");
    assert!(excess <= 0.0, "{excess} tokens too many in a window");
}

fn refused(reports: &[LoadReport], reason: &str) -> u64 {
    let counts = reports
        .iter()
        .map(|report| report.total.reasons.get(reason).copied().unwrap_or(0));
    counts.sum()
}

#[tokio::test]
async fn five_times_the_rate_over_all_hosts_stays_within_it() -> TestResult {
    let fleet = open_three(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let span = Duration::from_secs(6);
    let rate = 5.0 * RATE_PER_S as f64;
    let reports = send(&fleet, &mut log, &[0, 1, 2], rate, span).await?;
    check_windows(&log, RATE_PER_S, BURST);
    let taken = log.taken_us().len() as u64;
    assert!(
        taken >= RATE_PER_S * 6 * 8 / 10,
        "only {taken} tokens taken"
    );
    let served: u64 = reports.iter().map(|report| report.total.served).sum();
    assert!(served <= taken);
    assert!(refused(&reports, "rate") > 0);
    let records = fleet.records().await?;
    let ran = records
        .iter()
        .filter(|run| run.workspace == "north")
        .count();
    assert!(ran as u64 <= taken, "{ran} ran, {taken} tokens");
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_refusal_says_when_to_come_again() -> TestResult {
    let fleet = open_three(1, 3).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let end = Instant::now() + Duration::from_secs(10);
    let answer = loop {
        let answer = caller
            .request(reqwest::Method::GET, "/lookup/1")
            .send()
            .await?;
        if answer.status() == 429 || Instant::now() > end {
            break answer;
        }
    };
    let header = |name| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    assert_eq!(header("mangostep-outcome"), Some("not-run"));
    assert_eq!(header("mangostep-reason"), Some("rate"));
    let wait: u64 = header("retry-after").ok_or("no retry-after")?.parse()?;
    tokio::time::sleep(Duration::from_secs(wait)).await;
    assert_eq!(caller.get("/lookup/1").await?.status, 200);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn an_open_route_is_limited_apart_from_a_workspace() -> TestResult {
    let mut set = objects(1, 3);
    // The route has the workspace's name; were they counted together, one of
    // the two limits would hold for both.
    set.routes[2].name = "north".to_owned();
    set.workspaces[0].limit = Some("wide".to_owned());
    let fleet = open_with(set).await?;
    let open = fleet.caller(0, "")?;
    let limited = || async { matches!(open.get("/open/1").await, Ok(got) if got.status == 429) };
    wait_until("open route limited", Duration::from_secs(10), limited).await?;
    let keyed = fleet.caller(1, NORTH_KEY)?;
    for _ in 0..20 {
        assert_eq!(keyed.get("/lookup/1").await?.status, 200);
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_home_frozen_past_its_lease_adds_nothing() -> TestResult {
    let mut fleet = open_three(RATE_PER_S, BURST).await?;
    // An open route, since keyed requests are refused by freshness before a
    // lapsed home is asked for anything.
    let mut log = TokenLog::of_route("open");
    let request = LoadRequest {
        path: "/open/1".to_owned(),
        ..Default::default()
    };
    let rate = 5.0 * RATE_PER_S as f64;
    let second = Duration::from_secs(1);
    send_request(&fleet, &mut log, &[0, 1, 2], rate, 2 * second, &request).await?;
    fleet.hosts[0].signal(ProcessSignal::Stop);
    let start = Instant::now();
    loop {
        send_request(&fleet, &mut log, &[1, 2], rate, second, &request).await?;
        let mut held = 0;
        for host in &fleet.hosts[1..] {
            held += homes_held(host.addresses().operator).await;
        }
        if held == 192 {
            break;
        }
        assert!(
            start.elapsed() < TAKEOVER_LIMIT,
            "{held} homes after the freeze"
        );
    }
    // These wait in the frozen host's listener, and are the first that it
    // sees when it wakes.
    let queued: Vec<_> = (0..30)
        .map(|_| fleet.caller(0, ""))
        .collect::<Result<_, _>>()?;
    let queued = queued
        .into_iter()
        .map(|caller| tokio::spawn(async move { caller.get("/open/1").await }));
    let queued: Vec<_> = queued.collect();
    // A quiet second, so that the other homes are full at the wake and any
    // token more goes over the burst.
    tokio::time::sleep(second).await;
    fleet.hosts[0].signal(ProcessSignal::Continue);
    send_request(&fleet, &mut log, &[0, 1, 2], rate, 4 * second, &request).await?;
    for waiting in queued {
        // What came of it does not matter.
        let _ = waiting.await?;
    }
    check_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_killed_home_is_followed_by_one_that_starts_from_zero() -> TestResult {
    let mut fleet = open_three(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    send(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    fleet.hosts[0].signal(ProcessSignal::Kill);
    let reports = send(&fleet, &mut log, &[1, 2], rate, Duration::from_secs(3)).await?;
    assert!(reports.iter().all(|report| report.total.served > 0));
    fleet.hosts[0].restart().await?;
    let start = Instant::now();
    while homes_held(fleet.hosts[0].addresses().operator).await == 0 {
        send(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(1)).await?;
        assert!(start.elapsed() < TAKEOVER_LIMIT, "no home on the new host");
    }
    send(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    check_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_host_that_leaves_hands_its_homes_over() -> TestResult {
    let mut fleet = open_three(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    let given = homes_held(fleet.hosts[0].addresses().operator).await;
    assert!(given > 0);
    fleet.hosts[0].signal(ProcessSignal::Terminate);
    let start = Instant::now();
    loop {
        send(&fleet, &mut log, &[1, 2], rate, Duration::from_secs(1)).await?;
        let mut accepted = 0;
        for host in &fleet.hosts[1..] {
            accepted += limit_status(host.addresses().operator, "states_accepted").await;
        }
        if accepted >= given {
            break;
        }
        assert!(
            start.elapsed() < TAKEOVER_LIMIT,
            "{accepted} of {given} states counted"
        );
    }
    check_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_limit_that_changes_under_traffic_holds_before_and_after() -> TestResult {
    let fleet = open_three(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    send(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    let raised = 2 * RATE_PER_S;
    for (now, burst) in [
        (raised, 2 * BURST),
        (RATE_PER_S / 2, 2),
        (RATE_PER_S, BURST),
    ] {
        fleet.publish(&objects(now, burst)).await?;
        send(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(3)).await?;
    }
    check_windows(&log, raised, 2 * BURST);
    // The last change has been in force for long enough to count alone.
    let mut last = TokenLog::of_workspace("north");
    let http = client();
    read_all(&fleet, &mut last, &http, &[0, 1, 2]).await;
    let seen = last.taken_us().len();
    let settled = Duration::from_secs(11);
    send(&fleet, &mut last, &[0, 1, 2], rate, settled).await?;
    let after = &last.taken_us()[seen..];
    let excess = window_limit(RATE_PER_S, BURST).excess(after);
    assert!(
        excess <= 0.0,
        "{excess} tokens too many after the last change"
    );
    assert!(after.len() as u64 >= RATE_PER_S * 11 / 4);
    fleet.close().await;
    Ok(())
}
