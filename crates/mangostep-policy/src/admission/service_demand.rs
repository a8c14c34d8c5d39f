use std::ops::AddAssign;

use crate::admission::RankRates;

/// What hosts were asked for and what they took on for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests that callers sent, within the limits of their workspaces.
    pub offered: RankRates,
    /// Requests that were sent to a backend server.
    pub admitted: RankRates,
    /// Requests in flight at backend servers.
    pub in_flight: f64,
    /// Requests that wait on a host.
    pub waiting: f64,
}

impl AddAssign for ServiceDemand {
    fn add_assign(&mut self, other: ServiceDemand) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.in_flight += other.in_flight;
        self.waiting += other.waiting;
    }
}
