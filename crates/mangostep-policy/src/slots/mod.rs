//! Decisions about the slots of backend servers.

mod verdict;

pub use crate::slots::verdict::{
    OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
};
