use std::time::Duration;

use mangostep_objects::Service;

use crate::{
    MonotonicTime,
    slots::{ArbiterSettings, ColdStartSettings},
};

/// Settings of the slot keeper of one cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperSettings {
    /// Concurrency of each backend server.
    pub cold_start: ColdStartSettings,
    /// Longest validity of a permit; longer deadlines are shortened to it.
    pub validity_max: Duration,
    /// Time added to a permit's validity for the transit of the request.
    pub validity_margin: Duration,
    /// Timeout of one attempt.
    pub try_timeout: Duration,
    /// Longest time that a request waits for a slot before it is refused.
    pub wait_max: Duration,
    /// Longest ejection in one request; longer ejections are renewed.
    pub ejection_max: Duration,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Retries allowed in a burst, also the initial budget.
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
            retry_ratio: 0.1,
            retry_burst: 10.0,
        }
    }
}

impl KeeperSettings {
    /// Derives the settings of a cell from its service object.
    ///
    /// `validity_max` is the longest deadline of the routes to the service.
    pub fn from_service(service: &Service, validity_max: Duration) -> Self {
        KeeperSettings {
            cold_start: ColdStartSettings {
                slots: service.slots,
                cold_slots: service.cold_slots,
                warm_up: service.warm_up,
            },
            validity_max,
            try_timeout: service.attempt_timeout,
            ..Default::default()
        }
    }
}

/// The authority by which a host grants the slots of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperRole {
    /// The host substitutes for a keeper that cannot be reached but may still
    /// grant. It grants half the slots of the servers that the keeper reported
    /// as warm.
    Stopgap,
    /// The host holds the cell's lease. Until the given time permits of the
    /// previous keeper may be in use, and the host grants like a stopgap.
    HeldFrom(MonotonicTime),
}
