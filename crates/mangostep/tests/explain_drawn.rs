//! Ten failed requests, drawn by seed from runs with faults: `mangostep
//! explain` names the injected cause of each from the hosts' logs alone.

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

/// Time for the log's writer.
const LOG_PAUSE: Duration = Duration::from_millis(600);

const LIMIT: Duration = Duration::from_secs(5);

/// A cause that a test injects.
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

    fn mood(self) -> AnswerMode {
        match self {
            InjectedCause::Resets => AnswerMode::ResetsAfterRun,
            InjectedCause::Hangs => AnswerMode::Hangs,
            InjectedCause::Fails => AnswerMode::Fails,
            InjectedCause::Unsigned => AnswerMode::Unsigned,
            InjectedCause::Sheds => AnswerMode::Sheds,
            _ => AnswerMode::Healthy,
        }
    }

    /// What `explain` must say.
    fn words(self) -> &'static str {
        match self {
            InjectedCause::Resets => "failed it (closed)",
            InjectedCause::Hangs => "gave no answer in time",
            InjectedCause::Fails => "answered with an error",
            InjectedCause::Unsigned => "failed it (spoiled answer)",
            InjectedCause::Sheds => "no server could take it: turned away",
            InjectedCause::OverLimit => "workspace tight is over its limit, as host",
            InjectedCause::UnknownKey => "its key is unknown to the version in force",
            InjectedCause::NoRoute => "no route takes it",
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

/// Sends requests until one fails for the cause, and returns its id.
async fn failed_request(fleet: &EntryFleet, cause: InjectedCause, draw: u64) -> String {
    fleet.set_plan(
        0,
        AnswerPlan {
            mode: cause.mood(),
            ..Default::default()
        },
    );
    let mut random = SmallRng::seed_from_u64(SEED ^ draw);
    let mut failed = None;
    for number in 0..20 {
        let id = format!("{cause:?}-{draw}-{number}");
        let host = &fleet.hosts[random.random_range(0..fleet.hosts.len())];
        let front = host.addresses().front;
        let mut caller = CallerConnection::open(front, LIMIT)
            .await
            .expect("the host listens");
        let ask = RequestSpec {
            method: "POST",
            path: cause.path(),
            id: &id,
            key: cause.key(),
            deadline_ms: 700,
        };
        let answer = caller.request(ask, LIMIT).await.expect("the host answers");
        if answer.status != 200 {
            failed = Some(id);
            break;
        }
    }
    fleet.set_plan(0, AnswerPlan::default());
    failed.expect("a request fails for the cause")
}

fn logs(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder is there");
    let paths = entries.map(|entry| entry.expect("it can be read").path());
    paths
        .filter(|path| path.extension().is_some_and(|e| e == "out"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_names_the_cause_of_ten_drawn_failures() {
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
    tokio::time::sleep(LOG_PAUSE).await;
    for (id, cause) in failed {
        let output = Command::new(env!("CARGO_BIN_EXE_mangostep"))
            .arg("explain")
            .arg(&id)
            .args(logs(fleet.directory()))
            .output()
            .expect("the command runs");
        let story = String::from_utf8(output.stdout).expect("it is text");
        let told = story.lines().last().unwrap_or_default();
        assert!(
            told.starts_with("cause: ") && told.contains(cause.words()),
            "{id}: {told}\n{story}"
        );
    }
    fleet.close();
}
