//! Cost by size: state bytes, messages and CPU time, each measured at three or
//! more sizes and reported for the target size.

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

/// Measures the policies in this process, then fleets of several sizes in
/// parallel. The fleets can share the machine because CPU time is measured,
/// not elapsed time.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut figures = Figures::default();
    policies::measure(settings, &mut figures);
    let (objects, hosts) = tokio::try_join!(objects::measure(settings), hosts::measure(settings))?;
    figures.append(objects);
    figures.append(hosts);
    Ok(figures)
}
