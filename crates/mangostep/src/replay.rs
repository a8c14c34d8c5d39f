use std::path::{Path, PathBuf};

use {
    mangostep_policy::replay::{ReplayReport, Trace},
    pico_args::Arguments,
};

use crate::command::{CommandError, positional_arguments};

pub(crate) const USAGE: &str = "\
Replay recorded events and compare the decisions of the policies with the
expected outcomes.

Usage: mangostep replay [--json] PATH...

PATH is a trace, or a directory whose *.jsonl files are replayed in the order of
their names. The first line of a trace names the policy, which handles the
events of the trace.

  --json   print one JSON object for each trace

Exit codes: 0 all traces agree, 1 some disagree, 2 some cannot be read.
";

/// Number of traces by result.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayCounts {
    agree: usize,
    disagree: usize,
    unreadable: usize,
}

/// Replays traces and compares the decisions with the expected outcomes.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let paths = positional_arguments(arguments)?;
    if paths.is_empty() {
        return Err(CommandError::Usage("replay: no trace given".to_owned()));
    }
    let mut counts = ReplayCounts::default();
    for path in paths {
        match trace_files(Path::new(&path)) {
            Ok(files) => files
                .iter()
                .for_each(|file| replay_file(file, as_json, &mut counts)),
            Err(message) => {
                eprintln!("replay: {message}");
                counts.unreadable += 1;
            }
        }
    }
    counts.into_result()
}

impl ReplayCounts {
    fn into_result(self) -> Result<(), CommandError> {
        let all = self.agree + self.disagree + self.unreadable;
        if self.unreadable > 0 {
            let message = format!("{} of {all} traces cannot be read", self.unreadable);
            return Err(CommandError::Malformed(message));
        }
        if self.disagree > 0 {
            let message = format!("{} of {all} traces disagree", self.disagree);
            return Err(CommandError::Failed(message));
        }
        Ok(())
    }
}

fn trace_files(path: &Path) -> Result<Vec<PathBuf>, String> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let failed = |err: std::io::Error| format!("{}: {err}", path.display());
    let mut files = Vec::new();
    for entry in path.read_dir().map_err(failed)? {
        let file = entry.map_err(failed)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            files.push(file);
        }
    }
    if files.is_empty() {
        return Err(format!(
            "{}: no *.jsonl file in this directory",
            path.display()
        ));
    }
    files.sort();
    Ok(files)
}

fn replay_file(file: &Path, as_json: bool, counts: &mut ReplayCounts) {
    let trace = match read_trace(file) {
        Ok(trace) => trace,
        Err(message) => {
            eprintln!("replay: {message}");
            counts.unreadable += 1;
            return;
        }
    };
    let report = trace.replay();
    match as_json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => print_report(&report),
    }
    match report.disagreement {
        Some(_) => counts.disagree += 1,
        None => counts.agree += 1,
    }
}

fn read_trace(file: &Path) -> Result<Trace, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    Trace::parse(&name, &text).map_err(|err| err.to_string())
}

fn print_report(report: &ReplayReport) {
    let ReplayReport {
        file,
        name,
        events,
        outcomes,
        ..
    } = report;
    match &report.disagreement {
        None => println!("{name}: agrees ({events} events, {outcomes} expected outcomes)"),
        Some(disagreement) => println!(
            "{file}:{}: at {} us expected {}, got {}",
            disagreement.line,
            disagreement.at.as_micros(),
            disagreement.expected,
            disagreement.got,
        ),
    }
}
