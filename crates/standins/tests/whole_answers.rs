//! Each caller gets the whole answer to its own request or a true refusal,
//! and what must run at most once does, whatever one server does.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use standins::{
    StandinError, TruncationPoint,
    backend::{BackendControl, GrayFault, GrayMode},
    fleet::{
        Caller, CallerAnswer, FleetSettings, NORTH_KEY, ServerGroup, TestFleet, basic_objects,
    },
};

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Longer than the time of one try.
const LATE_MS: u64 = 2_500;

/// More than what an entry host holds.
const LONG_ANSWER_BYTES: usize = 300_000;

async fn open_fleet(servers: usize) -> Result<TestFleet, StandinError> {
    TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        servers: vec![ServerGroup {
            per_zone: servers,
            ..Default::default()
        }],
        ..Default::default()
    })
    .await
}

async fn set_faults(fleet: &TestFleet, server: usize, modes: &[GrayMode]) -> TestResult {
    let control = BackendControl {
        faults: Some(modes.iter().copied().map(GrayFault::always).collect()),
        ..Default::default()
    };
    fleet.servers[server].control(&control).await?;
    Ok(())
}

fn is_own(answer: &CallerAnswer, path: &str) -> bool {
    let told: Result<serde_json::Value, _> = serde_json::from_slice(&answer.body);
    told.is_ok_and(|told| told["target"] == path)
}

/// How often each path under `prefix` ran, by the servers' own records.
async fn runs(fleet: &TestFleet, prefix: &str) -> Result<BTreeMap<String, usize>, StandinError> {
    let mut runs = BTreeMap::new();
    for record in fleet.records().await? {
        if record.path.starts_with(prefix) {
            *runs.entry(record.path).or_default() += 1;
        }
    }
    Ok(runs)
}

/// Sends bookings and lookups by turns; returns how many lookups came whole.
async fn check_mixed(
    fleet: &TestFleet,
    caller: &Caller,
    step: &str,
) -> Result<usize, Box<dyn std::error::Error>> {
    let mut whole = 0;
    for turn in 0..10 {
        let path = format!("/book/{step}-{turn}");
        let booked = caller.post(&path, "once").await?;
        match booked.status {
            200 => assert!(is_own(&booked, &path), "{booked:?}"),
            _ => assert!(booked.outcome.is_some(), "{booked:?}"),
        }
        let ran = runs(fleet, &path).await?.get(&path).copied().unwrap_or(0);
        assert!(ran <= 1, "{path} ran {ran} times");
        if booked.outcome.as_deref() == Some("not-run") {
            assert_eq!(ran, 0, "{booked:?}");
        }
        let path = format!("/lookup/{step}-{turn}");
        let found = caller.get(&path).await?;
        match found.status {
            200 => assert!(is_own(&found, &path), "{found:?}"),
            _ => assert!(found.outcome.is_some(), "{found:?}"),
        }
        whole += usize::from(found.status == 200);
    }
    Ok(whole)
}

#[tokio::test]
async fn one_server_that_cuts_or_crosses_answers_doubles_nothing() -> TestResult {
    let fleet = open_fleet(2).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let modes = [
        ("header", GrayMode::Cut(TruncationPoint::Header)),
        ("length", GrayMode::Cut(TruncationPoint::Length)),
        ("chunked", GrayMode::Cut(TruncationPoint::Chunked)),
        ("crossed", GrayMode::WrongId),
        ("reset", GrayMode::Reset),
    ];
    for (step, mode) in modes {
        set_faults(&fleet, 0, &[mode]).await?;
        let whole = check_mixed(&fleet, &caller, step).await?;
        assert!(whole > 0, "{step}: no lookup came whole");
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_long_answer_that_is_cut_does_not_look_whole() -> TestResult {
    let fleet = open_fleet(1).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    for place in [
        TruncationPoint::Header,
        TruncationPoint::Length,
        TruncationPoint::Chunked,
    ] {
        set_faults(&fleet, 0, &[GrayMode::Cut(place)]).await?;
        let path = format!("/lookup/long?answer_bytes={LONG_ANSWER_BYTES}");
        if let Ok(answer) = caller.get(&path).await {
            assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{place:?}");
        }
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_late_answer_reaches_nobody_else() -> TestResult {
    let fleet = open_fleet(1).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    set_faults(&fleet, 0, &[GrayMode::Late(LATE_MS)]).await?;
    let start = Instant::now();
    let late = caller.post("/book/late", "once").await?;
    assert_eq!(late.outcome.as_deref(), Some("unknown"), "{late:?}");
    set_faults(&fleet, 0, &[]).await?;
    let late_answer = start + Duration::from_millis(LATE_MS + 300);
    for turn in 0.. {
        let path = format!("/lookup/after-{turn}");
        let found = caller.get(&path).await?;
        if found.status == 200 {
            assert!(is_own(&found, &path), "{found:?}");
        }
        if Instant::now() > late_answer {
            break;
        }
    }
    assert_eq!(runs(&fleet, "/book/late").await?["/book/late"], 1);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_lookup_that_may_have_run_is_not_told_not_run() -> TestResult {
    let fleet = open_fleet(1).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    set_faults(&fleet, 0, &[GrayMode::Cut(TruncationPoint::Header)]).await?;
    let cut = caller.get("/lookup/once-cut").await?;
    let ran = runs(&fleet, "/lookup/once-cut").await?;
    assert!(ran["/lookup/once-cut"] >= 1);
    assert_eq!(cut.outcome.as_deref(), Some("unknown"), "{cut:?}");
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_hung_booking_is_unknown_and_runs_once() -> TestResult {
    let mut objects = basic_objects(&["a".to_owned()]);
    objects.services[0].attempt_timeout = Duration::from_millis(500);
    let fleet = open_fleet(1).await?;
    fleet.publish(&objects).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    set_faults(&fleet, 0, &[GrayMode::Hang]).await?;
    let hung = caller.post("/book/hung", "once").await?;
    assert_eq!(hung.outcome.as_deref(), Some("unknown"), "{hung:?}");
    assert_eq!(runs(&fleet, "/book/hung").await?["/book/hung"], 1);
    fleet.close().await;
    Ok(())
}
