//! Runs the `replay` command on the recorded traces and on altered ones.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn replay(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mangostep"))
        .arg("replay")
        .args(arguments)
        .output()
        .unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Writes a trace to a file of the given name and replays it.
fn replay_text(name: &str, text: &str) -> (PathBuf, Output) {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    let output = replay(&[file.to_str().unwrap()]);
    (file, output)
}

#[test]
fn all_recorded_traces_agree() {
    let output = replay(&[traces().to_str().unwrap()]);
    let lines = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{lines}{}", stderr(&output));
    assert!(lines.lines().count() >= 10, "{lines}");
    assert!(
        lines.lines().all(|line| line.contains(": agrees (")),
        "{lines}"
    );
}

#[test]
fn json_report_contains_trace_name() {
    let file = traces().join("retries.jsonl");
    let output = replay(&["--json", file.to_str().unwrap()]);
    let report: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(report["name"], "retries");
    assert_eq!(report["disagreement"], serde_json::Value::Null);
}

#[test]
fn changed_outcome_is_reported_with_its_line() {
    let text = std::fs::read_to_string(traces().join("retries.jsonl")).unwrap();
    let line = text.lines().position(|line| line.contains("\"not-run\""));
    let number = line.unwrap() + 1;
    let changed = text.replacen("\"not-run\"", "\"unknown\"", 1);
    let (file, output) = replay_text("changed-retries.jsonl", &changed);
    assert_eq!(output.status.code(), Some(1));
    let expected = format!("{}:{number}: ", file.display());
    let lines = stdout(&output);
    assert!(lines.starts_with(&expected), "{lines}");
    assert!(lines.contains("expected unknown, got not-run"), "{lines}");
}

#[test]
fn unexpected_ejection_is_reported() {
    let text = std::fs::read_to_string(traces().join("refunds-gray-errors.jsonl")).unwrap();
    let kept: Vec<&str> = text
        .lines()
        .filter(|line| !line.contains("\"expect\""))
        .collect();
    let (file, output) = replay_text("no-expectation.jsonl", &kept.join("\n"));
    assert_eq!(output.status.code(), Some(1));
    let lines = stdout(&output);
    assert!(
        lines.starts_with(&format!("{}:", file.display())),
        "{lines}"
    );
    assert!(
        lines.contains("expected no ejection of refunds-03"),
        "{lines}"
    );
}

#[test]
fn missing_ejection_is_reported_with_its_line() {
    let text = std::fs::read_to_string(traces().join("refunds-gray-errors.jsonl")).unwrap();
    let without_failures = text.replace("\"server-error\"", "\"answered\"");
    let number = text
        .lines()
        .position(|line| line.contains("\"expect\""))
        .unwrap()
        + 1;
    let (file, output) = replay_text("no-failures.jsonl", &without_failures);
    assert_eq!(output.status.code(), Some(1));
    let expected = format!("{}:{number}: ", file.display());
    assert!(
        stdout(&output).starts_with(&expected),
        "{}",
        stdout(&output)
    );
}

#[test]
fn malformed_trace_is_reported_with_file_and_line() {
    let header = r#"{"trace":1,"name":"x","about":"y","machine":{"detector":{}}}"#;
    let event = r#"{"at":5,"judge":{}}"#;
    let cases = [
        ("empty.jsonl", String::new(), 1),
        ("no-header.jsonl", format!("{event}\n"), 1),
        ("version.jsonl", header.replace(":1,", ":9,"), 1),
        (
            "cut.jsonl",
            format!("{header}\n{event}\n{{\"at\":6,\"jud"),
            3,
        ),
        (
            "backwards.jsonl",
            format!("{header}\n{event}\n{{\"at\":4,\"judge\":{{}}}}"),
            3,
        ),
        (
            "unknown.jsonl",
            format!("{header}\n{{\"at\":4,\"guess\":{{}}}}"),
            2,
        ),
    ];
    for (name, text, line) in cases {
        let (file, output) = replay_text(name, &text);
        assert_eq!(output.status.code(), Some(2), "{name}");
        let expected = format!("replay: {}:{line}: ", file.display());
        assert!(
            stderr(&output).starts_with(&expected),
            "{}",
            stderr(&output)
        );
    }
}

#[test]
fn usage_errors_exit_with_2_and_help_with_0() {
    assert_eq!(replay(&[]).status.code(), Some(2));
    assert_eq!(replay(&["--wrong"]).status.code(), Some(2));
    assert_eq!(replay(&["no-such-file.jsonl"]).status.code(), Some(2));
    let help = replay(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(stdout(&help).contains("Exit codes"));
}
