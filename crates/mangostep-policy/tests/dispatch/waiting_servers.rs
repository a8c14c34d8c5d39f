//! Servers that shed a request and state for how long they want none.

use std::time::Duration;

use {
    mangostep_policy::{
        ChoiceRefusal, MonotonicTime, PoolSettings, ServerChoice, ServerKey, ServerPool,
        ServerSignal,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, idempotent_request, server};

fn pool(servers: u16) -> ServerPool {
    let mut pool = ServerPool::open(PoolSettings::default());
    for index in 0..servers {
        pool.put(&server(index), Duration::ZERO, at_ms(0));
    }
    pool
}

fn choose(pool: &ServerPool, seed: u64, now: MonotonicTime) -> ServerChoice {
    let mut random = SmallRng::seed_from_u64(seed);
    pool.choose(idempotent_request(), None, |_| true, &mut random, now)
}

/// Sends a request that the server sheds, with a wait.
fn shed(pool: &mut ServerPool, key: ServerKey, wait: Duration, spread: f64, now: MonotonicTime) {
    pool.start(key, now);
    pool.finish(key);
    pool.record_own_outcome(key, ServerSignal::Shed, now, now);
    pool.record_wait(key, wait, spread, now);
}

/// One server of two wants nothing: the other one takes all requests, and the
/// first one is not suspected of failing.
#[test]
fn other_server_takes_the_requests_during_a_wait() {
    let mut pool = pool(2);
    let key = pool.find("s0").expect("known");
    let other = pool.find("s1").expect("known");
    let before = pool.failure_chance(key, at_ms(100));
    assert_eq!(pool.statement_counts(at_ms(90)).waiting, 0);
    shed(&mut pool, key, Duration::from_secs(2), 0.0, at_ms(100));
    for now_ms in 100..2_100 {
        let choice = choose(&pool, now_ms, at_ms(now_ms));
        assert_eq!(choice, ServerChoice::Send(other), "at {now_ms} ms");
    }
    assert!(pool.failure_chance(key, at_ms(100)) <= before);
    assert_eq!(pool.statement_counts(at_ms(110)).waiting, 1);
    assert_eq!(pool.statement_counts(at_ms(2_200)).waiting, 0);
}

/// A wait binds the host that was told; its peers only learn that the server
/// sheds.
#[test]
fn peers_of_the_host_may_ask_the_server() {
    let mut pool = pool(1);
    let key = pool.find("s0").expect("known");
    pool.record_peer_outcome(key, ServerSignal::Shed, at_ms(90), at_ms(100));
    assert_eq!(choose(&pool, 1, at_ms(150)), ServerChoice::Send(key));
}

/// All servers want nothing for longer than the request may take: it is refused
/// at once, and callers return at different times, none before a server does.
#[test]
fn request_is_refused_with_the_servers_own_wait() {
    let mut pool = pool(3);
    for index in 0..3 {
        let key = pool.find(&server(index).id).expect("known");
        let wait = Duration::from_millis(800 + 400 * u64::from(index));
        shed(&mut pool, key, wait, 0.0, at_ms(100));
    }
    let mut waits: Vec<Duration> = Vec::new();
    for seed in 0..50 {
        let ServerChoice::Refuse(ChoiceRefusal::BackingOff, after) =
            choose(&pool, seed, at_ms(200))
        else {
            panic!("a server that wants nothing was chosen");
        };
        assert!(after >= Duration::from_millis(700), "{after:?}");
        waits.push(after);
    }
    waits.sort();
    assert!(
        waits[49] - waits[0] > Duration::from_millis(300),
        "{waits:?}"
    );
}

/// After the wait one request goes first; others follow once it succeeds.
#[test]
fn one_request_goes_first_after_a_wait() {
    let mut pool = pool(1);
    let key = pool.find("s0").expect("known");
    shed(&mut pool, key, Duration::from_secs(1), 0.0, at_ms(0));
    let now = at_ms(1_010);
    assert_eq!(choose(&pool, 1, now), ServerChoice::Send(key));
    pool.start(key, now);
    let choice = choose(&pool, 2, now);
    assert!(
        matches!(choice, ServerChoice::Refuse(ChoiceRefusal::BackingOff, _)),
        "{choice:?}"
    );
    pool.finish(key);
    pool.record_own_outcome(key, ServerSignal::Success, now, at_ms(1_200));
    pool.start(key, at_ms(1_200));
    assert_eq!(choose(&pool, 3, at_ms(1_210)), ServerChoice::Send(key));
}

/// The hosts of a fleet that were all told the same do not return together.
#[test]
fn hosts_return_at_different_times() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut returned: Vec<u64> = Vec::new();
    for host in 0..44 {
        let mut pool = pool(1);
        let key = pool.find("s0").expect("known");
        let spread = random.random_range(0.0..1.0);
        shed(&mut pool, key, Duration::from_secs(2), spread, at_ms(0));
        let first = (0..4_000).find(|now_ms| {
            let choice = choose(&pool, host, at_ms(*now_ms));
            choice == ServerChoice::Send(key)
        });
        returned.push(first.expect("it returns"));
    }
    returned.sort_unstable();
    assert!(returned[0] >= 2_000, "{returned:?}");
    let fullest = returned.windows(10).map(|ten| ten[9] - ten[0]).min();
    assert!(fullest >= Some(50), "ten hosts within {fullest:?} ms");
}

/// A malformed or hostile wait must not take a server away for good.
#[test]
fn wait_is_bounded() {
    let mut pool = pool(1);
    let key = pool.find("s0").expect("known");
    shed(&mut pool, key, Duration::MAX, 1.0, at_ms(0));
    assert_eq!(choose(&pool, 1, at_ms(80_000)), ServerChoice::Send(key));
}
