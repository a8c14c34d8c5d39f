//! The decisions of hosts that send requests straight to backend servers,
//! each under the load that it answers.

mod cold_servers;
mod copy_source;
mod failing_spells;
mod host_table;
mod hot_workspace;
mod read_timer;
mod retry_budget;
mod split_turn;
mod table_copy;

use std::{net::SocketAddr, time::Duration};

use mangostep_policy::{MonotonicTime, ServerEntry};

/// A time after the start of a test.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(1_000_000_000) + Duration::from_millis(millis)
}

/// A warm server of `ledger` with two slots.
fn server(index: u16) -> ServerEntry {
    ServerEntry {
        id: format!("s{index}"),
        service: "ledger".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + index)),
        zone: "a".to_owned(),
        slots: 2,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: 1,
    }
}
