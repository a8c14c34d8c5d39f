//! Time to detect each mode of gray failure, and false ejections.

mod drawn;
mod processes;

use crate::{
    StandinError,
    experiments::{Bound, ExperimentSettings, Figures},
};

/// Longest time from the start of a fault to the ejection, in seconds.
const DETECTION_MAX_S: f64 = 5.0;

/// Value of a figure whose fault was not detected, in seconds; far above the
/// bound.
const NOT_DETECTED_S: f64 = 999.0;

/// Gives servers of a running fleet each mode of gray failure in turn.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    processes::measure(settings, &mut figures).await?;
    Ok(figures)
}

/// Runs the detector and the baseline over simulated traffic, in all modes.
pub(crate) async fn run_drawn(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    drawn::measure(settings, &mut figures);
    Ok(figures)
}

fn push_detection(figures: &mut Figures, name: &str, seconds: Option<f64>) {
    let bound = Bound::AtMost(DETECTION_MAX_S);
    figures.push(name, seconds.unwrap_or(NOT_DETECTED_S), "s", bound);
}
