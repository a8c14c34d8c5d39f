//! Tests of the decisions of hosts that send requests directly to backend
//! servers, each under a load that it must handle.

mod checked_servers;
mod cold_servers;
mod copy_source;
mod copy_summary;
mod even_load;
mod failing_servers;
mod fleet_model;
mod host_table;
mod hot_workspace;
mod idle_servers;
mod joining_servers;
mod lapse_rule;
mod leaving_servers;
mod limit_homes;
mod limit_model;
mod limited_servers;
mod pause_detector;
mod read_timer;
mod retry_budget;
mod store_era;
mod table_copy;
mod traffic_splitter;
mod waiting_servers;
mod weighted_lookups;

use std::{net::SocketAddr, time::Duration};

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{ChoiceRequest, MonotonicTime, ServerEntry},
};

/// Returns the time `millis` after the start of a test.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(1_000_000_000) + Duration::from_millis(millis)
}

/// Returns the entry of a warm server of `ledger` with two slots.
fn server(index: u16) -> ServerEntry {
    ServerEntry {
        id: format!("s{index}"),
        service: "ledger".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + index)),
        zone: "a".to_owned(),
        version: String::new(),
        slots: 2,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: 1,
    }
}

/// Returns an idempotent request for `ledger`, from a host of zone `a` whose
/// retry budget is not used up.
fn idempotent_request() -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: "ledger",
        kind: RequestKind::Idempotent,
        zone: "a",
        tried: &[],
        priority: 0,
        time_left: Duration::from_secs(2),
        own_rate_per_s: 1.0,
        sees_peer_traffic: true,
        may_retry: true,
    }
}
