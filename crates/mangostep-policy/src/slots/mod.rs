//! Grants the slots of backend servers to requests.

mod cell_chooser;
mod cold_start;
mod ejection_arbiter;
mod fair_queue;
mod keeper;
mod messages;
mod noop_detector;
mod retry_budget;
mod server_state;
mod verdict;
mod zone_ramp;

pub use crate::slots::{
    cell_chooser::{CellChooser, ChooserSettings},
    cold_start::{ColdStart, ColdStartSettings},
    ejection_arbiter::{ArbiterSettings, EjectionArbiter},
    keeper::{KeeperRole, KeeperSettings, SlotKeeper},
    messages::{
        KeeperAction, KeeperEvent, ListedServer, PermitKey, PermitRequest, ProbeResult,
        SlotRefusal, SlotRelease,
    },
    noop_detector::NoopDetector,
    retry_budget::RetryBudget,
    verdict::{OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict},
    zone_ramp::ZoneRamp,
};
