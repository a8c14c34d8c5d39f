//! Measurements of a running fleet against stated bounds.
//!
//! Each experiment is a module of its own with one function, entered in
//! [`EXPERIMENTS`]. It starts its own fleet, ends within [`TIME_LIMIT`], and
//! returns [`Figures`], which are printed one a line:
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

/// Longest time of one experiment.
pub const TIME_LIMIT: Duration = Duration::from_secs(50);

/// What an experiment is told.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentSettings {
    /// Seed of everything that is drawn.
    pub seed: u64,
}

/// A running experiment.
pub type ExperimentRun = Pin<Box<dyn Future<Output = Result<Figures, StandinError>>>>;

/// An experiment that can be run by its name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Starts it.
    pub run: fn(ExperimentSettings) -> ExperimentRun,
}

/// All experiments, in the order of the listing.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "path-overhead",
        about: "time that an entry host adds to a request, and requests a core",
        run: |settings| Box::pin(path_overhead::run(settings)),
    },
    Experiment {
        name: "leave",
        about: "every entry host is replaced under load: no request is cut",
        run: |settings| Box::pin(leave::run(settings)),
    },
    Experiment {
        name: "gray",
        about: "time to find each gray failure in a running fleet, and false ejections",
        run: |settings| Box::pin(gray::run(settings)),
    },
    Experiment {
        name: "gray-drawn",
        about: "the same over drawn traffic without processes, beside the baseline",
        run: |settings| Box::pin(gray::run_drawn(settings)),
    },
    Experiment {
        name: "silent",
        about: "open connections to the backend servers go silent under load",
        run: |settings| Box::pin(silent::run(settings)),
    },
    Experiment {
        name: "slopes",
        about: "state, messages and processor time by size, and at the target size",
        run: |settings| Box::pin(slopes::run(settings)),
    },
    Experiment {
        name: "store-outage",
        about: "the whole platform goes away under load and comes back",
        run: |settings| Box::pin(store_outage::run(settings)),
    },
    Experiment {
        name: "config",
        about: "time from accepted to in force on every host, with hosts cut off",
        run: |settings| Box::pin(config::run(settings)),
    },
    Experiment {
        name: "limits",
        about: "a workspace at five times its rate while hosts and links fail",
        run: |settings| Box::pin(limits::run(settings)),
    },
    Experiment {
        name: "limit-ways",
        about: "homes first, spread evenly and static shares at 80% of the rate",
        run: |settings| Box::pin(limit_ways::run(settings)),
    },
    Experiment {
        name: "keys",
        about: "a key is withdrawn while callers hammer every host",
        run: |settings| Box::pin(keys::run(settings)),
    },
    Experiment {
        name: "cold-start",
        about: "servers in cold start under load, with their keeper killed",
        run: |settings| Box::pin(cold_start::run(settings)),
    },
    Experiment {
        name: "fairness",
        about: "one workspace at ten times the others, over what the servers bear",
        run: |settings| Box::pin(fairness::run(settings)),
    },
    Experiment {
        name: "zone-move",
        about: "an availability zone goes out and returns under 60 % load",
        run: |settings| Box::pin(zone_move::run(settings)),
    },
];
