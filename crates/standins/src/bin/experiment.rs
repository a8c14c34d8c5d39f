//! Runs one experiment, prints its figures and compares them with their bounds.

use std::process::ExitCode;

use standins::{
    CountingAllocator,
    experiments::{EXPERIMENTS, Experiment, ExperimentSettings, Figures, TIME_LIMIT},
};

const USAGE: &str = "\
experiment: measure a running fleet against its bounds

Usage: experiment NAME [--seed N]

Prints one line per figure: name value unit bound verdict.
Exit status: 0 all bounds met, 1 a bound exceeded or an error, 2 wrong usage.

Experiments:
";

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let name = arguments.subcommand().ok().flatten().unwrap_or_default();
    let seed = arguments.opt_value_from_str("--seed").ok().flatten();
    let experiment = EXPERIMENTS.iter().find(|candidate| candidate.name == name);
    let (Some(experiment), true) = (experiment, arguments.finish().is_empty()) else {
        eprint!("{USAGE}");
        for candidate in EXPERIMENTS {
            eprintln!("  {:<16} {}", candidate.name, candidate.about);
        }
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = ExperimentSettings {
        seed: seed.unwrap_or(1),
    };
    match run(experiment, settings) {
        Ok(figures) => {
            print!("{figures}");
            ExitCode::from(u8::from(!figures.all_within_bounds()))
        }
        Err(message) => {
            eprintln!("{name}: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(experiment: &Experiment, settings: ExperimentSettings) -> Result<Figures, String> {
    eprintln!("{} --seed {}", experiment.name, settings.seed);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|err| err.to_string())?;
    let result = runtime.block_on(async {
        standins::fleet::build_programs().await?;
        match tokio::time::timeout(TIME_LIMIT, (experiment.run)(settings)).await {
            Ok(result) => result,
            Err(_) => {
                let message = format!("experiment not finished within {} s", TIME_LIMIT.as_secs());
                Err(standins::StandinError::new("run", experiment.name, message))
            }
        }
    });
    result.map_err(|err| err.to_string())
}
