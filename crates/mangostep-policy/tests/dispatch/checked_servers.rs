//! Servers that may be in cold start without their entries saying so.

use std::time::Duration;

use {
    mangostep_policy::{
        CheckReason, CheckReport, PoolSettings, ServerChoice, ServerEntry, ServerKey, ServerPool,
        ServerSignal,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, idempotent_request, server};

/// Age of the entries at which a host is out of contact.
const OUT_OF_CONTACT_MS: u64 = 2_500;

fn pool_of(servers: u16) -> (ServerPool, Vec<ServerKey>) {
    let mut pool = ServerPool::open(PoolSettings::default());
    let keys = (0..servers).map(|index| pool.put(&server(index), Duration::ZERO, at_ms(0)));
    let keys = keys.collect();
    pool.record_contact(at_ms(0));
    (pool, keys)
}

/// A host that was cut off, frozen or refused for seconds trusted its entries.
#[test]
fn host_out_of_contact_asks_each_server_before_it_sends() {
    let (mut pool, keys) = pool_of(1);
    assert_eq!(
        pool.check_reason(keys[0], at_ms(OUT_OF_CONTACT_MS - 1)),
        None
    );
    let now = OUT_OF_CONTACT_MS;
    assert_eq!(
        pool.check_reason(keys[0], at_ms(now)),
        Some(CheckReason::OutOfContact)
    );
    pool.record_cold_left(keys[0], Duration::ZERO, at_ms(now));
    assert_eq!(pool.check_reason(keys[0], at_ms(now + 900)), None);
    assert!(pool.check_reason(keys[0], at_ms(now + 1_100)).is_some());
    pool.record_contact(at_ms(now + 1_100));
    assert_eq!(pool.check_reason(keys[0], at_ms(now + 1_200)), None);
}

/// Isolated hosts that each relied on an answer for a second sent 15 requests in
/// one second to a server that had turned cold in that time.
#[test]
fn isolated_host_asks_again_after_a_tenth_of_a_second() {
    let (mut pool, keys) = pool_of(1);
    pool.record_peer(at_ms(0));
    assert_eq!(pool.check_reason(keys[0], at_ms(1_600)), None);
    for at in [1_800, 1_900, 2_000] {
        let reason = pool.check_reason(keys[0], at_ms(at));
        assert_eq!(reason, Some(CheckReason::OutOfContact));
        pool.record_cold_left(keys[0], Duration::ZERO, at_ms(at));
        // Requests that waited for the answer do not ask one after another.
        assert_eq!(pool.check_reason(keys[0], at_ms(at + 20)), None);
    }
    pool.record_peer(at_ms(2_100));
    assert_eq!(pool.check_reason(keys[0], at_ms(2_200)), None);
}

/// The answer of a cold server takes it out of the choice, apart from what it
/// can handle.
#[test]
fn server_that_states_a_cold_start_is_cold() {
    let (mut pool, keys) = pool_of(2);
    let report = pool.record_cold_left(keys[0], Duration::from_secs(2), at_ms(100));
    assert_eq!(report.expect("it is known").cold_left_ms, 2_000);
    assert!(pool.is_cold(keys[0], at_ms(2_099)));
    assert!(!pool.is_cold(keys[0], at_ms(2_101)));
    let limit = pool.rate_limit(keys[0], Some(4.0), at_ms(200));
    assert_eq!(limit.expect("it is cold").rate_per_s, 3.0);
    assert_eq!(pool.rate_limit(keys[0], Some(4.0), at_ms(2_200)), None);
    assert_eq!(pool.rate_limit(keys[1], Some(4.0), at_ms(200)), None);
}

/// A server that crashed came back under its id, cold, before an entry said so.
#[test]
fn server_that_may_have_restarted_is_asked_first() {
    for signal in [
        ServerSignal::Refused,
        ServerSignal::Unreachable,
        ServerSignal::Failure,
    ] {
        let (mut pool, keys) = pool_of(1);
        pool.record_own_outcome(keys[0], signal, at_ms(10), at_ms(20));
        let reason = pool.check_reason(keys[0], at_ms(30));
        assert_eq!(reason, Some(CheckReason::Restarted), "{signal:?}");
        pool.record_cold_left(keys[0], Duration::ZERO, at_ms(40));
        assert_eq!(pool.check_reason(keys[0], at_ms(50)), None);
    }
    let (mut pool, keys) = pool_of(1);
    pool.record_peer_outcome(keys[0], ServerSignal::Refused, at_ms(10), at_ms(20));
    assert!(pool.check_reason(keys[0], at_ms(30)).is_some());
}

/// Failures that peers report mostly come from servers that run on: each would
/// cost a check on every host.
#[test]
fn failure_at_a_peer_leads_to_no_check() {
    let (mut pool, keys) = pool_of(1);
    pool.record_peer_outcome(keys[0], ServerSignal::Failure, at_ms(10), at_ms(20));
    assert_eq!(pool.check_reason(keys[0], at_ms(30)), None);
}

/// An entry that announces the cold start of a restarted server answers the
/// question; one written before the crash does not.
#[test]
fn entry_of_the_cold_start_ends_the_doubt() {
    let (mut pool, keys) = pool_of(1);
    pool.record_restart(keys[0], at_ms(10));
    pool.put(&server(0), Duration::ZERO, at_ms(20));
    assert!(pool.check_reason(keys[0], at_ms(30)).is_some());
    let cold = ServerEntry {
        cold_left: Duration::from_millis(500),
        ..server(0)
    };
    pool.put(&cold, Duration::ZERO, at_ms(40));
    assert_eq!(pool.check_reason(keys[0], at_ms(600)), None);
}

/// A host that starts read entries from before the servers' cold start.
#[test]
fn host_that_joins_asks_each_server_once() {
    let (mut pool, keys) = pool_of(1);
    pool.record_joining(at_ms(0));
    pool.record_contact(at_ms(2_000));
    assert_eq!(
        pool.check_reason(keys[0], at_ms(10)),
        Some(CheckReason::Joining)
    );
    pool.record_cold_left(keys[0], Duration::ZERO, at_ms(20));
    assert_eq!(pool.check_reason(keys[0], at_ms(2_400)), None);
    assert_eq!(pool.check_reason(keys[0], at_ms(2_600)), None);
}

/// While one request waits for the answer, others do not ask again, and a server
/// that is known to be warm comes first.
#[test]
fn requests_go_to_servers_that_need_no_check() {
    let (mut pool, keys) = pool_of(2);
    let mut random = SmallRng::seed_from_u64(1);
    let mut choose = |pool: &ServerPool, at| {
        let request = idempotent_request();
        pool.choose(request, Some(4.0), |_| true, &mut random, at_ms(at))
    };
    pool.record_restart(keys[0], at_ms(10));
    for _ in 0..20 {
        assert_eq!(choose(&pool, 20), ServerChoice::Send(keys[1]));
    }
    pool.begin_check(keys[1], at_ms(30));
    assert_eq!(choose(&pool, 40), ServerChoice::Send(keys[0]));
    pool.begin_check(keys[0], at_ms(50));
    let ServerChoice::Refuse(_, after) = choose(&pool, 60) else {
        panic!("both servers are being checked");
    };
    assert!(after <= Duration::from_millis(600), "{after:?}");
    pool.end_check(keys[0]);
    assert_eq!(choose(&pool, 70), ServerChoice::Send(keys[0]));
}

/// What one host learned spares the others the check; a report on an earlier
/// process says nothing.
#[test]
fn answers_to_peers_count() {
    let (mut pool, keys) = pool_of(1);
    let report = |started_ms, cold_left_ms| CheckReport {
        server: server(0).id,
        started_ms,
        cold_left_ms,
    };
    let now = at_ms(OUT_OF_CONTACT_MS + 500);
    assert!(!pool.record_peer_check(&report(0, 3_000), now));
    assert!(pool.check_reason(keys[0], now).is_some());
    assert!(!pool.record_peer_check(&report(server(0).started_ms, 0), now));
    assert_eq!(pool.check_reason(keys[0], now), None);
    assert!(pool.record_peer_check(&report(server(0).started_ms, 3_000), now));
    assert!(pool.is_cold(keys[0], now));
}
