use std::{path::PathBuf, process::Command, time::Duration};

use standins::fleet::{ProcessSignal, TestFleet};

use crate::{
    open_three,
    rows::{FleetRows, TAKEOVER_LIMIT, TestResult, wait_rows},
};

/// Longer than any takeover from one lapsed host.
const NOTHING_TAKEN_FOR: Duration = Duration::from_secs(12);

#[tokio::test]
async fn a_lost_majority_is_dropped_by_the_operator() -> TestResult {
    let mut fleet = open_three(Default::default()).await?;
    let before = FleetRows::read(&fleet).await;
    fleet.hosts[0].signal(ProcessSignal::Kill);
    fleet.hosts[1].signal(ProcessSignal::Kill);
    let end = tokio::time::Instant::now() + NOTHING_TAKEN_FOR;
    while tokio::time::Instant::now() < end {
        let rows = FleetRows::read(&fleet).await;
        assert_eq!(rows.holders, before.holders, "one of three is no majority");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let refused = members(&fleet, &["drop", "a0", "c0", "--dead"])?;
    assert_eq!(refused.code, 1, "c0 renews: {}", refused.text);
    assert_eq!(FleetRows::read(&fleet).await.members, before.members);
    let dropped = members(&fleet, &["drop", "a0", "b0", "--dead"])?;
    assert_eq!(dropped.code, 0, "{}", dropped.text);
    wait_rows(&fleet, "taken over", TAKEOVER_LIMIT, |rows| {
        rows.members.members() == ["c0"] && rows.held_by("c0") == rows.holders.len()
    })
    .await?;
    let shown = members(&fleet, &[])?;
    assert!(
        shown.text.contains("1 of 1 members renew"),
        "{}",
        shown.text
    );
    fleet.close().await;
    Ok(())
}

struct CommandEnd {
    code: i32,
    text: String,
}

/// Runs `mangostep members` against the fleet's platform.
fn members(fleet: &TestFleet, words: &[&str]) -> Result<CommandEnd, Box<dyn std::error::Error>> {
    let platform = format!("http://{}", fleet.platform.address());
    let output = Command::new(program()?)
        .arg("members")
        .args(words)
        .args(["--fleet", fleet.name(), "--platform", &platform])
        .output()?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(CommandEnd {
        code: output.status.code().unwrap_or(-1),
        text,
    })
}

/// The program that the harness has built beside this test.
fn program() -> Result<PathBuf, Box<dyn std::error::Error>> {
    let exe = std::env::current_exe()?;
    let profile = exe.ancestors().nth(2).ok_or("no target directory")?;
    Ok(profile.join("mangostep"))
}
