//! Rate limits of a fleet of real processes: the tokens taken in any time window
//! stay within rate and burst, also while limit homes fail or move.

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

/// Longest time until the member set exists and all limit homes are held.
const FOUNDING_LIMIT: Duration = Duration::from_secs(20);

/// Longest time for the takeover from a host whose lease has lapsed.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

fn window_limit(rate: u64, burst: u64) -> WindowLimit {
    WindowLimit {
        rate_micro_per_s: rate * 1_000_000,
        burst_micro: burst * 1_000_000,
    }
}

/// Returns the basic objects with a separate limit for workspace `north` and
/// for the open route.
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

async fn open_fleet(rate: u64, burst: u64) -> Result<TestFleet, StandinError> {
    open_fleet_with(objects(rate, burst)).await
}

async fn open_fleet_with(objects: ObjectSet) -> Result<TestFleet, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        servers: vec![ServerGroup {
            per_zone: 1,
            ..Default::default()
        }],
        objects: StartObjects::Set(objects),
        host_settings: serde_json::json!({ "record_tokens": true }),
        ready: Some(ReadyProbe {
            key: SOUTH_KEY.to_owned(),
            ..Default::default()
        }),
        ..Default::default()
    })
    .await?;
    wait_until("all limit homes are held", FOUNDING_LIMIT, || async {
        let mut held = 0;
        for host in &fleet.hosts {
            held += held_homes(host.addresses().operator).await;
        }
        held == 192
    })
    .await?;
    Ok(fleet)
}

/// Returns how many limit homes a host holds, by its status page.
async fn held_homes(operator: SocketAddr) -> u64 {
    limit_status(operator, "homes").await
}

/// Returns a number of the `limits` section of a host's status page, or 0
/// without an answer.
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
async fn send_load(
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

/// Sends an equal part of the rate to each given host and meanwhile reads the
/// events of tokens taken there.
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
            read_tokens(fleet, log, &http, hosts).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let reports = tokio::select! {
        reports = loads => reports?,
        () = reading => Vec::new(),
    };
    read_tokens(fleet, log, &http, hosts).await;
    Ok(reports)
}

async fn read_tokens(
    fleet: &TestFleet,
    log: &mut TokenLog,
    http: &reqwest::Client,
    hosts: &[usize],
) {
    for host in hosts {
        // A host that is frozen or restarting is read in a later round.
        let _ = log.read(http, &fleet.hosts[*host]).await;
    }
}

fn assert_windows(log: &TokenLog, rate: u64, burst: u64) {
    let taken = log.taken_us();
    let excess = window_limit(rate, burst).excess(&taken);
    eprintln!(
        "{} tokens taken, excess of the worst window {excess}",
        taken.len()
    );
    assert_eq!(log.missed(), 0, "expected no lost token events");
    assert!(
        excess <= 0.0,
        "expected no excess in any window, got {excess} tokens"
    );
}

fn refusals(reports: &[LoadReport], reason: &str) -> u64 {
    let counts = reports
        .iter()
        .map(|report| report.total.reasons.get(reason).copied().unwrap_or(0));
    counts.sum()
}

#[tokio::test]
async fn load_of_five_times_the_rate_is_held_to_the_rate() -> TestResult {
    let fleet = open_fleet(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let span = Duration::from_secs(6);
    let rate = 5.0 * RATE_PER_S as f64;
    let reports = send_load(&fleet, &mut log, &[0, 1, 2], rate, span).await?;
    assert_windows(&log, RATE_PER_S, BURST);
    let taken = log.taken_us().len() as u64;
    assert!(
        taken >= RATE_PER_S * 6 * 8 / 10,
        "expected at least 80 % of the rate for 6 s, got {taken} tokens"
    );
    let served: u64 = reports.iter().map(|report| report.total.served).sum();
    assert!(served <= taken);
    assert!(refusals(&reports, "rate") > 0);
    let records = fleet.records().await?;
    let ran = records
        .iter()
        .filter(|run| run.workspace == "north")
        .count();
    assert!(
        ran as u64 <= taken,
        "expected at most one run a token, got {ran} runs and {taken} tokens"
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn request_after_retry_after_is_served() -> TestResult {
    let fleet = open_fleet(1, 3).await?;
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
async fn open_route_and_workspace_of_one_name_have_separate_limits() -> TestResult {
    let mut set = objects(1, 3);
    // The route gets the name of the workspace: if both shared a token bucket,
    // one of the two limits would apply to both.
    set.routes[2].name = "north".to_owned();
    set.workspaces[0].limit = Some("wide".to_owned());
    let fleet = open_fleet_with(set).await?;
    let open = fleet.caller(0, "")?;
    let limited = || async { matches!(open.get("/open/1").await, Ok(got) if got.status == 429) };
    wait_until("open route is limited", Duration::from_secs(10), limited).await?;
    let keyed = fleet.caller(1, NORTH_KEY)?;
    for _ in 0..20 {
        assert_eq!(keyed.get("/lookup/1").await?.status, 200);
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn limit_home_frozen_past_its_lease_grants_no_tokens() -> TestResult {
    let mut fleet = open_fleet(RATE_PER_S, BURST).await?;
    // Uses an open route, since a host that is not fresh refuses requests with a
    // key before it asks the lapsed limit home for tokens.
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
            held += held_homes(host.addresses().operator).await;
        }
        if held == 192 {
            break;
        }
        assert!(
            start.elapsed() < TAKEOVER_LIMIT,
            "expected takeover of 192 limit homes in {TAKEOVER_LIMIT:?}, got {held}"
        );
    }
    // These requests wait in the listen queue of the frozen host, so that it
    // reads them first after it resumes.
    let queued_requests: Vec<_> = (0..30)
        .map(|_| fleet.caller(0, ""))
        .collect::<Result<_, _>>()?;
    let queued_requests = queued_requests
        .into_iter()
        .map(|caller| tokio::spawn(async move { caller.get("/open/1").await }));
    let queued_requests: Vec<_> = queued_requests.collect();
    // A second without load fills the token buckets of the successors, so that
    // any further token granted by the resumed host exceeds the burst.
    tokio::time::sleep(second).await;
    fleet.hosts[0].signal(ProcessSignal::Continue);
    send_request(&fleet, &mut log, &[0, 1, 2], rate, 4 * second, &request).await?;
    for waiting in queued_requests {
        // Only the tokens count; the request may be served or refused.
        let _ = waiting.await?;
    }
    assert_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn limit_holds_when_limit_home_is_killed_and_restarted() -> TestResult {
    let mut fleet = open_fleet(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    send_load(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    fleet.hosts[0].signal(ProcessSignal::Kill);
    let reports = send_load(&fleet, &mut log, &[1, 2], rate, Duration::from_secs(3)).await?;
    assert!(reports.iter().all(|report| report.total.served > 0));
    fleet.hosts[0].restart().await?;
    let start = Instant::now();
    while held_homes(fleet.hosts[0].addresses().operator).await == 0 {
        send_load(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(1)).await?;
        assert!(
            start.elapsed() < TAKEOVER_LIMIT,
            "expected a limit home on the restarted host within {TAKEOVER_LIMIT:?}"
        );
    }
    send_load(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    assert_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn stopping_host_hands_over_its_limit_homes() -> TestResult {
    let mut fleet = open_fleet(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    let homes_to_hand_over = held_homes(fleet.hosts[0].addresses().operator).await;
    assert!(homes_to_hand_over > 0);
    fleet.hosts[0].signal(ProcessSignal::Terminate);
    let start = Instant::now();
    loop {
        send_load(&fleet, &mut log, &[1, 2], rate, Duration::from_secs(1)).await?;
        let mut accepted = 0;
        for host in &fleet.hosts[1..] {
            accepted += limit_status(host.addresses().operator, "states_accepted").await;
        }
        if accepted >= homes_to_hand_over {
            break;
        }
        assert!(
            start.elapsed() < TAKEOVER_LIMIT,
            "expected successors to accept the state of {homes_to_hand_over} limit homes, got {accepted}"
        );
    }
    assert_windows(&log, RATE_PER_S, BURST);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn changed_limit_holds_under_traffic() -> TestResult {
    let fleet = open_fleet(RATE_PER_S, BURST).await?;
    let mut log = TokenLog::of_workspace("north");
    let rate = 5.0 * RATE_PER_S as f64;
    send_load(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(2)).await?;
    let raised_rate = 2 * RATE_PER_S;
    for (rate_now, burst) in [
        (raised_rate, 2 * BURST),
        (RATE_PER_S / 2, 2),
        (RATE_PER_S, BURST),
    ] {
        fleet.publish(&objects(rate_now, burst)).await?;
        send_load(&fleet, &mut log, &[0, 1, 2], rate, Duration::from_secs(3)).await?;
    }
    assert_windows(&log, raised_rate, 2 * BURST);
    // Tokens taken from here on are checked against the last limit alone, which
    // is in force by now.
    let mut last_log = TokenLog::of_workspace("north");
    let http = client();
    read_tokens(&fleet, &mut last_log, &http, &[0, 1, 2]).await;
    let tokens_before = last_log.taken_us().len();
    let settled_span = Duration::from_secs(11);
    send_load(&fleet, &mut last_log, &[0, 1, 2], rate, settled_span).await?;
    let taken_after = &last_log.taken_us()[tokens_before..];
    let excess = window_limit(RATE_PER_S, BURST).excess(taken_after);
    assert!(
        excess <= 0.0,
        "expected no excess after the last change, got {excess} tokens"
    );
    assert!(taken_after.len() as u64 >= RATE_PER_S * 11 / 4);
    fleet.close().await;
    Ok(())
}
