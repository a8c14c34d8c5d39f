//! A randomized model check of the host lease with the real policy types.
//!
//! The faults of a run depend only on its seed. The checked property is that
//! at no instant two processes act as holder of one resource. Each safety rule
//! is also disabled in turn, and the model must then find a violation. Rules
//! that random faults do not reach have deterministic traces in
//! `lease_traces.rs`.

mod faults;
mod process;
mod run;
mod table;
mod world;

use std::sync::atomic::{AtomicU64, Ordering};

use mangostep_policy::LeaseRules;

use crate::{
    run::{RunResult, RunSettings},
    world::World,
};

/// Seeds of the runs with all rules enabled.
const SEEDS: std::ops::Range<u64> = 0..300;

/// Seeds that are tried until a run with a disabled rule shows a violation.
const MUTANT_SEEDS: std::ops::Range<u64> = 0..400;

fn run(settings: RunSettings) -> RunResult {
    World::new(settings).run()
}

fn run_seed(seed: u64, rules: &LeaseRules) -> RunResult {
    run(RunSettings {
        seed,
        rules: rules.clone(),
        ..Default::default()
    })
}

#[test]
fn resource_never_has_two_holders() {
    let takeovers = AtomicU64::new(0);
    let member_changes = AtomicU64::new(0);
    bolero::check!()
        .exhaustive()
        .with_generator(SEEDS)
        .cloned()
        .for_each(|seed| {
            let result = run_seed(seed, &LeaseRules::default());
            assert_eq!(result.overlap, None, "seed {seed}");
            takeovers.fetch_add(result.takeovers, Ordering::Relaxed);
            member_changes.fetch_add(result.member_changes, Ordering::Relaxed);
        });
    let (takeovers, member_changes) = (takeovers.into_inner(), member_changes.into_inner());
    println!("seeds {SEEDS:?}: {takeovers} takeovers, {member_changes} member changes");
    // With fewer, the runs would not exercise the property.
    assert!(takeovers >= 100, "only {takeovers} takeovers");
    assert!(
        member_changes >= 100,
        "only {member_changes} member changes"
    );
}

/// Asserts that some seed shows two holders of the resource.
fn assert_overlap_found(name: &str, rules: &LeaseRules) {
    let found = MUTANT_SEEDS.into_iter().find_map(|seed| {
        let overlap = run_seed(seed, rules).overlap?;
        Some((seed, overlap))
    });
    let Some((seed, (tick, holders))) = found else {
        panic!("{name}: no overlap found with seeds {MUTANT_SEEDS:?}");
    };
    println!("{name}: seed {seed}, tick {tick}, holders {holders:?}");
}

macro_rules! mutants {
    ($($name:ident: $field:ident,)*) => {$(
        #[test]
        fn $name() {
            let rules = LeaseRules {
                $field: false,
                ..Default::default()
            };
            assert_overlap_found(stringify!($name), &rules);
        }
    )*};
}

mutants! {
    vouched_revival_is_detected: no_vouched_revival,
    vouching_without_doubt_is_detected: vouch_only_in_doubt,
    vouching_by_minority_is_detected: vouch_needs_majority,
    counting_unconfirmed_renewals_is_detected: count_confirmed_only,
    takeover_without_majority_is_detected: takeover_needs_majority,
    takeover_after_short_wait_is_detected: takeover_waits_full_lease,
    standing_without_expiry_is_detected: standing_expires,
    unconditional_takeover_is_detected: takeover_is_conditional,
}

#[test]
fn fleet_keeps_standing_during_store_outage() {
    for hosts in [3, 5, 44] {
        let settings = RunSettings {
            seed: 7,
            hosts,
            spares: 0,
            ticks: 1_500,
            faults: false,
            ..Default::default()
        };
        let outage_ticks = settings.ticks - 300;
        let result = run(settings);
        println!("{hosts} hosts: {result:?}");
        assert_eq!(result.overlap, None);
        assert_eq!(
            result.standing, hosts,
            "a host lost its standing during the outage"
        );
        assert!(
            result.served_ticks >= outage_ticks,
            "{hosts} hosts served during only {} ticks",
            result.served_ticks
        );
    }
}
