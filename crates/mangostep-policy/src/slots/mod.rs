//! Decisions about the slots of backend servers.

mod cell_chooser;
mod cold_start;
mod ejection_floor;
mod fair_queue;
mod keeper;
mod messages;
mod quiet_detector;
mod retry_budget;
mod server_state;
mod verdict;
mod zone_ramp;

pub use crate::slots::{
    cell_chooser::{CellChooser, ChooserSettings},
    cold_start::{ColdStart, ColdStartSettings},
    ejection_floor::{EjectionFloor, FloorSettings},
    keeper::{KeeperSettings, KeeperTerm, SlotKeeper},
    messages::{
        KeeperAction, KeeperEvent, ListedServer, PermitKey, ProbeResult, SlotAsk, SlotRefusal,
        SlotRelease,
    },
    quiet_detector::QuietDetector,
    retry_budget::RetryBudget,
    verdict::{OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict},
    zone_ramp::ZoneRamp,
};
