use std::{path::PathBuf, process::Command, time::Duration};

use standins::fleet::{ProcessSignal, TestFleet};

use crate::{
    open_fleet,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, wait_rows},
};

/// Time during which no takeover may happen; longer than any takeover from a
/// single lapsed host.
const NO_TAKEOVER_FOR: Duration = Duration::from_secs(12);

#[tokio::test]
async fn operator_drops_dead_majority() -> TestResult {
    let mut fleet = open_fleet(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].signal(ProcessSignal::Kill);
    fleet.hosts[1].signal(ProcessSignal::Kill);
    let end = tokio::time::Instant::now() + NO_TAKEOVER_FOR;
    while tokio::time::Instant::now() < end {
        let rows = FleetRows::read(&fleet).await;
        assert_eq!(
            rows.holders, before.holders,
            "expected no takeover without a majority"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let refusal = run_members(&fleet, &["drop", "a0", "c0", "--dead"])?;
    assert_eq!(
        refusal.code, 1,
        "expected a refusal to drop c0, which renews its lease: {}",
        refusal.text
    );
    assert_eq!(FleetRows::read(&fleet).await.members, before.members);
    let dropped = run_members(&fleet, &["drop", "a0", "b0", "--dead"])?;
    assert_eq!(dropped.code, 0, "{}", dropped.text);
    wait_rows(
        &fleet,
        "c0 takes over all resources",
        TAKEOVER_LIMIT,
        |rows| rows.members.members() == ["c0"] && rows.held_by("c0") == rows.holders.len(),
    )
    .await?;
    let shown = run_members(&fleet, &[])?;
    assert!(
        shown.text.contains("1 of 1 members renew"),
        "{}",
        shown.text
    );
    fleet.close().await;
    Ok(())
}

struct CommandResult {
    code: i32,
    text: String,
}

/// Runs `mangostep members` against the fleet's platform.
fn run_members(
    fleet: &TestFleet,
    arguments: &[&str],
) -> Result<CommandResult, Box<dyn std::error::Error>> {
    let platform = format!("http://{}", fleet.platform.address());
    let output = Command::new(program_path()?)
        .arg("members")
        .args(arguments)
        .args(["--fleet", fleet.name(), "--platform", &platform])
        .output()?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(CommandResult {
        code: output.status.code().unwrap_or(-1),
        text,
    })
}

/// Returns the path of the program, which the harness builds into the target
/// directory of this test.
fn program_path() -> Result<PathBuf, Box<dyn std::error::Error>> {
    let exe = std::env::current_exe()?;
    let profile = exe.ancestors().nth(2).ok_or("no target directory")?;
    Ok(profile.join("mangostep"))
}
