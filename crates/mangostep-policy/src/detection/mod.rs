//! Detection of failing backend servers from the outcomes of their requests.

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
