//! The ejection arbiter keeps enough servers in use, also across renewals,
//! directory changes and takeovers.

use mangostep_testing::seeded;
use std::{collections::BTreeMap, time::Duration};

use {
    bolero::{TypeGenerator, check},
    mangostep_policy::{ArbiterSettings, EjectionArbiter, MonotonicTime},
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Eject { server: u8, hold: u8 },
    List { absent: u8 },
    Takeover,
}

const SERVERS: u8 = 6;
const SETTINGS: ArbiterSettings = ArbiterSettings {
    floor: 4,
    hold_max: Duration::from_secs(2),
};

fn run(steps: &[Step]) {
    let mut now = MonotonicTime::ZERO;
    let mut arbiter = EjectionArbiter::after_takeover(now, SETTINGS);
    let mut listed = u8::MAX;
    // Granted ejections as the slot keepers see them; they outlive the arbiter.
    let mut ejected: BTreeMap<u8, MonotonicTime> = BTreeMap::new();
    let names = |mask: u8| {
        let present = (0..SERVERS).filter(move |i| mask >> i & 1 == 1);
        present.map(|i| format!("s{i}")).collect::<Vec<_>>()
    };
    arbiter.set_servers(names(listed).iter().map(String::as_str));
    now = now + SETTINGS.hold_max;
    for step in steps {
        match *step {
            Step::Wait(tenths) => now = now + Duration::from_millis(u64::from(tenths) * 10),
            Step::Eject { server, hold } => {
                let server = server % SERVERS;
                let hold = Duration::from_millis(u64::from(hold) * 10);
                if arbiter.eject(now, &format!("s{server}"), hold) {
                    let end = ejected.entry(server).or_default();
                    *end = (*end).max(now + hold);
                    ejected.retain(|_, end| *end > now);
                    let in_use = (0..SERVERS)
                        .filter(|i| listed >> i & 1 == 1 && !ejected.contains_key(i))
                        .count();
                    assert!(in_use >= SETTINGS.floor, "{in_use} in use");
                }
            }
            Step::List { absent } => {
                // At most one server is absent; a larger number means none.
                listed = !1u8.checked_shl(u32::from(absent % 12)).unwrap_or(0);
                arbiter.set_servers(names(listed).iter().map(String::as_str));
            }
            Step::Takeover => {
                arbiter = EjectionArbiter::after_takeover(now, SETTINGS);
                arbiter.set_servers(names(listed).iter().map(String::as_str));
            }
        }
    }
}

#[test]
fn ejections_never_take_servers_in_use_below_the_floor() {
    check!()
        .exhaustive()
        .with_generator(seeded::<Vec<Step>>(20_000))
        .for_each(|steps| run(steps));
}

#[test]
fn an_arbiter_grants_up_to_the_floor() {
    let mut arbiter = EjectionArbiter::new(SETTINGS);
    arbiter.set_servers(["a", "b", "c", "d", "e", "f"]);
    let now = MonotonicTime::ZERO;
    let hold = Duration::from_secs(1);
    let granted = ["a", "b", "c"].map(|server| arbiter.eject(now, server, hold));
    assert_eq!(granted, [true, true, false]);
}

#[test]
fn a_server_missing_from_the_directory_for_a_while_stays_ejected() {
    let mut arbiter = EjectionArbiter::new(SETTINGS);
    let all = ["a", "b", "c", "d", "e", "f"];
    arbiter.set_servers(all);
    let now = MonotonicTime::ZERO;
    let hold = Duration::from_secs(1);
    assert!(arbiter.eject(now, "a", hold));
    arbiter.set_servers(all.into_iter().skip(1));
    arbiter.set_servers(all);
    assert!(arbiter.eject(now, "b", hold));
    assert!(!arbiter.eject(now, "c", hold));
}

#[test]
fn an_arbiter_after_takeover_waits_until_earlier_grants_expire() {
    let now = MonotonicTime::from_micros(7);
    let mut arbiter = EjectionArbiter::after_takeover(now, SETTINGS);
    arbiter.set_servers(["a", "b", "c", "d", "e", "f"]);
    let hold = Duration::from_secs(1);
    assert!(!arbiter.eject(now, "a", hold));
    assert!(arbiter.eject(now + SETTINGS.hold_max, "a", hold));
}
