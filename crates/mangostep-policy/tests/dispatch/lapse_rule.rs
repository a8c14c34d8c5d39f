//! Entries that disappear: their servers left, or could not renew them while
//! the store was away.

use std::time::Duration;

use {
    bolero::{TypeGenerator, check},
    mangostep_policy::{
        LapseRule, LapseSettings, PoolSettings, ServerChoice, ServerKey, ServerPool,
    },
    mangostep_testing::seeded,
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, idempotent_request, server};

/// Time after the end of a fault of the store or of its connections from which
/// on a host must know all servers that left, by the operators' agreement.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Longest time until a host hears from a peer that the store is back: two
/// reports, and the backoff of the first watcher that calls it.
const HEARD_MAX: Duration = Duration::from_millis(1_200);

/// The store answers some host of the fleet every second, and is away from
/// 4 s to 9 s.
fn rule_after_outage() -> LapseRule {
    let mut rule = LapseRule::open(LapseSettings::default());
    for second in [0, 1, 2, 3, 4, 9] {
        rule.record_contact(at_ms(second * 1_000));
    }
    rule
}

/// The store was away for longer than entries last.
#[test]
fn entries_that_lapse_in_a_store_outage_stay_until_their_servers_can_return() {
    let rule = rule_after_outage();
    let until = rule.hold_until(at_ms(9_000)).expect("may have lapsed");
    assert!(until >= at_ms(9_000) + Duration::from_millis(1_500));
    assert!(until <= at_ms(9_000) + CONTACT_TIME - HEARD_MAX);
    // The time counts from the return, not from the removal.
    assert_eq!(rule.hold_until(at_ms(10_500)), Some(until));
    assert_eq!(rule.hold_until(until), None);
}

/// A call of the host failed, or many entries disappeared together, while the
/// store answered other hosts: the servers left.
#[test]
fn removals_are_final_while_the_store_answers_any_host() {
    let mut rule = LapseRule::open(LapseSettings::default());
    assert_eq!(rule.hold_until(at_ms(0)), None);
    for millis in (0..60_000).step_by(2_800) {
        rule.record_contact(at_ms(millis));
        // Reports arrive out of order.
        rule.record_contact(at_ms(millis.saturating_sub(5_000)));
        for later in [0, 400, 2_700] {
            assert_eq!(rule.hold_until(at_ms(millis + later)), None);
        }
    }
}

#[derive(Clone, Debug, TypeGenerator)]
struct ContactHistory {
    /// Tenths of a second from each contact to the next, and from the contact
    /// to a removal.
    contacts: Vec<(u8, u8)>,
}

/// Whatever the host hears, no removal stays in use after the time in which
/// lapsed entries return, counted from the end of an outage.
#[test]
fn removals_are_held_for_a_bounded_time_after_an_outage_only() {
    check!()
        .exhaustive()
        .with_generator(seeded::<ContactHistory>(3_000))
        .for_each(|history: &ContactHistory| {
            let settings = LapseSettings::default();
            let mut rule = LapseRule::open(settings.clone());
            let mut now = at_ms(0);
            let mut returned = None;
            for (number, (gap, wait)) in history.contacts.iter().enumerate() {
                let gap = Duration::from_millis(u64::from(gap % 80) * 100);
                now = now + gap;
                rule.record_contact(now);
                if number > 0 && gap >= settings.outage_min {
                    returned = Some(now);
                }
                let removed = now + Duration::from_millis(u64::from(wait % 60) * 100);
                let until = returned.map(|returned| returned + settings.return_time);
                let expected = until.filter(|until| *until > removed);
                assert_eq!(rule.hold_until(removed), expected);
            }
        });
}

fn chosen(pool: &ServerPool, now_ms: u64) -> Vec<ServerKey> {
    let choices = (0..200).filter_map(|seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let request = idempotent_request();
        match pool.choose(request, None, |_| true, &mut random, at_ms(now_ms)) {
            ServerChoice::Send(key) => Some(key),
            ServerChoice::Refuse(..) => None,
        }
    });
    choices.collect()
}

/// A server whose entry lapsed was used until the next check for such servers.
#[test]
fn held_server_gets_no_requests_after_the_hold() {
    let mut pool = ServerPool::open(PoolSettings::default());
    let key = pool.put(&server(0), Duration::ZERO, at_ms(0));
    pool.hold("s0", at_ms(1_000));
    assert_eq!(chosen(&pool, 999).first(), Some(&key));
    assert!(chosen(&pool, 1_000).is_empty());
    assert!(!pool.accepts_work(key, at_ms(1_000)));
    // The entry returns.
    pool.put(&server(0), Duration::ZERO, at_ms(1_100));
    assert_eq!(chosen(&pool, 1_100).first(), Some(&key));
}
