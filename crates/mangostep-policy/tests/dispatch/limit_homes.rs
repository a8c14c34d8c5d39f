//! The rate of a workspace over all hosts while limit homes are cut off, freeze,
//! stop or die. The workspace sends about four times its rate.

use crate::limit_model::{LimitFleet, LimitLoad, WINDOW_MS, ZONES};

const HOSTS: usize = 24;

/// Share of the packets that a link loses, by the operators' agreement.
const LOST_SHARE: f64 = 0.03;

/// Number of hosts that callers use, if they are few.
const SENDERS: usize = 4;

/// Time until all hosts know the limit homes, in milliseconds.
const START_MS: u64 = 6_000;

/// Times at which the trouble begins, after the workspace began to send.
const TROUBLE_OFFSETS_MS: [u64; 4] = [300, 1_000, 1_700, 3_000];

fn started_fleet() -> LimitFleet {
    started_fleet_with(LimitLoad::default())
}

fn started_fleet_with(load: LimitLoad) -> LimitFleet {
    let mut fleet = LimitFleet::open(load, HOSTS);
    fleet.run(START_MS, false);
    fleet
}

/// Lets the callers use the limit home and a few more hosts. The requests of the
/// home's own callers wait while it is frozen.
fn send_to_few(fleet: &mut LimitFleet) {
    let home = fleet.home();
    fleet.senders = (0..SENDERS).map(|step| (home + step) % HOSTS).collect();
}

fn assert_within_limit(fleet: &LimitFleet, what: &str) {
    let (count, most) = (fleet.most_in_window(), fleet.load.most_in_window());
    assert!(
        count as f64 <= most,
        "{what}: {count} in a window, {most} allowed"
    );
}

/// Asserts that the fleet granted a share of the rate between two times.
fn assert_granted(fleet: &LimitFleet, from_ms: u64, to_ms: u64, share: f64, what: &str) {
    let least = fleet.load.rate_per_s * (to_ms - from_ms) as f64 / 1_000.0 * share;
    let count = fleet.granted_between(from_ms, to_ms);
    assert!(
        count as f64 >= least,
        "{what}: {count} granted, {least} needed"
    );
}

#[test]
fn undisturbed_workspace_gets_its_rate() {
    let mut fleet = started_fleet();
    fleet.run(10_000, true);
    assert_within_limit(&fleet, "undisturbed");
    assert_granted(&fleet, START_MS, START_MS + 10_000, 1.0, "undisturbed");
}

/// Two homes, one on each side of a partition, granted the whole rate each.
#[test]
fn homes_on_both_sides_of_a_partition_share_the_rate() {
    for offset_ms in TROUBLE_OFFSETS_MS {
        for zone in ZONES {
            let what = format!("zone {zone} cut off after {offset_ms} ms");
            let mut fleet = started_fleet_with(LimitLoad::LARGE);
            fleet.run(offset_ms, true);
            fleet.cut_zone(zone, true);
            let cut_ms = fleet.now_ms;
            fleet.run(5_000, true);
            fleet.cut_zone(zone, false);
            fleet.run(6_000, true);
            assert_within_limit(&fleet, &what);
            // Hosts that have not found out which homes they reach refuse more.
            assert_granted(&fleet, cut_ms, cut_ms + 5_000, 0.8, &what);
            assert_granted(&fleet, cut_ms + 8_000, cut_ms + 11_000, 0.95, &what);
        }
    }
}

/// Messages pass in one direction only.
#[test]
fn homes_share_the_rate_while_one_direction_is_lost() {
    for zone in ZONES {
        for is_from in [true, false] {
            let mut fleet = started_fleet();
            fleet.run(1_000, true);
            let set = |fleet: &mut LimitFleet, is_cut| match is_from {
                true => fleet.cut_from(zone, is_cut),
                false => fleet.cut_to(zone, is_cut),
            };
            set(&mut fleet, true);
            fleet.run(6_000, true);
            set(&mut fleet, false);
            fleet.run(6_000, true);
            assert_within_limit(&fleet, &format!("zone {zone}, from it: {is_from}"));
        }
    }
}

/// A home that woke up had gained the tokens that another one granted while it
/// was frozen.
#[test]
fn home_that_wakes_up_grants_nothing_twice() {
    for offset_ms in TROUBLE_OFFSETS_MS {
        for frozen_ms in [700, 1_500, 2_200, 4_000] {
            let what = format!("home frozen for {frozen_ms} ms after {offset_ms} ms");
            let mut fleet = started_fleet_with(LimitLoad::LARGE);
            send_to_few(&mut fleet);
            fleet.run(offset_ms, true);
            for _ in 0..2 {
                let home = fleet.home();
                fleet.set_frozen(home, true);
                fleet.run(frozen_ms, true);
                fleet.set_frozen(home, false);
                fleet.run(500, true);
            }
            fleet.run(6_000, true);
            assert_within_limit(&fleet, &what);
        }
    }
}

/// While hosts are restarted in turn, hosts with different lists asked two homes,
/// which both granted the whole rate.
#[test]
fn planned_restarts_leave_one_home_at_a_time() {
    for first in 0..HOSTS {
        let mut fleet = started_fleet_with(LimitLoad::LARGE);
        fleet.lost_share = LOST_SHARE;
        send_to_few(&mut fleet);
        fleet.run(500, true);
        let mut stopping: Vec<usize> = Vec::new();
        let begin_ms = fleet.now_ms;
        for turn in 0..HOSTS / 2 + 6 {
            if turn < HOSTS / 2 {
                let pair = [2 * turn, 2 * turn + 1].map(|index| (first + index) % HOSTS);
                pair.into_iter().for_each(|host| fleet.announce_stop(host));
                stopping.extend(pair);
            }
            // A host ends 5 s after it announced its stop, and is back at once.
            if turn >= 5 {
                for host in stopping.drain(..2.min(stopping.len())) {
                    fleet.kill(host);
                    fleet.restart(host);
                }
            }
            fleet.run(1_000, true);
        }
        let what = format!("restarts from host {first} on");
        assert_within_limit(&fleet, &what);
        assert_granted(&fleet, begin_ms, fleet.now_ms, 0.9, &what);
    }
}

/// Homes that are killed one after the other.
#[test]
fn killed_homes_are_replaced_within_the_limit() {
    for offset_ms in TROUBLE_OFFSETS_MS {
        let mut fleet = started_fleet();
        fleet.run(offset_ms, true);
        let begin_ms = fleet.now_ms;
        let mut killed = Vec::new();
        for _ in 0..3 {
            let home = fleet.home();
            fleet.kill(home);
            killed.push(home);
            fleet.run(2_500, true);
        }
        killed.into_iter().for_each(|host| fleet.restart(host));
        fleet.run(WINDOW_MS, true);
        let what = format!("killed after {offset_ms} ms");
        assert_within_limit(&fleet, &what);
        assert_granted(&fleet, begin_ms, fleet.now_ms, 0.8, &what);
    }
}

/// A zone that lost power is not told from one that is cut off. Its share of
/// the rate is not granted, and no more than that is refused.
#[test]
fn zone_that_is_gone_takes_its_share_only() {
    let mut fleet = started_fleet();
    fleet.run(1_000, true);
    (0..HOSTS).step_by(3).for_each(|host| fleet.kill(host));
    let begin_ms = fleet.now_ms;
    fleet.run(8_000, true);
    assert_within_limit(&fleet, "zone a gone");
    assert_granted(
        &fleet,
        begin_ms + 2_000,
        begin_ms + 8_000,
        0.6,
        "zone a gone",
    );
}

/// A host that acts in place of a silent home counts only what it heard since:
/// what it heard before may come from the other side of a partition.
#[test]
fn share_in_contact_follows_a_partition() {
    let mut fleet = started_fleet();
    assert_eq!(fleet.contact_share(0, None), 1.0);
    fleet.cut_zone("c", true);
    let cut_ms = fleet.now_ms;
    fleet.run(200, false);
    assert_eq!(fleet.contact_share(2, None), 1.0);
    // Half of its share until the other side has noticed the partition.
    assert_eq!(fleet.contact_share(2, Some(cut_ms)), 1.0 / 6.0);
    fleet.run(2_300, false);
    assert_eq!(fleet.contact_share(0, None), 2.0 / 3.0);
    assert_eq!(fleet.contact_share(2, None), 1.0 / 3.0);
    fleet.cut_zone("c", false);
    fleet.run(2_500, false);
    assert_eq!(fleet.contact_share(0, None), 1.0);
    assert_eq!(fleet.contact_share(2, None), 1.0);
}

/// Hosts that announced their stop leave their shares to the others; those that
/// were killed do not.
#[test]
fn stopped_hosts_do_not_count() {
    let mut fleet = started_fleet();
    fleet.announce_stop(3);
    fleet.run(100, false);
    fleet.kill(3);
    fleet.run(3_000, false);
    assert_eq!(fleet.contact_share(0, None), 1.0);
    fleet.kill(6);
    fleet.run(4_000, false);
    assert_eq!(fleet.contact_share(0, None), 22.0 / 23.0);
}
