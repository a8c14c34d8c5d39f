//! Cost by size: state bytes, messages and processor time, each at three
//! sizes or more, and what they come to at the target size.

mod hosts;
mod line;
mod objects;
mod policies;

use crate::{
    StandinError,
    experiments::{ExperimentSettings, Figures},
};

/// Entry hosts at the target size.
const TARGET_HOSTS: f64 = 890.0;

/// Measures the policies in this process, then fleets of several sizes side
/// by side; processor time is counted, so that they may share the machine.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    policies::measure(settings, &mut figures);
    let (objects, hosts) = tokio::try_join!(objects::measure(settings), hosts::measure(settings))?;
    figures.append(objects);
    figures.append(hosts);
    Ok(figures)
}
