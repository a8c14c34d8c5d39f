use std::{collections::VecDeque, time::Duration};

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{
        AllowanceSettings, ChoiceRequest, LedgerRequest, LedgerSettings, MonotonicTime,
        PoolSettings, RetryAllowance, ServerChoice, ServerEntry, ServerKey, ServerPool,
        TokenLedger, TokenVerdict,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, server};

const HOSTS: usize = 44;
const NAMED: usize = 12;
/// Requests per second that a cold server can handle.
const COLD_RATE_PER_S: f64 = 2.7;

fn request_at(own_rate_per_s: f64, sees_peer_traffic: bool) -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: "ledger",
        kind: RequestKind::NonIdempotent,
        zone: "a",
        tried: &[],
        priority: 1,
        time_left: Duration::from_secs(2),
        own_rate_per_s,
        sees_peer_traffic,
        may_retry: false,
    }
}

/// Returns the server that a host chooses, if any.
fn choose(
    pool: &ServerPool,
    request: ChoiceRequest<'_>,
    random: &mut SmallRng,
    now: MonotonicTime,
) -> Option<ServerKey> {
    match pool.choose(request, Some(COLD_RATE_PER_S), |_| true, random, now) {
        ServerChoice::Send(key) => Some(key),
        ServerChoice::Refuse(..) => None,
    }
}

/// Returns the number of requests from all hosts to each server in each
/// second, while all but `warm` of the servers are cold. Hosts in the look-up
/// answers notify each other of the requests that they start.
fn starts_by_second(warm: u16, seed: u64) -> Vec<Vec<u32>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pools: Vec<ServerPool> = Vec::new();
    for _ in 0..HOSTS {
        let mut pool = ServerPool::open(PoolSettings::default());
        pool.set_host_count(HOSTS);
        for index in 0..10 {
            let cold_left = Duration::from_secs(if index < warm { 0 } else { 60 });
            let entry = ServerEntry {
                cold_left,
                ..server(index)
            };
            pool.put(&entry, Duration::ZERO, at_ms(0));
        }
        pools.push(pool);
    }
    let mut seconds = vec![vec![0; 10]; 10];
    for step in 0..10_000_u64 {
        let now = at_ms(step);
        // 72 requests per second on the named hosts, 32 on the others.
        let named = (step % 14 == 0).then_some((step / 14) as usize % NAMED);
        let other = (step % 31 == 0).then(|| NAMED + (step / 31) as usize % (HOSTS - NAMED));
        for host in named.into_iter().chain(other) {
            let (rate, sees_peers) = if host < NAMED {
                (6.0, true)
            } else {
                (1.0, false)
            };
            let request = request_at(rate, sees_peers);
            let Some(key) = choose(&pools[host], request, &mut random, now) else {
                continue;
            };
            let id = pools[host].entry(key).expect("it was chosen").id.clone();
            let index: usize = id[1..].parse().expect("ids end with a number");
            seconds[(step / 1_000) as usize][index] += 1;
            pools[host].start(key, now);
            pools[host].finish(key);
            for (other, pool) in pools.iter_mut().enumerate().take(NAMED) {
                if other != host && host < NAMED {
                    let key = pool.find(&id).expect("every host knows every server");
                    pool.record_start(key, now);
                }
            }
        }
    }
    seconds
}

/// Most servers of a service return cold at the same time; the hosts' rates
/// must not add up to more than a cold server can handle.
#[test]
fn fleet_stays_within_the_rate_of_cold_servers() {
    for (warm, seed) in [(5, 1), (1, 2), (0, 3)] {
        let seconds = starts_by_second(warm, seed);
        let cold = seconds
            .iter()
            .flat_map(|second| &second[usize::from(warm)..]);
        // The operators' bound: 1.5 times the rate plus five requests.
        let most = COLD_RATE_PER_S * 1.5 + 5.0;
        let worst = cold.copied().max().unwrap_or_default();
        assert!(
            f64::from(worst) <= most,
            "{worst} in a second, {most} allowed"
        );
    }
}

#[test]
fn cold_servers_are_used_without_warm_servers() {
    let seconds = starts_by_second(0, 4);
    let total: u32 = seconds.iter().flatten().sum();
    // Ten servers for ten seconds, at two thirds of the rate that they can
    // handle.
    assert!(total > 150, "{total} requests in ten seconds");
}

/// A zone lost power: its hosts restart at the same moment as its servers, and
/// know neither each other nor how many they are.
#[test]
fn hosts_starting_with_cold_servers_do_not_overload_them() {
    let mut random = SmallRng::seed_from_u64(6);
    let mut started = [0_u32; 10];
    for host in 0..16_u64 {
        let mut pool = ServerPool::open(PoolSettings::default());
        for index in 0..10 {
            let cold_left = Duration::from_secs(if index < 5 { 0 } else { 3 });
            let zone = if index < 5 { "b" } else { "a" }.to_owned();
            let entry = ServerEntry {
                cold_left,
                zone,
                ..server(index)
            };
            pool.put(&entry, Duration::ZERO, at_ms(0));
        }
        // Four requests per host in its first second.
        for request in 0..4 {
            let now = at_ms(request * 250 + host);
            let request = request_at(0.2, false);
            let Some(key) = choose(&pool, request, &mut random, now) else {
                continue;
            };
            let id = &pool.entry(key).expect("it was chosen").id;
            started[id[1..].parse::<usize>().expect("ids end with a number")] += 1;
            pool.start(key, now);
            pool.finish(key);
        }
    }
    let worst = started[5..].iter().max().copied().unwrap_or_default();
    assert!(
        f64::from(worst) <= COLD_RATE_PER_S * 1.5 + 5.0,
        "{worst} in a second: {started:?}"
    );
}

/// All hosts restart at once under load while half of the servers are cold:
/// each host's request rate is measured over a very short time of service.
#[test]
fn hosts_starting_under_load_do_not_overload_cold_servers() {
    const STARTED: usize = 100;
    let mut random = SmallRng::seed_from_u64(7);
    let mut started = [0_u32; 10];
    let mut hosts: Vec<(ServerPool, RetryAllowance)> = Vec::new();
    for _ in 0..STARTED {
        let mut pool = ServerPool::open(PoolSettings::default());
        pool.set_host_count(STARTED);
        for index in 0..10 {
            let cold_left = Duration::from_secs(if index < 5 { 0 } else { 3 });
            let entry = ServerEntry {
                cold_left,
                ..server(index)
            };
            pool.put(&entry, Duration::ZERO, at_ms(0));
        }
        hosts.push((pool, RetryAllowance::open(AllowanceSettings::default())));
    }
    // Twelve requests per host in its first second.
    for request in 0..12 {
        for (host, (pool, allowance)) in hosts.iter_mut().enumerate() {
            let now = at_ms(request * 80 + host as u64 % 80);
            allowance.record_request("ledger", now);
            let rate = allowance.request_rate("ledger", now);
            let request = request_at(rate, false);
            let Some(key) = choose(pool, request, &mut random, now) else {
                continue;
            };
            let id = &pool.entry(key).expect("it was chosen").id;
            started[id[1..].parse::<usize>().expect("ids end with a number")] += 1;
            pool.start(key, now);
            pool.finish(key);
        }
    }
    let worst = started[5..].iter().max().copied().unwrap_or_default();
    assert!(
        f64::from(worst) <= COLD_RATE_PER_S * 1.5 + 5.0,
        "{worst} in a second: {started:?}"
    );
}

/// Several hundred hosts with a tenth of a core each learn of each other's
/// requests only after some time. The warm servers of a service are full, so
/// that all hosts look for a cold one at the same moment.
#[test]
fn large_fleet_with_late_signals_stays_within_the_rate_of_cold_servers() {
    const LARGE_FLEET: usize = 400;
    const SIGNAL_DELAY_MS: u64 = 150;
    const FLEET_RATE_PER_S: u64 = 1_000;
    let mut random = SmallRng::seed_from_u64(5);
    let mut pools: Vec<ServerPool> = Vec::new();
    for _ in 0..LARGE_FLEET {
        let mut pool = ServerPool::open(PoolSettings::default());
        pool.set_host_count(LARGE_FLEET);
        let entry = ServerEntry {
            cold_left: Duration::from_secs(60),
            ..server(0)
        };
        pool.put(&entry, Duration::ZERO, at_ms(0));
        pools.push(pool);
    }
    let mut starts: VecDeque<(u64, usize)> = VecDeque::new();
    let mut seconds = vec![0_u32; 20];
    for number in 0..20 * FLEET_RATE_PER_S {
        let now_ms = number * 1_000 / FLEET_RATE_PER_S;
        while let Some((sent_ms, sender)) = starts.front().copied() {
            if now_ms < sent_ms + SIGNAL_DELAY_MS {
                break;
            }
            starts.pop_front();
            for (_, pool) in pools.iter_mut().enumerate().filter(|(o, _)| *o != sender) {
                let key = pool.find("s0").expect("every host knows the server");
                pool.record_start(key, at_ms(now_ms));
            }
        }
        let host = number as usize % LARGE_FLEET;
        let rate = FLEET_RATE_PER_S as f64 / LARGE_FLEET as f64;
        let choice = pools[host].choose(
            request_at(rate, true),
            Some(COLD_RATE_PER_S),
            |_| true,
            &mut random,
            at_ms(now_ms),
        );
        if let ServerChoice::Send(key) = choice {
            seconds[(now_ms / 1_000) as usize] += 1;
            pools[host].start(key, at_ms(now_ms));
            pools[host].finish(key);
            starts.push_back((now_ms, host));
        }
    }
    // The operators' bound for a fleet of this size: 1.5 times the rate plus
    // ten requests.
    let most = COLD_RATE_PER_S * 1.5 + 10.0;
    let worst = seconds.iter().copied().max().unwrap_or_default();
    assert!(
        f64::from(worst) <= most,
        "{worst} in a second, {most} allowed"
    );
    assert!(seconds.iter().sum::<u32>() > 20, "{seconds:?}");
}

/// Hosts that hear nothing of each other's starts, and whose warm servers are
/// full, each took the whole rate of a cold server for themselves: in a burst,
/// their estimate of the fleet's rate is too low.
#[test]
fn hosts_without_peers_stay_within_the_rate_of_a_cold_server_together() {
    const CUT_OFF: usize = 18;
    let mut random = SmallRng::seed_from_u64(8);
    let mut hosts: Vec<(ServerPool, TokenLedger)> = Vec::new();
    for _ in 0..CUT_OFF {
        let mut pool = ServerPool::open(PoolSettings::default());
        pool.set_host_count(HOSTS);
        let entry = ServerEntry {
            cold_left: Duration::from_secs(60),
            slots: 4,
            ..server(0)
        };
        pool.put(&entry, Duration::ZERO, at_ms(0));
        hosts.push((pool, TokenLedger::open(LedgerSettings::default())));
    }
    let mut seconds = [0_u32; 10];
    // Twelve requests per second on each host, while the average over the last
    // seconds is still one.
    for step in 0..2_160_u64 {
        let now = at_ms(step * 1_000 / 216);
        let (pool, ledger) = &mut hosts[step as usize % CUT_OFF];
        let request = request_at(1.0, true);
        let Some(key) = choose(pool, request, &mut random, now) else {
            continue;
        };
        let limit = pool.rate_limit(key, Some(COLD_RATE_PER_S), now);
        let limit = limit.expect("the server is cold");
        let rate_per_s = limit.rate_per_s / HOSTS as f64;
        let request = LedgerRequest {
            is_alone: true,
            ..LedgerRequest::open((0, step), "s0", rate_per_s, 1.0)
        };
        match ledger.acquire(request, now) {
            TokenVerdict::Granted => {
                seconds[step as usize / 216] += 1;
                pool.start(key, now);
                pool.finish(key);
            }
            TokenVerdict::Denied(after) => pool.record_denial(key, now + after),
        }
    }
    let worst = seconds.iter().max().copied().unwrap_or_default();
    assert!(
        f64::from(worst) <= COLD_RATE_PER_S * 1.5 + 5.0,
        "{worst} in a second: {seconds:?}"
    );
}
