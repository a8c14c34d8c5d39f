//! The order in which a host tries the availability zones.

use std::time::Duration;

use mangostep_policy::{CellChooser, MonotonicTime};

const ZONES: [&str; 3] = ["a", "b", "c"];

#[test]
fn the_own_zone_comes_first_below_the_spill_threshold() {
    let now = MonotonicTime::from_micros(1);
    let mut chooser = CellChooser::default();
    chooser.record_load(now, "b", 0.6);
    chooser.record_load(now, "a", 0.1);
    assert_eq!(chooser.order(now, "b", ZONES), ["b", "a", "c"]);
}

#[test]
fn a_full_own_zone_spills_to_the_least_loaded_zone() {
    let now = MonotonicTime::from_micros(1);
    let mut chooser = CellChooser::default();
    chooser.record_load(now, "b", 1.4);
    chooser.record_load(now, "a", 0.7);
    chooser.record_load(now, "c", 0.2);
    assert_eq!(chooser.order(now, "b", ZONES), ["c", "a", "b"]);
}

#[test]
fn an_unreachable_zone_comes_last_until_the_period_ends() {
    let now = MonotonicTime::from_micros(1);
    let mut chooser = CellChooser::default();
    chooser.record_unreachable(now, "b");
    assert_eq!(chooser.order(now, "b", ZONES), ["a", "c", "b"]);
    let later = now + Duration::from_secs(1);
    assert_eq!(chooser.order(later, "b", ZONES), ["b", "a", "c"]);
}
