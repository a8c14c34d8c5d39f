use std::path::{Path, PathBuf};

use {
    mangostep_policy::replay::{ReplayReport, Trace},
    pico_args::Arguments,
};

use crate::command::{CommandError, free_arguments};

pub(crate) const USAGE: &str = "\
mangostep replay: runs recorded events through the policies

Usage: mangostep replay [--json] TRACE-or-DIR...

Each trace is run through the policy that its first line names, and what comes
of it is compared with the outcomes that the trace states. Of a directory, the
files that end in .jsonl are run, by name.

Options:
  --json   one JSON object for each trace
  --help   show this text

Exit codes: 0 all traces agree, 1 some disagree, 2 some cannot be read
";

/// How many traces there were, by what came of them.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayCounts {
    agree: usize,
    disagree: usize,
    unreadable: usize,
}

/// Replays traces and compares with their stated outcomes.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let paths = free_arguments(arguments)?;
    if paths.is_empty() {
        return Err(CommandError::Usage("replay: which trace?".to_owned()));
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
        return Err(format!("{}: no file ends in .jsonl", path.display()));
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
        None => println!("{name}: agrees ({events} events, {outcomes} stated outcomes)"),
        Some(found) => println!(
            "{file}:{}: at {} us expected {}, got {}",
            found.line,
            found.at.as_micros(),
            found.expected,
            found.got,
        ),
    }
}
