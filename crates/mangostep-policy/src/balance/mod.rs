//! Even distribution of requests over backend servers, although each host
//! knows late what the others send.

mod balance_settings;
mod candidate_draw;
mod failure_class;
mod kind_durations;
mod server_speed;

pub use self::balance_settings::BalanceSettings;
pub(crate) use self::{
    candidate_draw::draw_candidates, failure_class::FailureClass, kind_durations::KindDurations,
    server_speed::ServerSpeed,
};
