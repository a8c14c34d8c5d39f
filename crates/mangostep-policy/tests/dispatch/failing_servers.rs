use std::time::Duration;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{
        ChoiceRefusal, ChoiceRequest, MonotonicTime, PoolSettings, ServerChoice, ServerKey,
        ServerPool, ServerSignal,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, server};

fn request_of(kind: RequestKind) -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: "ledger",
        kind,
        zone: "a",
        tried: &[],
        priority: 1,
        time_left: Duration::from_secs(2),
        own_rate_per_s: 50.0,
        sees_peer_traffic: true,
        may_retry: kind == RequestKind::Idempotent,
    }
}

fn pool_of(servers: u16) -> ServerPool {
    let mut pool = ServerPool::open(PoolSettings::default());
    for index in 0..servers {
        pool.put(&server(index), Duration::ZERO, at_ms(0));
    }
    pool
}

fn pick(
    pool: &ServerPool,
    kind: RequestKind,
    random: &mut SmallRng,
    now: MonotonicTime,
) -> ServerKey {
    match pool.choose(request_of(kind), None, |_| true, random, now) {
        ServerChoice::Send(key) => key,
        ServerChoice::Refuse(reason, _) => panic!("refused: {}", reason.as_str()),
    }
}

/// Servers s0 to s2 of ten reset 85 % of their requests for twenty seconds.
/// Returns the share of non-idempotent requests that were lost, and the number
/// of requests to failing servers.
fn lost_share(kinds: [RequestKind; 4]) -> (f64, u32) {
    let mut pool = pool_of(10);
    let mut random = SmallRng::seed_from_u64(7);
    let (mut non_idempotent, mut lost, mut to_failing) = (0.0, 0.0, 0);
    for step in 0..1_000_u64 {
        let now = at_ms(step * 20);
        let kind = kinds[(step % 4) as usize];
        let key = pick(&pool, kind, &mut random, now);
        let is_failing = ["s0", "s1", "s2"].contains(&&*pool.entry(key).expect("known").id);
        let fails = is_failing && random.random_bool(0.85);
        let signal = match fails {
            true => ServerSignal::Failure,
            false => ServerSignal::Success,
        };
        pool.record_own_outcome(key, signal, now, now);
        to_failing += u32::from(is_failing);
        if kind == RequestKind::NonIdempotent {
            non_idempotent += 1.0;
            lost += f64::from(u8::from(fails));
            pool.record_ended("ledger", !fails, 0.02, now);
        }
    }
    (lost / non_idempotent, to_failing)
}

/// Three of ten servers reset connections, and one request in four is
/// retryable.
#[test]
fn non_idempotent_requests_avoid_failing_servers() {
    use RequestKind::{Idempotent, NonIdempotent};
    let (lost, _) = lost_share([NonIdempotent, Idempotent, NonIdempotent, NonIdempotent]);
    // Without the preference for healthy servers, 25 % are lost.
    assert!(lost < 0.02, "{lost} lost");
}

/// A server that was suspected has recovered.
#[test]
fn recovered_server_gets_requests_within_seconds() {
    let mut pool = pool_of(4);
    let mut random = SmallRng::seed_from_u64(3);
    let failed = pool.find("s0").expect("known");
    for _ in 0..3 {
        pool.record_own_outcome(failed, ServerSignal::Failure, at_ms(0), at_ms(0));
    }
    let mut first = None;
    for step in 0..400_u64 {
        let now = at_ms(step * 20);
        let kind = match step % 4 {
            0 => RequestKind::Idempotent,
            _ => RequestKind::NonIdempotent,
        };
        let key = pick(&pool, kind, &mut random, now);
        pool.record_own_outcome(key, ServerSignal::Success, now, now);
        if key == failed && kind == RequestKind::Idempotent {
            first.get_or_insert(step * 20);
        }
    }
    assert!(
        first.is_some_and(|millis| millis <= 3_000),
        "first trial request: {first:?}"
    );
    assert!(pool.failure_chance(failed, at_ms(8_000)) < 0.1);
}

/// A service gets only non-idempotent requests, and many of them fail.
#[test]
fn idle_servers_are_explored_while_many_requests_fail() {
    let mut pool = pool_of(10);
    let mut random = SmallRng::seed_from_u64(5);
    let idle = pool.find("s9").expect("known");
    pool.record_own_outcome(idle, ServerSignal::Failure, at_ms(0), at_ms(0));
    let mut idle_picks = 0;
    for step in 0..200_u64 {
        let now = at_ms(step * 20);
        let key = pick(&pool, RequestKind::NonIdempotent, &mut random, now);
        let is_served = step % 8 != 0;
        pool.record_own_outcome(key, ServerSignal::Success, now, now);
        pool.record_ended("ledger", is_served, 0.02, now);
        idle_picks += u32::from(key == idle);
    }
    assert!(
        idle_picks > 0,
        "the idle server got no request for four seconds"
    );
}

/// Refunds are non-idempotent and few: two failures are not significant for
/// the whole service.
#[test]
fn two_failures_among_few_requests_start_no_exploration() {
    let mut pool = pool_of(6);
    let mut random = SmallRng::seed_from_u64(11);
    let healthy = pool.find("s0").expect("known");
    pool.record_ended("ledger", false, 0.02, at_ms(0));
    pool.record_ended("ledger", false, 0.02, at_ms(10));
    for step in 0..20 {
        let now = at_ms(100 * step);
        pool.record_own_outcome(healthy, ServerSignal::Success, now, now);
        pool.record_ended("ledger", true, 0.02, now);
        let key = pick(&pool, RequestKind::NonIdempotent, &mut random, now);
        assert_eq!(key, healthy);
    }
}

/// A host that has just started sends its first requests to failing servers;
/// counted, these failures would prolong the exploration.
#[test]
fn failures_at_explored_servers_do_not_prolong_exploration() {
    let mut pool = pool_of(12);
    let mut random = SmallRng::seed_from_u64(13);
    let healthy = pool.find("s0").expect("known");
    for failing in ["s1", "s2", "s3", "s4"] {
        let key = pool.find(failing).expect("known");
        let chance = pool.failure_chance(key, at_ms(0));
        pool.record_own_outcome(key, ServerSignal::Failure, at_ms(0), at_ms(0));
        pool.record_ended("ledger", false, chance, at_ms(0));
    }
    let mut explored = 0;
    for step in 0..40 {
        let now = at_ms(50 * step);
        pool.record_peer_outcome(healthy, ServerSignal::Success, now, now);
        let key = pick(&pool, RequestKind::NonIdempotent, &mut random, now);
        let chance = pool.failure_chance(key, now);
        let is_served = key == healthy;
        if !is_served {
            explored += 1;
            pool.record_own_outcome(key, ServerSignal::Failure, now, now);
        }
        pool.record_ended("ledger", is_served, chance, now);
    }
    assert!(
        explored <= 2,
        "{explored} requests explored failing servers"
    );
}

/// Steady traffic of refunds alone to 14 servers, of which four fail
/// permanently. A fault of the hosts may happen at any moment, and is judged
/// together with the two seconds before it.
#[test]
fn most_healthy_servers_get_requests_in_any_two_seconds() {
    const SERVERS: u16 = 14;
    const FAILING: u16 = 4;
    let mut pool = pool_of(SERVERS);
    let mut random = SmallRng::seed_from_u64(14);
    let keys: Vec<ServerKey> = (0..SERVERS)
        .map(|index| pool.find(&format!("s{index}")).expect("known"))
        .collect();
    let mut running: Vec<(u64, ServerKey, u64)> = Vec::new();
    let mut starts: Vec<(u64, ServerKey)> = Vec::new();
    let mut lost = 0;
    for step in 0..900_u64 {
        let now_ms = step * 33;
        let now = at_ms(now_ms);
        running.retain(|(end, key, sent)| {
            let is_over = *end <= now_ms;
            if is_over {
                pool.finish(*key);
                pool.record_own_outcome(*key, ServerSignal::Success, at_ms(*sent), at_ms(*end));
                pool.record_ended("ledger", true, 0.02, at_ms(*end));
            }
            !is_over
        });
        let key = pick(&pool, RequestKind::NonIdempotent, &mut random, now);
        let chance = pool.failure_chance(key, now);
        pool.start(key, now);
        starts.push((now_ms, key));
        if keys[..usize::from(FAILING)].contains(&key) && random.random_bool(0.75) {
            pool.finish(key);
            pool.record_own_outcome(key, ServerSignal::Failure, now, now);
            pool.record_ended("ledger", false, chance, now);
            lost += 1;
        } else {
            running.push((now_ms + 150, key, now_ms));
        }
    }
    // During the first seconds the host finds out which servers fail.
    for from in (4_000..27_000).step_by(100) {
        let inside = |(at, _): &&(u64, ServerKey)| (from..from + 2_000).contains(at);
        let used: std::collections::HashSet<ServerKey> =
            starts.iter().filter(inside).map(|(_, key)| *key).collect();
        let healthy = keys[usize::from(FAILING)..].iter();
        let used_healthy = healthy.filter(|key| used.contains(*key)).count();
        assert!(
            used_healthy >= 9,
            "{used_healthy} of 10 healthy servers from {from} ms"
        );
    }
    // Without the preference for healthy servers, a quarter would be lost.
    assert!(lost <= 27, "{lost} of 900 refunds were lost");
}

/// More than a tenth of the requests fail. A suspected server without a trial
/// request counts as healthy two seconds after its last failure.
#[test]
fn suspected_servers_get_trial_requests_within_two_seconds() {
    let mut pool = pool_of(3);
    let mut random = SmallRng::seed_from_u64(12);
    let suspect = pool.find("s2").expect("known");
    let others = ["s0", "s1"].map(|id| pool.find(id).expect("known"));
    for _ in 0..6 {
        pool.record_peer_outcome(suspect, ServerSignal::Failure, at_ms(0), at_ms(0));
    }
    let mut first_trial = None;
    for step in 1..100 {
        let now = at_ms(20 * step);
        for key in others {
            pool.record_own_outcome(key, ServerSignal::Success, now, now);
        }
        pool.record_ended("ledger", step % 8 != 0, 0.02, now);
        pool.record_retryable("ledger", true, now);
        let key = pick(&pool, RequestKind::Idempotent, &mut random, now);
        if key == suspect {
            first_trial.get_or_insert(20 * step);
        }
    }
    assert!(
        first_trial.is_some_and(|at| at <= 2_000),
        "first trial request at {first_trial:?}"
    );
}

/// A request that was sent before the server began to fail succeeds after the
/// server's first reset.
#[test]
fn success_of_an_earlier_request_does_not_clear_a_failure() {
    let mut pool = pool_of(2);
    let mut random = SmallRng::seed_from_u64(4);
    let [failing, other] = ["s0", "s1"].map(|id| pool.find(id).expect("known"));
    for _ in 0..5 {
        pool.record_own_outcome(failing, ServerSignal::Success, at_ms(0), at_ms(0));
    }
    pool.record_own_outcome(failing, ServerSignal::Failure, at_ms(200), at_ms(202));
    let before = pool.failure_chance(failing, at_ms(250));
    for _ in 0..3 {
        pool.record_peer_outcome(failing, ServerSignal::Success, at_ms(100), at_ms(250));
    }
    assert!(pool.failure_chance(failing, at_ms(250)) >= before);
    let key = pick(&pool, RequestKind::NonIdempotent, &mut random, at_ms(251));
    assert_eq!(key, other);
    // Successes of requests that were sent after the failure clear the server.
    for _ in 0..5 {
        pool.record_peer_outcome(failing, ServerSignal::Success, at_ms(260), at_ms(500));
    }
    assert!(pool.failure_chance(failing, at_ms(500)) < 0.05);
}

/// Each change of a server's suspicion is reported once, for the log.
#[test]
fn suspicion_change_is_reported_once() {
    let mut pool = pool_of(1);
    let server = pool.find("s0").expect("known");
    for _ in 0..5 {
        pool.record_peer_outcome(server, ServerSignal::Success, at_ms(0), at_ms(0));
    }
    let mut changes = Vec::new();
    for at in [200, 210, 220] {
        changes.extend(pool.record_peer_outcome(
            server,
            ServerSignal::Failure,
            at_ms(at),
            at_ms(at),
        ));
    }
    assert!(changes.len() == 1 && changes[0].is_suspected, "{changes:?}");
    assert!(changes[0].before < changes[0].after);
    for at in 300..320 {
        changes.extend(pool.record_peer_outcome(
            server,
            ServerSignal::Success,
            at_ms(at),
            at_ms(at),
        ));
    }
    assert!(
        changes.len() == 2 && !changes[1].is_suspected,
        "{changes:?}"
    );
}

/// Healthy servers give one error response in a hundred.
#[test]
fn error_response_weighs_less_than_a_reset() {
    let mut pool = pool_of(2);
    let [reset, error] = ["s0", "s1"].map(|id| pool.find(id).expect("known"));
    for key in [reset, error] {
        for _ in 0..5 {
            pool.record_peer_outcome(key, ServerSignal::Success, at_ms(0), at_ms(100));
        }
    }
    pool.record_peer_outcome(reset, ServerSignal::Failure, at_ms(300), at_ms(302));
    pool.record_peer_outcome(error, ServerSignal::Error, at_ms(300), at_ms(500));
    assert!(pool.failure_chance(error, at_ms(500)) < 0.2);
    assert!(pool.failure_chance(reset, at_ms(302)) > 0.3);
}

/// This host's network path to a server is broken, while all peers reach the
/// server.
#[test]
fn peer_successes_do_not_clear_a_broken_path() {
    let mut pool = pool_of(3);
    let unreachable = pool.find("s0").expect("known");
    let mut random = SmallRng::seed_from_u64(9);
    for _ in 0..3 {
        pool.record_own_outcome(unreachable, ServerSignal::Unreachable, at_ms(0), at_ms(0));
    }
    for _ in 0..20 {
        pool.record_peer_outcome(unreachable, ServerSignal::Success, at_ms(1), at_ms(1));
    }
    for step in 0..50 {
        let now = at_ms(2 + step);
        assert_ne!(
            pick(&pool, RequestKind::NonIdempotent, &mut random, now),
            unreachable
        );
    }
}

/// The servers of a zone stopped without notice. No host needs to detect that
/// by itself, and a different server at an address is stronger evidence than a
/// reset.
#[test]
fn refused_connections_count_for_all_hosts() {
    let mut pool = pool_of(4);
    let [refusing, misdirecting, silent, healthy] =
        ["s0", "s1", "s2", "s3"].map(|id| pool.find(id).expect("known"));
    for key in [refusing, misdirecting, silent, healthy] {
        for _ in 0..5 {
            pool.record_peer_outcome(key, ServerSignal::Success, at_ms(0), at_ms(100));
        }
    }
    let before = pool.failure_chance(silent, at_ms(200));
    pool.record_peer_outcome(refusing, ServerSignal::Refused, at_ms(200), at_ms(200));
    pool.record_peer_outcome(
        misdirecting,
        ServerSignal::Misdirected,
        at_ms(200),
        at_ms(200),
    );
    pool.record_peer_outcome(silent, ServerSignal::Unreachable, at_ms(200), at_ms(200));
    assert!(
        pool.failure_chance(refusing, at_ms(200)) > 5.0 * pool.failure_chance(healthy, at_ms(200))
    );
    assert!(
        pool.failure_chance(misdirecting, at_ms(200)) > pool.failure_chance(refusing, at_ms(200))
    );
    assert_eq!(pool.failure_chance(silent, at_ms(200)), before);
}

/// All servers shed half of their requests for a while.
#[test]
fn shedding_servers_are_preferred_to_failing_ones() {
    let mut pool = pool_of(3);
    let mut random = SmallRng::seed_from_u64(2);
    let failing = pool.find("s2").expect("known");
    for _ in 0..3 {
        pool.record_own_outcome(failing, ServerSignal::Failure, at_ms(0), at_ms(0));
    }
    for id in ["s0", "s1"] {
        let key = pool.find(id).expect("known");
        pool.record_own_outcome(key, ServerSignal::Shed, at_ms(1), at_ms(1));
    }
    for _ in 0..20 {
        assert_ne!(
            pick(&pool, RequestKind::NonIdempotent, &mut random, at_ms(2)),
            failing
        );
    }
}

/// Hosts of another zone send trial requests to its servers. This host has
/// little evidence about them, since successes are not reported across zones.
#[test]
fn idempotent_requests_do_not_explore_other_zones() {
    let mut pool = pool_of(4);
    for index in 4..8 {
        let mut far = server(index);
        far.zone = "b".to_owned();
        pool.put(&far, Duration::ZERO, at_ms(0));
    }
    let mut random = SmallRng::seed_from_u64(16);
    for step in 0..200 {
        let now = at_ms(3_000 + 20 * step);
        let key = pick(&pool, RequestKind::Idempotent, &mut random, now);
        assert_eq!(pool.entry(key).expect("known").zone, "a");
        pool.record_own_outcome(key, ServerSignal::Success, now, now);
    }
}

/// The addresses of ended servers went to another service. Each host retried
/// every request at all of them until their entries lapsed, and the retries
/// counted against the budget of the service that had the addresses.
#[test]
fn servers_with_a_new_owner_of_their_address_are_not_asked_again() {
    let mut pool = pool_of(3);
    let mut random = SmallRng::seed_from_u64(16);
    let gone = ["s0", "s1"].map(|id| pool.find(id).expect("known"));
    // One server answered this host, the other one a peer.
    pool.record_own_outcome(gone[0], ServerSignal::Misdirected, at_ms(0), at_ms(1));
    pool.record_peer_outcome(gone[1], ServerSignal::Misdirected, at_ms(0), at_ms(1));
    let other = pool.find("s2").expect("known");
    for now_ms in 2..2_000 {
        // The third server fails, so that any other one would look better.
        pool.record_own_outcome(other, ServerSignal::Failure, at_ms(now_ms), at_ms(now_ms));
        for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
            let choice = pick(&pool, kind, &mut random, at_ms(now_ms));
            assert_eq!(choice, other, "at {now_ms} ms");
        }
    }
    // A false answer does not take a server away for good.
    let chosen = (7_000..9_000)
        .map(|now_ms| pick(&pool, RequestKind::Idempotent, &mut random, at_ms(now_ms)));
    assert!(chosen.into_iter().any(|key| gone.contains(&key)));
}

/// All servers are equally good, and this host has connections to two of them.
#[test]
fn connected_servers_are_preferred_among_equals() {
    let pool = pool_of(8);
    let mut random = SmallRng::seed_from_u64(15);
    let connected = ["s3", "s5"].map(|id| pool.find(id).expect("known"));
    for _ in 0..50 {
        let request = request_of(RequestKind::NonIdempotent);
        let is_connected = |key| connected.contains(&key);
        let choice = pool.choose(request, None, is_connected, &mut random, at_ms(1));
        assert!(matches!(choice, ServerChoice::Send(key) if connected.contains(&key)));
    }
}

/// Draining servers and servers of zones out of service get no requests, even
/// if few servers remain.
#[test]
fn draining_servers_and_zones_out_get_no_requests() {
    let mut pool = pool_of(2);
    let mut random = SmallRng::seed_from_u64(1);
    let mut draining = server(0);
    draining.is_draining = true;
    pool.put(&draining, Duration::ZERO, at_ms(0));
    let other = pool.find("s1").expect("known");
    for _ in 0..20 {
        assert_eq!(
            pick(&pool, RequestKind::Idempotent, &mut random, at_ms(1)),
            other
        );
    }
    pool.set_zones_out(["a".to_owned()].into(), Duration::from_secs(3), at_ms(2));
    let choice = pool.choose(
        request_of(RequestKind::Idempotent),
        None,
        |_| true,
        &mut random,
        at_ms(3),
    );
    assert!(matches!(
        choice,
        ServerChoice::Refuse(ChoiceRefusal::NoServer, _)
    ));
}
