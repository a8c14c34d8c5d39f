//! A random model of the host lease, over the real policy types.
//!
//! Every run draws its faults from its seed alone. The property: at no
//! instant do two processes act as holder of one resource. Each clause of the
//! lease is switched off in turn, and the model must then find such an
//! instant. Clauses that chance does not reach have traces of their own, in
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

/// Seeds of the runs with all clauses in force.
const SEEDS: std::ops::Range<u64> = 0..300;

/// Most seeds that are tried until a mutant is found.
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
fn no_two_processes_ever_hold_one_resource() {
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
    // Fewer would mean that the runs show nothing.
    assert!(takeovers >= 100, "only {takeovers} takeovers");
    assert!(
        member_changes >= 100,
        "only {member_changes} member changes"
    );
}

/// A mutant is found when some seed shows two holders.
fn assert_found(name: &str, rules: &LeaseRules) {
    let found = MUTANT_SEEDS.into_iter().find_map(|seed| {
        let overlap = run_seed(seed, rules).overlap?;
        Some((seed, overlap))
    });
    let Some((seed, (tick, holders))) = found else {
        panic!("{name}: not found with seeds {MUTANT_SEEDS:?}");
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
            assert_found(stringify!($name), &rules);
        }
    )*};
}

mutants! {
    standing_after_a_gap_is_found: no_vouched_revival,
    vouching_without_doubt_is_found: vouch_only_in_doubt,
    vouching_by_a_minority_is_found: vouch_needs_majority,
    counting_unconfirmed_renewals_is_found: count_confirmed_only,
    taking_without_a_majority_is_found: takeover_needs_majority,
    taking_after_a_short_wait_is_found: takeover_waits_full_lease,
    holding_on_for_ever_is_found: standing_expires,
    taking_unconditionally_is_found: takeover_is_conditional,
}

#[test]
fn a_fleet_without_its_store_serves_on() {
    for hosts in [3, 5, 44] {
        let settings = RunSettings {
            seed: 7,
            hosts,
            spares: 0,
            ticks: 1_500,
            faults: false,
            ..Default::default()
        };
        let outage = settings.ticks - 300;
        let result = run(settings);
        println!("{hosts} hosts: {result:?}");
        assert_eq!(result.overlap, None);
        assert_eq!(result.standing, hosts, "all keep their standing");
        assert!(
            result.served >= outage,
            "{hosts} hosts served {}",
            result.served
        );
    }
}
