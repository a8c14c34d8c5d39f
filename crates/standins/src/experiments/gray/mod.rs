//! How fast each gray mode is found, and what is ejected without reason.

mod drawn;
mod processes;

use crate::{
    StandinError,
    experiments::{Bound, ExperimentSettings, Figures},
};

/// Longest time from the start of a fault to the ejection, in seconds.
const DETECTION_BOUND_S: f64 = 5.0;

/// What a figure without an ejection shows, in seconds.
const NOT_FOUND_S: f64 = 999.0;

/// Gives servers of a running fleet one gray mode after the other.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    processes::measure(settings, &mut figures).await?;
    Ok(figures)
}

/// Runs the detector and the baseline over drawn traffic, in all modes.
pub(crate) async fn run_drawn(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    drawn::measure(settings, &mut figures);
    Ok(figures)
}

fn push_detection(figures: &mut Figures, name: &str, seconds: Option<f64>) {
    let bound = Bound::AtMost(DETECTION_BOUND_S);
    figures.push(name, seconds.unwrap_or(NOT_FOUND_S), "s", bound);
}
