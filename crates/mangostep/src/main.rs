//! The `mangostep` command.

mod serve;

use std::process::ExitCode;

const USAGE: &str = "\
mangostep: a proxy fleet for backend servers with gray failures

Usage: mangostep COMMAND [OPTIONS]

Commands:
  serve SETTINGS   run an entry host until SIGTERM or SIGINT
  help             show this text
  version          show the version
";

/// The exit code of a command line that cannot be understood.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let command = arguments.subcommand().ok().flatten();
    match command.as_deref() {
        Some("serve") => serve::run(arguments),
        Some("version") => {
            println!("mangostep {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some("help") => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
