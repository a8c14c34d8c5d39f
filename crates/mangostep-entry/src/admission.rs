//! Room and demand of the services, as this host knows them.

use {
    mangostep_policy::{LoadReport, RankRates, RoomStatus},
    slog::info,
};

use crate::prelude::*;

/// Updates the room and the demand of each service with queueing, and logs when
/// one starts or stops being short of room. Returns the demand on this host.
pub(crate) fn update_admission(context: &HostContext, now: MonotonicTime) -> Vec<LoadReport> {
    let snapshot = context.snapshot();
    let pool = context.pool.borrow();
    let fleet = context.fleet_load.borrow();
    let mut admission = context.admission.borrow_mut();
    let services: Vec<String> = admission.services().map(str::to_owned).collect();
    for name in services {
        let service = snapshot.as_ref().and_then(|s| s.service(&name));
        let cold_rate_per_s = service.and_then(|service| service.cold_rate_per_s);
        admission.set_in_flight(&name, pool.own_in_flight_of(&name));
        let room = pool.room(&name, cold_rate_per_s, now);
        let status = admission.update(&name, room, &fleet, now);
        context.counters.record_service_load(
            &name,
            &[
                ("room", status.room.slots),
                ("in-flight", status.fleet.demand.in_flight),
                ("offered", status.fleet.demand.offered.total()),
                ("admitted", status.fleet.demand.admitted.total()),
                ("waiting", status.own.waiting),
                ("age-s", status.fleet.age.as_secs_f64()),
            ],
        );
        if status.has_changed {
            log_shortage(context, &name, &status);
        }
    }
    admission.reports(now)
}

fn log_shortage(context: &HostContext, service: &str, status: &RoomStatus) {
    let fleet = &status.fleet;
    info!(context.log, "room for requests"; "service" => service, "short" => status.is_short,
        "slots" => status.room.slots, "listed_slots" => status.room.listed_slots,
        "duration_ms" => status.room.duration.as_millis() as u64,
        "in_flight" => fleet.demand.in_flight,
        "offered_per_s" => rates(&fleet.demand.offered),
        "admitted_per_s" => rates(&fleet.demand.admitted),
        "own_offered_per_s" => rates(&status.own.offered),
        "waiting" => status.own.waiting,
        "shares" => status.shares.map(|share| format!("{share:.2}")).join(" "),
        "age_ms" => fleet.age.as_millis() as u64,
        "confidence" => (fleet.confidence * 100.0).round() / 100.0,
        "hosts" => fleet.hosts, "unheard_zones" => fleet.unheard_zones);
}

fn rates(rates: &RankRates) -> String {
    rates.0.map(|rate| format!("{rate:.1}")).join(" ")
}
