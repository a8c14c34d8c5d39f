//! Measurements of a running fleet against stated bounds.
//!
//! Each experiment is a module with one `run` function, listed in
//! [`EXPERIMENTS`]. It starts the processes that it needs, finishes within
//! [`TIME_LIMIT`], and returns [`Figures`], which are printed one per line:
//! `name value unit bound verdict`.

mod cold_start;
mod config;
mod fairness;
mod figures;
mod gray;
mod host_pages;
mod keys;
mod leave;
mod limit_fleet;
mod limit_ways;
mod limits;
mod mixed_load;
mod path_overhead;
mod silent;
mod slopes;
mod store_outage;
mod token_waits;
mod zone_move;

use std::{future::Future, pin::Pin, time::Duration};

use crate::StandinError;

pub use crate::experiments::figures::{Bound, Figure, Figures};

/// Timeout of one experiment; a run that exceeds it fails without figures.
pub const TIME_LIMIT: Duration = Duration::from_secs(50);

/// Settings of one run, from the command line.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentSettings {
    /// Seed of all random draws: arrival times, requests and generated sets.
    pub seed: u64,
}

/// Future of a running experiment.
pub type ExperimentRun = Pin<Box<dyn Future<Output = Result<Figures, StandinError>>>>;

/// An entry of [`EXPERIMENTS`], selected by its name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Name that selects the experiment on the command line.
    pub name: &'static str,
    /// One-line description in the usage text.
    pub about: &'static str,
    /// Creates the future that runs the experiment.
    pub run: fn(ExperimentSettings) -> ExperimentRun,
}

/// All experiments, in the order in which the usage text lists them.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "path-overhead",
        about: "latency that an entry host adds to a request, and requests per core",
        run: |settings| Box::pin(path_overhead::run(settings)),
    },
    Experiment {
        name: "leave",
        about: "every entry host is replaced under load: no request is interrupted",
        run: |settings| Box::pin(leave::run(settings)),
    },
    Experiment {
        name: "gray",
        about: "time to detect each gray failure in a running fleet, and false ejections",
        run: |settings| Box::pin(gray::run(settings)),
    },
    Experiment {
        name: "gray-drawn",
        about: "as `gray`, over simulated traffic in one process, next to a baseline",
        run: |settings| Box::pin(gray::run_drawn(settings)),
    },
    Experiment {
        name: "silent",
        about: "open connections to the backend servers go silent under load",
        run: |settings| Box::pin(silent::run(settings)),
    },
    Experiment {
        name: "slopes",
        about: "state, messages and CPU time by size, and at the target size",
        run: |settings| Box::pin(slopes::run(settings)),
    },
    Experiment {
        name: "store-outage",
        about: "the whole platform becomes unavailable under load and recovers",
        run: |settings| Box::pin(store_outage::run(settings)),
    },
    Experiment {
        name: "config",
        about: "time from acceptance to in force on every host, with platform faults",
        run: |settings| Box::pin(config::run(settings)),
    },
    Experiment {
        name: "limits",
        about: "a workspace at five times its rate while hosts and links fail",
        run: |settings| Box::pin(limits::run(settings)),
    },
    Experiment {
        name: "limit-ways",
        about: "limit homes first, even spread and static shares at 80% of the rate",
        run: |settings| Box::pin(limit_ways::run(settings)),
    },
    Experiment {
        name: "keys",
        about: "a key is withdrawn while callers send to every host continuously",
        run: |settings| Box::pin(keys::run(settings)),
    },
    Experiment {
        name: "cold-start",
        about: "servers in cold start under load while their slot keeper is killed",
        run: |settings| Box::pin(cold_start::run(settings)),
    },
    Experiment {
        name: "fairness",
        about: "one workspace sends ten times the others, beyond the servers' capacity",
        run: |settings| Box::pin(fairness::run(settings)),
    },
    Experiment {
        name: "zone-move",
        about: "an availability zone is taken out and returns under 60 % load",
        run: |settings| Box::pin(zone_move::run(settings)),
    },
];
