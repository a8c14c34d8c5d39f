//! Runs randomized soaks of entry hosts under faults.

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
  --seeds N      number of seeds, one after the other (default 1)
  --seconds S    time in which faults begin, for each seed (default 14)
  --hosts N      entry hosts in each of three availability zones (default 2)
  --callers N    callers (default 24)
  --keep FOLDER  keeps logs and records of seeds that broke a promise

Prints a line a seed and ends with 1 when a promise was broken.
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
    let plain = SoakSettings::default();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let settings = SoakSettings {
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(plain.seed),
        duration: seconds.map_or(plain.duration, Duration::from_secs),
        hosts_per_zone: arguments
            .opt_value_from_str("--hosts")?
            .unwrap_or(plain.hosts_per_zone),
        callers: arguments
            .opt_value_from_str("--callers")?
            .unwrap_or(plain.callers),
        keep: arguments.opt_value_from_str::<_, PathBuf>("--keep")?,
        ..plain
    };
    let seeds = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    Ok((settings, seeds))
}

/// Runs the seeds and returns how many broke a promise.
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
            report.broken.len()
        );
        for broken in &report.broken {
            println!("  {broken}");
        }
        if let Some(kept) = &report.kept {
            println!("  kept in {}", kept.display());
        }
        failed += u64::from(!report.broken.is_empty());
    }
    Ok(failed)
}
