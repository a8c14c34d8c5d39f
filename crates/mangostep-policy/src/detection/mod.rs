//! Tells backend servers that fail from those that only look so.

mod baseline;
mod evidence;
mod gray;
mod paths;
mod pending;
mod reference;
mod settings;
mod stage;

pub use crate::detection::{
    baseline::{BaselineSettings, ConsecutiveErrorDetector},
    gray::GrayDetector,
    settings::DetectionSettings,
};
