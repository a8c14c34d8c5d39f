//! What the servers of a service can bear.

use crate::{
    MonotonicTime,
    admission::ServiceRoom,
    dispatch::{ServerPool, server_pool::ServerRecord},
};

impl ServerPool {
    /// Room of a service's servers. `cold_rate_per_s` is the request rate that
    /// a cold server can handle; without one, a cold server counts in full.
    pub fn room(
        &self,
        service: &str,
        cold_rate_per_s: Option<f64>,
        now: MonotonicTime,
    ) -> ServiceRoom {
        let duration = self.mean_duration(service);
        let mut room = ServiceRoom {
            duration,
            ..Default::default()
        };
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        for key in keys {
            let record = &self.servers[*key];
            let slots = f64::from(record.entry.slots.max(1));
            room.listed_slots += slots;
            if !self.accepts_work(*key, now) || !self.is_usable(record, now) {
                continue;
            }
            room.slots += match cold_rate_per_s.filter(|_| record.cold_until > now) {
                Some(rate) => slots.min(rate * duration.as_secs_f64()),
                None => slots,
            };
        }
        room
    }

    /// Number of this host's requests at all servers of a service.
    pub fn own_in_flight_of(&self, service: &str) -> u32 {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .map(|key| self.servers[*key].own_in_flight)
            .sum()
    }

    /// Whether requests to a server probably succeed.
    fn is_usable(&self, record: &ServerRecord, now: MonotonicTime) -> bool {
        record.misdirected_until <= now
            && record.backoff.left(now).is_zero()
            && self.failure_chance_of(record, now) <= self.settings.suspected_chance
    }
}
