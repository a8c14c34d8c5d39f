//! The `mangostep` command line, which runs entry hosts and operates a fleet.

mod check;
mod command;
mod entry;
mod explain;
mod fleet_access;
mod members;
mod publish;
mod replay;
mod serve;
mod status;
mod timeline;
mod timeline_html;
mod where_to;

use std::process::ExitCode;

use crate::command::{CommandError, EXIT_FAILED, EXIT_USAGE};

const USAGE: &str = "\
mangostep: a proxy fleet for backend servers with gray failures

Usage: mangostep COMMAND [OPTIONS]

Commands:
  serve SETTINGS     run an entry host until SIGTERM or SIGINT
  entry SETTINGS     run an entry host on the users' platform
  check PATH...      check a set of configuration objects
  publish PATH...    publish a set of objects and wait until hosts apply it
  status             show hosts, versions in force, zones and ejections
  members            show the member set, or drop dead hosts
  timeline           show the events of all hosts in causal order
  explain ID [FILE]  show the log lines of a request and why it ended
  where              explain where a request would go now, without sending it
  replay PATH...     replay recorded events and check expected outcomes
  help [COMMAND]     show this text, or the usage of a command
  version            show the version

Every command takes --help. Exit codes: 0 success, 1 failure, 2 usage error.
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let mut name = match arguments.subcommand() {
        Ok(name) => name.unwrap_or_default(),
        Err(err) => return report_result(Err(CommandError::Usage(err.to_string()))),
    };
    let mut wants_help = arguments.contains(["-h", "--help"]);
    if name == "help" {
        name = arguments.subcommand().ok().flatten().unwrap_or_default();
        wants_help = true;
    }
    type CommandFn = fn(pico_args::Arguments) -> Result<(), CommandError>;
    let (run, usage): (CommandFn, &str) = match name.as_str() {
        "serve" => (serve::run, serve::USAGE),
        "entry" => (entry::run, entry::USAGE),
        "explain" => (explain::run, explain::USAGE),
        "check" => (check::run, check::USAGE),
        "publish" => (publish::run, publish::USAGE),
        "replay" => (replay::run, replay::USAGE),
        "status" => (status::run, status::USAGE),
        "members" => (members::run, members::USAGE),
        "timeline" => (timeline::run, timeline::USAGE),
        "where" => (where_to::run, where_to::USAGE),
        "version" => (show_version, "Usage: mangostep version\n"),
        "" if wants_help => (show_usage, USAGE),
        "" => return report_result(Err(CommandError::Usage("no command given".to_owned()))),
        other => {
            return report_result(Err(CommandError::Usage(format!(
                "unknown command `{other}`"
            ))));
        }
    };
    if wants_help {
        print!("{usage}");
        return ExitCode::SUCCESS;
    }
    report_result(run(arguments))
}

fn show_version(_: pico_args::Arguments) -> Result<(), CommandError> {
    println!("mangostep {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

fn show_usage(_: pico_args::Arguments) -> Result<(), CommandError> {
    print!("{USAGE}");
    Ok(())
}

fn report_result(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(message)) => {
            eprintln!("mangostep: {message}\nSee `mangostep help`.");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Malformed(message)) => {
            eprintln!("mangostep: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Failed(message)) => {
            eprintln!("mangostep: {message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
