//! Runs randomized soak tests of entry hosts under injected faults.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use standins::{
    StandinError,
    soak::{SoakSettings, run_soak},
};

const USAGE: &str = "\
soak: entry hosts under randomized faults

Usage: soak [--seed N] [--seeds N] [--seconds S] [--hosts N] [--callers N]
            [--keep FOLDER]

  --seed N       first seed (default 1)
  --seeds N      number of consecutive seeds to run (default 1)
  --seconds S    period in which faults begin, for each seed (default 14)
  --hosts N      entry hosts in each of three availability zones (default 2)
  --callers N    concurrent callers (default 24)
  --keep FOLDER  keep logs and records of seeds that violated a guarantee

Prints one line per seed. Exits with status 1 if a guarantee was violated.
";

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = pico_args::Arguments::from_env();
    let (settings, seeds) = match read_arguments(arguments) {
        Ok(read) => read,
        Err(err) => {
            eprint!("soak: {err}\n\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("soak: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(settings, seeds)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("soak: {err}");
            ExitCode::FAILURE
        }
    }
}

fn read_arguments(
    mut arguments: pico_args::Arguments,
) -> Result<(SoakSettings, u64), pico_args::Error> {
    let defaults = SoakSettings::default();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let settings = SoakSettings {
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(defaults.seed),
        duration: seconds.map_or(defaults.duration, Duration::from_secs),
        hosts_per_zone: arguments
            .opt_value_from_str("--hosts")?
            .unwrap_or(defaults.hosts_per_zone),
        callers: arguments
            .opt_value_from_str("--callers")?
            .unwrap_or(defaults.callers),
        records_folder: arguments.opt_value_from_str::<_, PathBuf>("--keep")?,
        ..defaults
    };
    let seeds = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    Ok((settings, seeds))
}

/// Runs the seeds and returns the number of seeds that violated a guarantee.
async fn run(settings: SoakSettings, seeds: u64) -> Result<u64, StandinError> {
    let mut failed = 0;
    for seed in settings.seed..settings.seed + seeds {
        let report = run_soak(&SoakSettings {
            seed,
            ..settings.clone()
        })
        .await?;
        println!(
            "seed {seed}: {} faults, {} of {} served, {} broken",
            report.faults,
            report.served,
            report.requests,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if let Some(folder) = &report.kept_records {
            println!("  kept in {}", folder.display());
        }
        failed += u64::from(!report.violations.is_empty());
    }
    Ok(failed)
}
