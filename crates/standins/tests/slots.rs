//! Slots of backend servers while slot keepers, servers and availability zones
//! fail, leave and return. Runs are counted by the servers themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    mangostep_objects::{ObjectSet, RequestKind, ZoneState},
    standins::{
        backend::{BackendControl, BackendSettings, GrayFault, GrayMode, RunRecord, wall_us},
        fleet::{
            Caller, CallerAnswer, FleetSettings, NORTH_KEY, ProcessSignal, SOUTH_KEY, ServerGroup,
            StartObjects, TestFleet, basic_objects, wait_until,
        },
        platform::DirectoryChange,
    },
    tokio::task::JoinHandle,
};

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Longest time until a leaving server or zone gets no new requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);

/// Longest time for a takeover and the first slots granted after it.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(40);

/// One request of a [`SteadyLoad`] and its result.
struct Operation {
    id: String,
    ended: Instant,
    answer: Result<CallerAnswer, reqwest::Error>,
}

/// Callers that each send one request after the other until they are stopped.
struct SteadyLoad {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Operation>>>,
}

impl SteadyLoad {
    fn open(callers: Vec<Caller>, method: reqwest::Method, path: &'static str) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let run = |(number, caller): (usize, Caller)| {
            let stopped = stopped.clone();
            let method = method.clone();
            tokio::spawn(async move {
                let mut operations = Vec::new();
                while !stopped.load(Ordering::Acquire) {
                    let id = format!("{path}-{number}-{}", operations.len());
                    let request = caller.request(method.clone(), path);
                    let answer = caller.send(request.header("x-operation", &id)).await;
                    let failed = !matches!(&answer, Ok(answer) if answer.status == 200);
                    let ended = Instant::now();
                    operations.push(Operation { id, ended, answer });
                    if failed {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
                operations
            })
        };
        SteadyLoad {
            callers: callers.into_iter().enumerate().map(run).collect(),
            stopped,
        }
    }

    async fn close(self) -> Result<Vec<Operation>, tokio::task::JoinError> {
        self.stopped.store(true, Ordering::Release);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await?);
        }
        Ok(all)
    }
}

fn is_served(operation: &Operation) -> bool {
    matches!(&operation.answer, Ok(answer) if answer.status == 200)
}

/// Counts the operations that were not served by status, outcome and reason.
fn failures(operations: &[Operation]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for operation in operations.iter().filter(|operation| !is_served(operation)) {
        let reason = match &operation.answer {
            Ok(answer) => format!("{} {:?} {:?}", answer.status, answer.outcome, answer.reason),
            Err(err) => err.to_string(),
        };
        *counts.entry(reason).or_default() += 1;
    }
    counts
}

fn longest_gap(operations: &[Operation]) -> Duration {
    let mut ends: Vec<Instant> = operations
        .iter()
        .filter(|operation| is_served(operation))
        .map(|operation| operation.ended)
        .collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(Duration::MAX)
}

/// Asserts that each operation ran as the answer to its caller says: a served
/// one at least once and, unless idempotent, exactly once; one with the outcome
/// `not-run` never.
fn assert_outcomes(kind: RequestKind, operations: &[Operation], records: &[RunRecord]) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        *runs.entry(&record.operation).or_default() += 1;
    }
    for operation in operations {
        let ran = runs.get(operation.id.as_str()).copied().unwrap_or(0);
        let answer = operation.answer.as_ref().expect("the entry host answers");
        match (answer.status, answer.outcome.as_deref()) {
            (200, None) if kind == RequestKind::Idempotent => {
                assert!(ran >= 1, "{}", operation.id);
            }
            (200, None) => assert_eq!(ran, 1, "{}", operation.id),
            (_, Some("not-run")) => assert_eq!(ran, 0, "{}", operation.id),
            other => panic!(
                "expected {} to be served or not run, got {other:?} {:?}",
                operation.id, answer.reason
            ),
        }
    }
}

/// Waits until the slot keeper of a cell has been the same for some time. After
/// the start, cells still move to hosts that suit them better.
async fn wait_settled_keeper(
    fleet: &TestFleet,
    cell: &str,
) -> Result<usize, Box<dyn std::error::Error>> {
    const SETTLED_FOR: Duration = Duration::from_secs(8);
    let end = Instant::now() + TAKEOVER_LIMIT;
    let mut since = Instant::now();
    let mut last_seen = None;
    while Instant::now() < end {
        let keeper = fleet.keeper_of(cell).await;
        if keeper != last_seen {
            last_seen = keeper;
            since = Instant::now();
        }
        if let Some(keeper) = last_seen
            && since.elapsed() > SETTLED_FOR
        {
            return Ok(keeper);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err(format!("no settled slot keeper of {cell} within {TAKEOVER_LIMIT:?}").into())
}

fn single_zone(objects: ObjectSet, backend: BackendSettings, per_zone: usize) -> FleetSettings {
    FleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 3,
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            per_zone,
            backend,
            ..Default::default()
        }],
        ..Default::default()
    }
}

fn callers(
    fleet: &TestFleet,
    hosts: &[usize],
    each: usize,
) -> Result<Vec<Caller>, Box<dyn std::error::Error>> {
    let mut all = Vec::new();
    for host in hosts {
        for _ in 0..each {
            all.push(fleet.caller(*host, NORTH_KEY)?);
        }
    }
    Ok(all)
}

#[tokio::test]
async fn cold_server_is_not_overloaded_when_slot_keeper_is_killed() -> TestResult {
    let zones = ["a".to_owned()];
    let mut objects = basic_objects(&zones);
    objects.services[0].slots = 4;
    objects.services[0].cold_slots = 1;
    objects.services[0].warm_up = Duration::from_secs(600);
    let backend = BackendSettings {
        slots: 4,
        cold_slots: 1,
        cold: true,
        warm_ms: 600_000,
        work_ms: 30,
        ..Default::default()
    };
    let mut fleet = TestFleet::open(single_zone(objects, backend, 2)).await?;
    let keeper = wait_settled_keeper(&fleet, "cell/ledger/a").await?;
    let other_hosts: Vec<usize> = (0..3).filter(|host| *host != keeper).collect();
    let load = SteadyLoad::open(
        callers(&fleet, &other_hosts, 6)?,
        reqwest::Method::GET,
        "/lookup/1",
    );
    let before = fleet.records().await?.len();
    wait_until("requests run", TAKEOVER_LIMIT, || async {
        fleet
            .records()
            .await
            .is_ok_and(|records| records.len() > before + 50)
    })
    .await?;
    fleet.hosts[keeper].signal(ProcessSignal::Kill);
    let killed_us = wall_us();
    wait_until("requests run after the kill", TAKEOVER_LIMIT, || async {
        let records = fleet.records().await.unwrap_or_default();
        let later = records
            .iter()
            .filter(|run| run.start_us > killed_us + 3_500_000);
        later.count() > 50
    })
    .await?;
    load.close().await?;
    for server in &fleet.servers {
        let summary = server.summary().await?;
        assert_eq!(
            (summary.cold_concurrent_max, summary.falls),
            (1, 0),
            "{}",
            server.name()
        );
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn lookups_continue_when_slot_keeper_of_cold_cell_stops() -> TestResult {
    let zones = ["a".to_owned()];
    let mut objects = basic_objects(&zones);
    let deadline = objects.routes[0].deadline;
    objects.services[0].cold_slots = 1;
    objects.services[0].warm_up = Duration::from_secs(600);
    let backend = BackendSettings {
        cold_slots: 1,
        cold: true,
        warm_ms: 600_000,
        work_ms: 30,
        ..Default::default()
    };
    let settings = FleetSettings {
        host_settings: serde_json::json!({ "lookup_keep_ms": 300 }),
        ..single_zone(objects, backend, 2)
    };
    let mut fleet = TestFleet::open(settings).await?;
    let keeper = wait_settled_keeper(&fleet, "cell/ledger/a").await?;
    let other_hosts: Vec<usize> = (0..3).filter(|host| *host != keeper).collect();
    let callers = callers(&fleet, &other_hosts, 2)?;
    let load = SteadyLoad::open(callers, reqwest::Method::GET, "/lookup/1");
    let before = fleet.records().await?.len();
    wait_until("requests run", TAKEOVER_LIMIT, || async {
        let records = fleet.records().await;
        records.is_ok_and(|records| records.len() > before + 50)
    })
    .await?;
    fleet.hosts[keeper].signal(ProcessSignal::Terminate);
    fleet.hosts[keeper].wait(TAKEOVER_LIMIT).await?;
    let left_us = wall_us();
    wait_until("requests run after the stop", TAKEOVER_LIMIT, || async {
        let records = fleet.records().await.unwrap_or_default();
        let later = records.iter().filter(|run| run.start_us > left_us);
        later.count() > 50
    })
    .await?;
    let gap = longest_gap(&load.close().await?);
    println!("slot keeper stopped: longest time without a served lookup {gap:?}");
    for server in &fleet.servers {
        let summary = server.summary().await?;
        assert_eq!((summary.cold_concurrent_max, summary.falls), (1, 0));
    }
    assert!(
        gap < deadline,
        "expected a served lookup within {deadline:?}, longest gap {gap:?}"
    );
    fleet.close().await;
    Ok(())
}

/// Sends bookings and lookups through the hosts that are not the slot keeper of
/// the cell, and sends `signal` to the slot keeper meanwhile.
async fn check_keeper_loss(signal: ProcessSignal) -> TestResult {
    let zones = ["a".to_owned()];
    let objects = basic_objects(&zones);
    let deadline = objects.routes[0].deadline;
    let backend = BackendSettings {
        slots: 8,
        cold_slots: 4,
        work_ms: 20,
        ..Default::default()
    };
    let mut fleet = TestFleet::open(single_zone(objects, backend, 4)).await?;
    let keeper = wait_settled_keeper(&fleet, "cell/ledger/a").await?;
    let other_hosts: Vec<usize> = (0..3).filter(|host| *host != keeper).collect();
    let lookups = SteadyLoad::open(
        callers(&fleet, &other_hosts, 6)?,
        reqwest::Method::GET,
        "/lookup/1",
    );
    let bookings = SteadyLoad::open(
        callers(&fleet, &other_hosts, 3)?,
        reqwest::Method::POST,
        "/book/1",
    );
    // Time for the servers to warm up and for the slot keeper to learn of it.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.hosts[keeper].signal(signal);
    wait_until("another host is slot keeper", TAKEOVER_LIMIT, || async {
        fleet
            .keeper_of("cell/ledger/a")
            .await
            .is_some_and(|now| now != keeper)
    })
    .await?;
    if matches!(signal, ProcessSignal::Stop) {
        fleet.hosts[keeper].signal(ProcessSignal::Continue);
    }
    tokio::time::sleep(deadline).await;
    let lookups = lookups.close().await?;
    let bookings = bookings.close().await?;
    let records = fleet.records().await?;
    assert_outcomes(RequestKind::NonIdempotent, &bookings, &records);
    assert!(bookings.iter().filter(|o| is_served(o)).count() > 100);
    let gap = longest_gap(&lookups);
    println!("slot keeper got {signal:?}: longest time without a served lookup {gap:?}");
    assert!(
        gap < deadline,
        "expected a served lookup within {deadline:?}, longest gap {gap:?}: {:?}",
        failures(&lookups)
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn outcomes_are_true_when_slot_keeper_is_killed() -> TestResult {
    check_keeper_loss(ProcessSignal::Kill).await
}

#[tokio::test]
async fn outcomes_are_true_when_slot_keeper_is_frozen() -> TestResult {
    check_keeper_loss(ProcessSignal::Stop).await
}

#[tokio::test]
async fn leaving_or_draining_server_gets_no_new_requests() -> TestResult {
    let zones = ["a".to_owned()];
    let objects = basic_objects(&zones);
    let backend = BackendSettings {
        slots: 8,
        cold_slots: 4,
        work_ms: 20,
        ..Default::default()
    };
    let fleet = TestFleet::open(single_zone(objects, backend, 3)).await?;
    let load = SteadyLoad::open(
        callers(&fleet, &[0, 1, 2], 3)?,
        reqwest::Method::GET,
        "/lookup/1",
    );
    let ran = |index: usize| {
        let server = &fleet.servers[index];
        async move { server.summary().await.map_or(0, |summary| summary.ran) }
    };
    wait_until("all servers run requests", TAKEOVER_LIMIT, || async {
        ran(0).await > 20 && ran(1).await > 20 && ran(2).await > 20
    })
    .await?;
    let leaving = &fleet.servers[0];
    let change = DirectoryChange::MarkLeaving {
        service: leaving.service().to_owned(),
        name: leaving.name().to_owned(),
    };
    fleet.platform.change_directory(vec![change]).await?;
    let draining = BackendControl {
        draining: Some(true),
        ..Default::default()
    };
    fleet.servers[1].control(&draining).await?;
    let leave_us = wall_us();
    tokio::time::sleep(LEAVE_LIMIT).await;
    let refused = fleet.servers[1].summary().await?.refused;
    let before = ran(2).await;
    wait_until(
        "the remaining server runs requests",
        TAKEOVER_LIMIT,
        || async { ran(2).await > before + 100 },
    )
    .await?;
    let limit_us = leave_us + LEAVE_LIMIT.as_micros() as u64;
    let leaving_records = fleet.servers[0].records().await?;
    assert_eq!(
        leaving_records
            .iter()
            .filter(|run| run.start_us > limit_us)
            .count(),
        0
    );
    assert_eq!(fleet.servers[1].summary().await?.refused, refused);
    let operations = load.close().await?;
    assert_eq!(failures(&operations), BTreeMap::new());
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn zone_that_is_out_gets_no_work_until_it_returns() -> TestResult {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let mut objects = basic_objects(&zones);
    let settings = FleetSettings {
        objects: StartObjects::Set(objects.clone()),
        servers: vec![ServerGroup {
            backend: BackendSettings {
                slots: 8,
                cold_slots: 4,
                work_ms: 20,
                ..Default::default()
            },
            ..Default::default()
        }],
        ..Default::default()
    };
    let fleet = TestFleet::open(settings).await?;
    let zone_records = || async {
        let mut runs = Vec::new();
        for server in fleet.servers.iter().filter(|server| server.zone() == "a") {
            runs.extend(server.records().await.unwrap_or_default());
        }
        runs
    };
    // These callers keep using the host of the zone although look-ups omit it.
    let inside = SteadyLoad::open(callers(&fleet, &[0], 3)?, reqwest::Method::GET, "/lookup/1");
    let outside = SteadyLoad::open(
        callers(&fleet, &[1, 2], 3)?,
        reqwest::Method::GET,
        "/lookup/2",
    );
    wait_until(
        "servers of the zone run requests",
        TAKEOVER_LIMIT,
        || async { zone_records().await.len() > 50 },
    )
    .await?;
    objects.zones[0].state = ZoneState::Out;
    fleet.publish(&objects).await?;
    let out_us = wall_us();
    tokio::time::sleep(LEAVE_LIMIT * 2).await;
    let runs = zone_records().await;
    let last_us = runs.iter().map(|run| run.start_us).max().unwrap_or(0);
    let limit_us = out_us + LEAVE_LIMIT.as_micros() as u64;
    assert!(
        last_us < limit_us,
        "expected no new requests after {LEAVE_LIMIT:?}, last one {} us after the change",
        last_us.saturating_sub(out_us)
    );
    objects.zones[0].state = ZoneState::In;
    fleet.publish(&objects).await?;
    wait_until(
        "servers of the zone run requests again",
        TAKEOVER_LIMIT,
        || async { zone_records().await.len() > runs.len() + 50 },
    )
    .await?;
    let outside = outside.close().await?;
    assert_eq!(failures(&outside), BTreeMap::new());
    let inside = inside.close().await?;
    let mut refused = failures(&inside);
    refused.remove("503 Some(\"not-run\") Some(\"zone-out\")");
    assert_eq!(refused, BTreeMap::new());
    assert_outcomes(RequestKind::Idempotent, &inside, &fleet.records().await?);
    fleet.close().await;
    Ok(())
}

/// An ejection that the arbiter granted, with its times by the wall clock.
#[derive(Clone, Debug)]
struct GrantedEjection {
    server: String,
    start_us: i64,
    end_us: i64,
}

/// Returns the largest number of servers that were ejected at the same time.
fn max_ejected_at_once(granted: &[GrantedEjection]) -> usize {
    let at_once = granted.iter().map(|ejection| {
        let is_held = |other: &&GrantedEjection| {
            other.start_us <= ejection.start_us && ejection.start_us < other.end_us
        };
        let held = granted.iter().filter(is_held);
        held.map(|other| &other.server)
            .collect::<BTreeSet<_>>()
            .len()
    });
    at_once.max().unwrap_or(0)
}

async fn granted_ejections(fleet: &TestFleet) -> Vec<GrantedEjection> {
    let mut granted = Vec::new();
    for host in 0..fleet.hosts.len() {
        for event in fleet.events(host).await.expect("the host answers") {
            let fields = &event["fields"];
            if event["name"] == "ejection" && fields["granted"] == "true" {
                let start_us = event["wall_us"].as_i64().expect("wall_us is an integer");
                let held_us = fields["held_us"].as_str().expect("held_us is a string");
                let held_us: i64 = held_us.parse().expect("held_us is a number");
                granted.push(GrantedEjection {
                    server: fields["server"]
                        .as_str()
                        .expect("server is a string")
                        .to_owned(),
                    start_us,
                    end_us: start_us + held_us,
                });
            }
        }
    }
    granted
}

#[tokio::test]
async fn ejections_respect_floor_when_servers_fail_in_all_zones() -> TestResult {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let mut objects = basic_objects(&zones);
    objects.services[0].floor = 7;
    let settings = FleetSettings {
        objects: StartObjects::Set(objects),
        servers: vec![ServerGroup {
            per_zone: 3,
            backend: BackendSettings {
                slots: 8,
                cold_slots: 4,
                work_ms: 20,
                ..Default::default()
            },
            ..Default::default()
        }],
        ..Default::default()
    };
    let fleet = TestFleet::open(settings).await?;
    let load = SteadyLoad::open(
        callers(&fleet, &[0, 1, 2], 6)?,
        reqwest::Method::GET,
        "/lookup/1",
    );
    wait_until("all servers run requests", TAKEOVER_LIMIT, || async {
        let mut fewest_runs = u64::MAX;
        for server in &fleet.servers {
            fewest_runs = fewest_runs.min(server.summary().await.map_or(0, |summary| summary.ran));
        }
        fewest_runs > 200
    })
    .await?;
    // One server of three fails in each zone, three in all; a floor of 7 of the 9
    // servers allows two ejections.
    for zone in &zones {
        let failing_server = fleet
            .servers
            .iter()
            .find(|server| server.zone() == zone.as_str());
        let failing_server = failing_server.expect("each zone has servers");
        failing_server
            .set_faults(vec![GrayFault::always(GrayMode::Error)])
            .await?;
    }
    wait_until("two servers are ejected", TAKEOVER_LIMIT, || async {
        max_ejected_at_once(&granted_ejections(&fleet).await) >= 2
    })
    .await?;
    // Time for ejections to end and for an ejection of the third server.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let granted = granted_ejections(&fleet).await;
    load.close().await?;
    assert_eq!(
        max_ejected_at_once(&granted),
        2,
        "expected two servers ejected at once: {granted:?}"
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn flood_of_one_workspace_causes_no_refusals_for_another() -> TestResult {
    const REQUESTS: usize = 100;
    let zones = ["a".to_owned()];
    let mut objects = basic_objects(&zones);
    objects.services[0].slots = 2;
    objects.services[0].cold_slots = 2;
    let backend = BackendSettings {
        cold_slots: 2,
        work_ms: 50,
        ..Default::default()
    };
    let fleet = TestFleet::open(single_zone(objects, backend, 2)).await?;
    // Ten times as many callers as slots, so that the flood alone can take all
    // slots.
    let flood = callers(&fleet, &[0, 1, 2], 14)?;
    let flood = flood.iter().map(|caller| caller.with_key(SOUTH_KEY));
    let flood = SteadyLoad::open(flood.collect(), reqwest::Method::GET, "/lookup/1");
    let ran = || async {
        let records = fleet.records().await.unwrap_or_default();
        let south = records.iter().filter(|run| run.workspace == "south");
        south.count()
    };
    wait_until("requests of the flood run", TAKEOVER_LIMIT, || async {
        ran().await > 50
    })
    .await?;
    let mut refused = Vec::new();
    for number in 0..REQUESTS {
        let caller = fleet.caller(number % 3, NORTH_KEY)?;
        let answer = caller.get("/lookup/2").await?;
        if answer.status != 200 {
            refused.push((answer.status, answer.reason));
        }
    }
    assert_eq!(refused, []);
    let records = fleet.records().await?;
    let north = records.iter().filter(|run| run.path == "/lookup/2");
    assert_eq!(north.count(), REQUESTS);
    let flood = flood.close().await?;
    assert_outcomes(RequestKind::Idempotent, &flood, &fleet.records().await?);
    fleet.close().await;
    Ok(())
}
