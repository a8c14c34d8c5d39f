//! Fails ten requests by faults drawn from a seed, and checks that `mangostep
//! explain` derives the injected cause of each from the hosts' logs alone.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    standins::{
        AnswerMode, AnswerPlan, CallerConnection, RequestSpec,
        entry_fleet::{
            EntryConfiguration, EntryFleet, EntryFleetSettings, EntryServerGroup, EntryWorkspace,
        },
    },
};

const SEED: u64 = 20_261_204;

/// Time within which hosts write their buffered log lines.
const LOG_FLUSH_PERIOD: Duration = Duration::from_millis(600);

/// Bound for a connection and for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Fault that makes a request fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InjectedCause {
    Resets,
    Hangs,
    Fails,
    Unsigned,
    Sheds,
    OverLimit,
    UnknownKey,
    NoRoute,
}

impl InjectedCause {
    const ALL: [InjectedCause; 8] = [
        InjectedCause::Resets,
        InjectedCause::Hangs,
        InjectedCause::Fails,
        InjectedCause::Unsigned,
        InjectedCause::Sheds,
        InjectedCause::OverLimit,
        InjectedCause::UnknownKey,
        InjectedCause::NoRoute,
    ];

    fn mode(self) -> AnswerMode {
        match self {
            InjectedCause::Resets => AnswerMode::ResetsAfterRun,
            InjectedCause::Hangs => AnswerMode::Hangs,
            InjectedCause::Fails => AnswerMode::Fails,
            InjectedCause::Unsigned => AnswerMode::Unsigned,
            InjectedCause::Sheds => AnswerMode::Sheds,
            _ => AnswerMode::Healthy,
        }
    }

    /// Part of the cause that `explain` must print.
    fn expected_cause(self) -> &'static str {
        match self {
            InjectedCause::Resets => "failed (closed)",
            InjectedCause::Hangs => "did not answer in time",
            InjectedCause::Fails => "answered with an error",
            InjectedCause::Unsigned => "failed (spoiled answer)",
            InjectedCause::Sheds => "no server could accept the request: turned away",
            InjectedCause::OverLimit => "workspace tight is over its limit, as host",
            InjectedCause::UnknownKey => "its key is not in the configuration in force",
            InjectedCause::NoRoute => "no route matches the request",
        }
    }

    fn key(self) -> &'static str {
        match self {
            InjectedCause::OverLimit => "tight-key",
            InjectedCause::UnknownKey => "no-key",
            _ => "north-key",
        }
    }

    fn path(self) -> &'static str {
        match self {
            InjectedCause::NoRoute => "/elsewhere/1",
            _ => "/book-ledger/1",
        }
    }
}

fn settings() -> EntryFleetSettings {
    let workspace = |name: &str, rate_per_s| EntryWorkspace {
        name: name.to_owned(),
        keys: vec![format!("{name}-key")],
        rate_per_s,
        burst: rate_per_s,
    };
    EntryFleetSettings {
        hosts_per_zone: 1,
        servers: vec![EntryServerGroup {
            service: "ledger".to_owned(),
            per_zone: 2,
        }],
        configuration: EntryConfiguration {
            workspaces: vec![workspace("north", 1_000.0), workspace("tight", 1.0)],
            ..Default::default()
        },
        shares_plan: true,
        seed: SEED,
        ..Default::default()
    }
}

/// Injects the fault, sends requests until one fails, and returns its ID.
async fn failed_request(fleet: &EntryFleet, cause: InjectedCause, draw: u64) -> String {
    fleet.set_plan(
        0,
        AnswerPlan {
            mode: cause.mode(),
            ..Default::default()
        },
    );
    let mut random = SmallRng::seed_from_u64(SEED ^ draw);
    let mut failed = None;
    for number in 0..20 {
        let id = format!("{cause:?}-{draw}-{number}");
        let host = &fleet.hosts[random.random_range(0..fleet.hosts.len())];
        let front = host.addresses().front;
        let mut caller = CallerConnection::open(front, CALLER_TIMEOUT)
            .await
            .expect("the host listens");
        let ask = RequestSpec {
            method: "POST",
            path: cause.path(),
            id: &id,
            key: cause.key(),
            deadline_ms: 700,
        };
        let answer = caller
            .request(ask, CALLER_TIMEOUT)
            .await
            .expect("the host answers");
        if answer.status != 200 {
            failed = Some(id);
            break;
        }
    }
    fleet.set_plan(0, AnswerPlan::default());
    failed.expect("one of 20 requests fails")
}

fn log_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("the directory can be read");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    paths
        .filter(|path| path.extension().is_some_and(|e| e == "out"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_reports_the_injected_cause_of_ten_drawn_failures() {
    let fleet = EntryFleet::open(settings())
        .await
        .expect("the fleet starts");
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut causes = InjectedCause::ALL.to_vec();
    causes.extend((0..2).map(|_| InjectedCause::ALL[random.random_range(0..8)]));
    causes.shuffle(&mut random);
    let mut failed: BTreeMap<String, InjectedCause> = BTreeMap::new();
    for (draw, cause) in causes.into_iter().enumerate() {
        failed.insert(failed_request(&fleet, cause, draw as u64).await, cause);
    }
    assert_eq!(failed.len(), 10);
    tokio::time::sleep(LOG_FLUSH_PERIOD).await;
    for (id, cause) in failed {
        let output = Command::new(env!("CARGO_BIN_EXE_mangostep"))
            .arg("explain")
            .arg(&id)
            .args(log_files(fleet.directory()))
            .output()
            .expect("the command runs");
        let printed = String::from_utf8(output.stdout).expect("the output is UTF-8");
        let cause_line = printed.lines().last().unwrap_or_default();
        assert!(
            cause_line.starts_with("cause: ") && cause_line.contains(cause.expected_cause()),
            "{id}: {cause_line}\n{printed}"
        );
    }
    fleet.close();
}
