use std::time::Duration;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{
        AllowanceSettings, ChoiceRequest, PoolSettings, RetryAllowance, ServerChoice, ServerEntry,
        ServerPool,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, server};

const HOSTS: usize = 44;
const NAMED: usize = 12;
/// Requests a second that a cold server bears.
const COLD_RATE: f64 = 2.7;

fn ask(own_rate_per_s: f64, sees_peer_traffic: bool) -> ChoiceRequest<'static> {
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

/// Requests that the servers get from all hosts in each second, while all but
/// `warm` of them are cold. Hosts that callers are led to tell each other of
/// their starts.
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
        // 72 requests a second on named hosts, 32 on the others.
        let named = (step % 14 == 0).then_some((step / 14) as usize % NAMED);
        let other = (step % 31 == 0).then(|| NAMED + (step / 31) as usize % (HOSTS - NAMED));
        for host in named.into_iter().chain(other) {
            let (rate, sees) = if host < NAMED {
                (6.0, true)
            } else {
                (1.0, false)
            };
            let choice =
                pools[host].choose(ask(rate, sees), Some(COLD_RATE), |_| true, &mut random, now);
            let ServerChoice::Send(key) = choice else {
                continue;
            };
            let id = pools[host].entry(key).expect("it was chosen").id.clone();
            let index: usize = id[1..].parse().expect("ids end with a number");
            seconds[(step / 1_000) as usize][index] += 1;
            pools[host].start(key, now);
            pools[host].finish(key);
            for (other, pool) in pools.iter_mut().enumerate().take(NAMED) {
                if other != host && host < NAMED {
                    let key = pool.find(&id).expect("all know all servers");
                    pool.record_start(key, now);
                }
            }
        }
    }
    seconds
}

/// Most servers of a service came back cold at once.
#[test]
fn all_hosts_together_send_a_cold_server_what_it_bears() {
    for (warm, seed) in [(5, 1), (1, 2), (0, 3)] {
        let seconds = starts_by_second(warm, seed);
        let cold = seconds
            .iter()
            .flat_map(|second| &second[usize::from(warm)..]);
        // The operators' bound: half as much again and five requests.
        let most = COLD_RATE * 1.5 + 5.0;
        let worst = cold.copied().max().unwrap_or_default();
        assert!(
            f64::from(worst) <= most,
            "{worst} in a second, {most} allowed"
        );
    }
}

#[test]
fn cold_servers_work_where_no_other_does() {
    let seconds = starts_by_second(0, 4);
    let total: u32 = seconds.iter().flatten().sum();
    // Ten servers for ten seconds, at two thirds of what they bear.
    assert!(total > 150, "{total} requests in ten seconds");
}

/// A zone lost power: its hosts start again at the same moment as its servers,
/// and know neither each other nor how many they are.
#[test]
fn hosts_that_start_with_cold_servers_spare_them() {
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
        // Four requests in its first second.
        for request in 0..4 {
            let now = at_ms(request * 250 + host);
            let choice = pool.choose(ask(0.2, false), Some(COLD_RATE), |_| true, &mut random, now);
            let ServerChoice::Send(key) = choice else {
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
        f64::from(worst) <= COLD_RATE * 1.5 + 5.0,
        "{worst} in a second: {started:?}"
    );
}

/// All hosts start again at once while callers come, and half of the servers
/// are cold: a host's rate is measured over its few moments of service.
#[test]
fn hosts_that_start_under_load_spare_cold_servers() {
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
    // Twelve requests of each host in its first second.
    for request in 0..12 {
        for (host, (pool, allowance)) in hosts.iter_mut().enumerate() {
            let now = at_ms(request * 80 + host as u64 % 80);
            allowance.record_request("ledger", now);
            let rate = allowance.request_rate("ledger", now);
            let choice = pool.choose(
                ask(rate, false),
                Some(COLD_RATE),
                |_| true,
                &mut random,
                now,
            );
            let ServerChoice::Send(key) = choice else {
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
        f64::from(worst) <= COLD_RATE * 1.5 + 5.0,
        "{worst} in a second: {started:?}"
    );
}
