use std::time::Duration;

use mangostep_objects::Service;

use crate::{
    MonotonicTime,
    slots::{ArbiterSettings, ColdStartSettings},
};

/// How the keeper of one cell decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperSettings {
    /// What each backend server bears.
    pub cold_start: ColdStartSettings,
    /// Longest time that a permit holds; no request may have more time left.
    pub validity_max: Duration,
    /// Added to the time that a request has left, for its way.
    pub validity_margin: Duration,
    /// Longest time that one try may take.
    pub try_timeout: Duration,
    /// Longest time that one ask waits before it is answered.
    pub wait_max: Duration,
    /// Longest ejection that is asked for at once; a longer one is renewed.
    pub ejection_max: Duration,
    /// Retries as a share of first tries.
    pub retry_share: f64,
    /// Retries that may come at once.
    pub retry_burst: f64,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        KeeperSettings {
            cold_start: ColdStartSettings::default(),
            validity_max: Duration::from_secs(10),
            validity_margin: Duration::from_millis(100),
            try_timeout: Duration::from_secs(2),
            wait_max: Duration::from_millis(300),
            ejection_max: ArbiterSettings::default().hold_max,
            retry_share: 0.1,
            retry_burst: 10.0,
        }
    }
}

impl KeeperSettings {
    /// The settings that follow from a service object.
    ///
    /// `validity_max` is the longest deadline of the routes to the service.
    pub fn from_service(service: &Service, validity_max: Duration) -> Self {
        KeeperSettings {
            cold_start: ColdStartSettings {
                slots: service.slots,
                cold_slots: service.cold_slots,
                ramp: service.cold_ramp,
            },
            validity_max,
            try_timeout: service.try_timeout,
            ..Default::default()
        }
    }
}

/// In which right a host grants the slots of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperRole {
    /// The keeper cannot be reached but may still grant: half the slots of
    /// the servers that it named as warm.
    Stopgap,
    /// It holds the cell; until this time the permits of the keeper before
    /// it may be in use, and it grants like a stopgap.
    HeldFrom(MonotonicTime),
}
