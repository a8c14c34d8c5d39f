//! The operators' commands against a running fleet.

use std::{path::Path, process::Output};

use standins::fleet::{FleetSettings, ProcessSignal, StartObjects, TestFleet, basic_objects};

type TestResult = Result<(), Box<dyn std::error::Error>>;

struct OperatorShell {
    fleet: TestFleet,
    program: std::path::PathBuf,
}

impl OperatorShell {
    async fn open(hosts_per_zone: usize) -> Result<Self, Box<dyn std::error::Error>> {
        let fleet = TestFleet::open(FleetSettings {
            zones: vec!["a".to_owned()],
            hosts_per_zone,
            objects: StartObjects::Basic,
            ..Default::default()
        })
        .await?;
        let test = std::env::current_exe()?;
        let target = test
            .parent()
            .and_then(Path::parent)
            .ok_or("no target directory")?;
        Ok(OperatorShell {
            fleet,
            program: target.join("mangostep"),
        })
    }

    async fn run(&self, arguments: &[&str]) -> std::io::Result<Output> {
        let platform = format!("http://{}", self.fleet.platform.address());
        let access = ["--fleet", self.fleet.name(), "--platform", &platform];
        tokio::process::Command::new(&self.program)
            .args(arguments)
            .args(if arguments[0] == "check" {
                &[][..]
            } else {
                &access[..]
            })
            .output()
            .await
    }

    fn write_objects(&self, name: &str, text: &str) -> std::io::Result<String> {
        let path = self.fleet.directory().join(name);
        std::fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The objects of the fleet as an operator would write them.
fn object_text(zone: &str) -> Result<String, Box<dyn std::error::Error>> {
    let set = serde_json::to_value(basic_objects(&[zone.to_owned()]))?;
    let lists = [
        ("zones", "zone"),
        ("services", "service"),
        ("limits", "limit"),
        ("workspaces", "workspace"),
        ("keys", "key"),
        ("routes", "route"),
    ];
    let mut objects = Vec::new();
    for (list, kind) in lists {
        for object in set[list].as_array().ok_or("no list")? {
            let mut object = object.clone();
            object["kind"] = kind.into();
            objects.push(object);
        }
    }
    Ok(serde_json::json!({ "objects": objects }).to_string())
}

#[tokio::test]
async fn of_two_operators_one_publishes_and_one_learns_of_it() -> TestResult {
    let shell = OperatorShell::open(3).await?;
    let file = shell.write_objects("objects.jsonc", &object_text("a")?)?;
    let first = ["publish", "--from", "1", "--author", "aigul", &file];
    let second = ["publish", "--from", "1", "--author", "bruno", &file];
    let (first, second) = tokio::join!(shell.run(&first), shell.run(&second));
    let (first, second) = (first?, second?);
    let codes = [first.status.code(), second.status.code()];
    assert!(
        codes.contains(&Some(0)) && codes.contains(&Some(1)),
        "{first:?} {second:?}"
    );
    let (winner, loser, author) = match first.status.success() {
        true => (first, second, "aigul"),
        false => (second, first, "bruno"),
    };
    assert!(
        text(&winner.stdout).contains("in force: version 2"),
        "{winner:?}"
    );
    let told = text(&loser.stderr);
    assert!(
        told.contains("edited from version 1, but version 2 is in force"),
        "{told}"
    );
    assert!(told.contains(&format!("by {author}")), "{told}");
    shell.fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_faulty_set_is_told_and_changes_nothing() -> TestResult {
    let shell = OperatorShell::open(1).await?;
    let faulty = r#"{ "objects": [
        { "kind": "workspace", "name": "w", "limit": "none" },
        { "kind": "zone", "name": "a", "region": "r", "return_ramp_ms": "5s" }
    ] }"#;
    let file = shell.write_objects("faulty.jsonc", faulty)?;
    for command in [vec!["check", &file], vec!["publish", "--from", "1", &file]] {
        let output = shell.run(&command).await?;
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let told = text(&output.stderr);
        assert!(told.contains("faulty.jsonc:2: workspace w: limit: there is no limit `none`"));
        assert!(
            told.contains("faulty.jsonc:3: zone a: return_ramp_ms: "),
            "{told}"
        );
    }
    let status = shell.run(&["status", "--json"]).await?;
    assert!(
        text(&status.stdout).contains(r#""version":1"#),
        "{status:?}"
    );
    shell.fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn without_a_majority_nothing_is_published() -> TestResult {
    let mut shell = OperatorShell::open(3).await?;
    let file = shell.write_objects("objects.jsonc", &object_text("a")?)?;
    shell.fleet.hosts[0].signal(ProcessSignal::Stop);
    shell.fleet.hosts[1].signal(ProcessSignal::Stop);
    let refused = shell.run(&["publish", "--from", "1", &file]).await?;
    assert_eq!(refused.status.code(), Some(1));
    assert!(text(&refused.stderr).contains("refused: "), "{refused:?}");
    let forced = [
        "publish",
        "--from",
        "1",
        "--without-hosts",
        "--wait-s",
        "5",
        &file,
    ];
    let forced = shell.run(&forced).await?;
    let told = text(&forced.stderr);
    assert!(
        told.contains("accepted: version 2, but not in force on "),
        "{told}"
    );
    shell.fleet.signal_hosts(ProcessSignal::Continue);
    shell.fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn status_and_timeline_show_a_host_that_is_gone() -> TestResult {
    let mut shell = OperatorShell::open(2).await?;
    let status = shell.run(&["status"]).await?;
    assert_eq!(status.status.code(), Some(0), "{status:?}");
    let gone = shell.fleet.hosts[1].name().to_owned();
    shell.fleet.hosts[1].signal(ProcessSignal::Kill);
    let status = shell.run(&["status"]).await?;
    assert_eq!(status.status.code(), Some(1));
    assert!(text(&status.stdout).contains("no answer"), "{status:?}");
    let timeline = text(&shell.run(&["timeline"]).await?.stdout);
    assert!(timeline.contains("version-in-force"), "{timeline}");
    let gap = timeline.lines().find(|line| line.contains(" gap "));
    assert!(gap.is_some_and(|line| line.contains(&gone)), "{timeline}");
    let page = shell.fleet.directory().join("page.html");
    let page_name = page.to_string_lossy().into_owned();
    let html = shell.run(&["timeline", "--html", &page_name]).await?;
    assert!(html.status.success(), "{html:?}");
    assert!(std::fs::read_to_string(&page)?.contains("class=\"gap\""));
    shell.fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_wrong_command_line_ends_with_2() -> TestResult {
    let shell = OperatorShell::open(1).await?;
    for arguments in [
        vec!["publish"],
        vec!["status", "--colour"],
        vec!["nothing"],
        vec!["check"],
    ] {
        let output = shell.run(&arguments).await?;
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
    }
    for command in ["serve", "check", "publish", "status", "timeline"] {
        let output = shell.run(&[command, "--help"]).await?;
        assert!(
            output.status.success() && text(&output.stdout).contains("Usage: "),
            "{command}"
        );
    }
    shell.fleet.close().await;
    Ok(())
}
