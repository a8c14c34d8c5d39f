use std::{collections::BTreeMap, time::Duration};

use crate::{
    AgedFigure, FigureSource, MonotonicTime,
    admission::{
        AdmissionSettings, FleetDemand, FleetLoad, LoadReport, RankShares, ServiceDemand,
        ServiceRoom, WaitClaim, WaitKey, WaitRefusal, service_admission::ServiceAdmission,
    },
};

/// Whether a service is short of room, with what that was derived from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomStatus {
    /// Whether the service is short of room.
    pub is_short: bool,
    /// Whether it was not, or the reverse, at the update before.
    pub has_changed: bool,
    /// Room for requests.
    pub room: ServiceRoom,
    /// Demand over the fleet.
    pub fleet: FleetDemand,
    /// Demand on this host.
    pub own: ServiceDemand,
    /// Share of each rank that is admitted.
    pub shares: RankShares,
}

/// Admission to the services on one host.
///
/// A request that finds no room waits if it will probably be admitted within
/// its target latency, and is refused at once otherwise. `T` is the ticket by
/// which the caller of this type wakes a waiting request.
#[derive(Clone, Debug)]
pub struct AdmissionTable<T> {
    settings: AdmissionSettings,
    services: BTreeMap<String, ServiceAdmission<T>>,
}

impl<T> AdmissionTable<T> {
    /// Creates a table that has seen no request.
    pub fn open(settings: AdmissionSettings) -> Self {
        AdmissionTable {
            settings,
            services: BTreeMap::new(),
        }
    }

    /// Records a request from a caller. Returns whether it is a planned return
    /// of a caller that was refused.
    pub fn record_offered(&mut self, service: &str, claim: &WaitClaim, now: MonotonicTime) -> bool {
        let admission = self.admission(service);
        admission.record_offered(claim, now);
        admission.returns.take_return(&claim.workspace, now)
    }

    /// Decides whether a new request is among those of its rank and workspace
    /// that fit into the room of the fleet. `draw` is random, from 0 to 1.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the caller is to return.
    pub fn check_share(
        &mut self,
        service: &str,
        claim: &WaitClaim,
        draw: f64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let admission = self.admission(service);
        // The figures of the fleet refuse nothing while requests find room on
        // this host. A planned return was counted when it was refused.
        if !admission.was_short_recently(now)
            || claim.is_return
            || draw < admission.admit_chance(claim, now)
        {
            return Ok(());
        }
        Err(admission.plan_return(claim, now))
    }

    /// Whether a request may look for a server: it is the next of those that
    /// wait or, with no `key`, would be.
    pub fn may_try(
        &self,
        service: &str,
        claim: &WaitClaim,
        key: Option<WaitKey>,
        now: MonotonicTime,
    ) -> bool {
        let Some(admission) = self.services.get(service) else {
            return true;
        };
        match key {
            Some(key) => {
                let first = admission.queue.first(now);
                first.is_some_and(|(first, _)| first == key)
            }
            None => admission.queue.would_be_first(claim, now),
        }
    }

    /// Adds a request that found no room to the queue. Returns its key, and
    /// the ticket of a request that gave up its place.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the caller is to return.
    pub fn wait(
        &mut self,
        service: &str,
        claim: &WaitClaim,
        ticket: T,
        now: MonotonicTime,
    ) -> Result<(WaitKey, Option<T>), (WaitRefusal, Duration)> {
        let admission = self.admission(service);
        admission.record_shortage(now);
        let rate = admission.waiting_rate(claim, now);
        let pushed = admission.queue.push(claim.clone(), ticket, rate, now);
        pushed.map_err(|refusal| (refusal, admission.plan_return(claim, now)))
    }

    /// Checks that a request that waits is still expected to be admitted in
    /// time.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the caller is to return. The request
    /// must then leave.
    pub fn review(
        &mut self,
        service: &str,
        claim: &WaitClaim,
        key: WaitKey,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let admission = self.admission(service);
        admission.record_shortage(now);
        let rate = admission.waiting_rate(claim, now);
        match admission.queue.is_in_time(key, rate, now) {
            true => Ok(()),
            false => Err(admission.plan_return(claim, now)),
        }
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, service: &str, key: WaitKey) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.queue.remove(key);
        }
    }

    /// Ticket of the request of a service that is admitted next.
    pub fn first(&self, service: &str, now: MonotonicTime) -> Option<&T> {
        let admission = self.services.get(service)?;
        admission.queue.first(now).map(|(_, ticket)| ticket)
    }

    /// Records that a request is sent to a server for the first time.
    pub fn record_admitted(&mut self, service: &str, claim: &WaitClaim, now: MonotonicTime) {
        self.admission(service).record_admitted(claim, now);
    }

    /// Time after which a refused caller of a service is to return.
    pub fn plan_return(
        &mut self,
        service: &str,
        claim: &WaitClaim,
        now: MonotonicTime,
    ) -> Duration {
        self.admission(service).plan_return(claim, now)
    }

    /// Names of the services that had requests.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Sets the number of this host's requests at the servers of a service.
    pub fn set_in_flight(&mut self, service: &str, in_flight: u32) {
        self.admission(service).in_flight = in_flight;
    }

    /// Demand for each service on this host, as it is reported to peers.
    pub fn reports(&self, now: MonotonicTime) -> Vec<LoadReport> {
        let services = self.services.iter();
        let reports = services
            .map(|(service, admission)| LoadReport::new(service, &admission.own_demand(now)));
        reports.collect()
    }

    /// Updates a service's room and the demand over the fleet.
    pub fn update(
        &mut self,
        service: &str,
        room: ServiceRoom,
        fleet: &FleetLoad,
        now: MonotonicTime,
    ) -> RoomStatus {
        let admission = self.admission(service);
        let own = admission.own_demand(now);
        let fleet = fleet.fleet_demand(service, &own, now);
        admission.room = Some(AgedFigure::new(room, now, FigureSource::Own));
        admission.fleet = Some(fleet);
        let is_short = admission.was_short_recently(now) || !admission.queue.is_empty();
        let was_short = std::mem::replace(&mut admission.is_short, is_short);
        RoomStatus {
            is_short,
            has_changed: was_short != is_short,
            room,
            fleet,
            own,
            shares: admission.shares(),
        }
    }

    fn admission(&mut self, service: &str) -> &mut ServiceAdmission<T> {
        let settings = &self.settings;
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceAdmission::open(settings.clone()))
    }
}
