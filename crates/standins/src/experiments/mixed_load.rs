use std::time::Duration;

use crate::{
    fleet::{NORTH_KEY, TestFleet},
    load::{LoadRequest, LoadSettings},
};

/// Returns a load of equal parts look-ups and bookings on the routes of
/// [`crate::fleet::basic_objects`].
pub(crate) fn mixed_load(
    fleet: &TestFleet,
    rate_per_s: f64,
    duration: Duration,
    seed: u64,
) -> LoadSettings {
    LoadSettings {
        entries: fleet.entries(),
        rate_per_s,
        duration,
        requests: vec![
            LoadRequest::get("lookup", "/lookup/1", NORTH_KEY),
            LoadRequest::post("book", "/book/1", NORTH_KEY),
        ],
        seed,
        ..Default::default()
    }
}
