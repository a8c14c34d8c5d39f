//! Admission of requests to a service that has less room than demand.

mod admission_rule;
mod admission_settings;
mod admission_table;
mod fleet_load;
mod load_report;
mod rank_rates;
mod rate_meter;
mod return_schedule;
mod service_admission;
mod service_demand;
mod service_room;
mod wait_claim;
mod wait_queue;

pub use self::{
    admission_rule::{AdmissionRule, RankShares},
    admission_settings::AdmissionSettings,
    admission_table::{AdmissionTable, RoomStatus},
    fleet_load::{FleetDemand, FleetLoad, FleetLoadSettings},
    load_report::{LoadReport, ZoneLoad},
    rank_rates::{RANK_COUNT, RankRates},
    rate_meter::RateMeter,
    return_schedule::{ReturnSchedule, ScheduleSettings},
    service_demand::ServiceDemand,
    service_room::ServiceRoom,
    wait_claim::WaitClaim,
    wait_queue::{WaitKey, WaitQueue, WaitRefusal, WaitSettings},
};
