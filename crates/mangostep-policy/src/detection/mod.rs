//! Tells backend servers that fail from those that only look so.

mod consecutive_errors;
mod evidence;
mod gray;
mod paths;
mod pending;
mod reference;
mod settings;
mod stage;

pub use crate::detection::{
    consecutive_errors::{ConsecutiveErrorDetector, ConsecutiveErrorSettings},
    gray::GrayDetector,
    settings::DetectionSettings,
};
