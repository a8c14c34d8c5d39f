use serde::{Deserialize, Serialize};

use crate::admission::{RANK_COUNT, RankRates, ServiceDemand};

/// Rates are sent in tenths of a request per second, which take one or two
/// bytes each.
const RATE_SCALE: f64 = 10.0;

/// Demand for one service, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the service.
    pub service: String,
    offered: [u32; RANK_COUNT],
    admitted: [u32; RANK_COUNT],
    in_flight: u32,
    waiting: u32,
}

/// Demand of all hosts of a zone, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Name of the availability zone.
    pub zone: String,
    /// Time since the sum was computed, in milliseconds.
    pub age_ms: u32,
    /// Number of hosts in the sum.
    pub hosts: u32,
    /// Sums by service.
    pub loads: Vec<LoadReport>,
}

impl LoadReport {
    /// Creates the report of a service's demand.
    pub fn new(service: &str, demand: &ServiceDemand) -> Self {
        let scaled = |rates: &RankRates| rates.0.map(|rate| (rate * RATE_SCALE).round() as u32);
        LoadReport {
            service: service.to_owned(),
            offered: scaled(&demand.offered),
            admitted: scaled(&demand.admitted),
            in_flight: demand.in_flight.round() as u32,
            waiting: demand.waiting.round() as u32,
        }
    }

    /// The demand that was reported.
    pub fn demand(&self) -> ServiceDemand {
        let rates =
            |scaled: [u32; RANK_COUNT]| RankRates(scaled.map(|rate| f64::from(rate) / RATE_SCALE));
        ServiceDemand {
            offered: rates(self.offered),
            admitted: rates(self.admitted),
            in_flight: f64::from(self.in_flight),
            waiting: f64::from(self.waiting),
        }
    }
}
