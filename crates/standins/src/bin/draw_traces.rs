//! Regenerates the recorded traces of `traces/` in a given directory.

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let Some(directory) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("Usage: draw_traces DIRECTORY");
        return ExitCode::from(2);
    };
    for trace in standins::workload::recorded_traces() {
        let path = directory.join(&trace.file);
        if let Err(err) = std::fs::write(&path, &trace.text) {
            eprintln!("draw_traces: {}: {err}", path.display());
            return ExitCode::FAILURE;
        }
        println!("{}", path.display());
    }
    ExitCode::SUCCESS
}
