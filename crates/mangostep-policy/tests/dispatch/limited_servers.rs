//! Servers that state how many requests per second they take from all hosts
//! together.

use std::{collections::BTreeMap, time::Duration};

use {
    mangostep_policy::{
        ChoiceRefusal, LedgerRequest, LedgerSettings, MonotonicTime, PoolSettings, ServerChoice,
        ServerKey, ServerPool, ServerStatement, StatementReport, TokenLedger, TokenVerdict,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, idempotent_request, server};

/// Time after its first statement from which on a server's limit binds.
const CONTACT_MS: u64 = 3_000;

/// Window over which the requests to a server are counted.
const WINDOW_MS: u64 = 4_000;

/// Time until a host has learned of a statement from its peers.
const REPORT_DELAY_MS: u64 = 600;

/// Hosts that send requests to the same servers, with one limit home.
struct LimitedFleet {
    pools: Vec<ServerPool>,
    home: TokenLedger,
    random: SmallRng,
    servers: u16,
    /// Rate limits that servers state in their responses, by id.
    limits: BTreeMap<String, f64>,
    /// Times in milliseconds at which servers were sent requests, by id.
    sent: BTreeMap<String, Vec<u64>>,
    /// Reports that the hosts have not received yet, and when they do.
    reports: Vec<(u64, StatementReport)>,
    refused: u64,
    requests: u64,
}

impl LimitedFleet {
    fn open(hosts: usize, servers: u16, seed: u64) -> Self {
        let mut pools = Vec::new();
        for _ in 0..hosts {
            let mut pool = ServerPool::open(PoolSettings::default());
            pool.set_host_count(hosts);
            for index in 0..servers {
                pool.put(&server(index), Duration::ZERO, at_ms(0));
            }
            pools.push(pool);
        }
        LimitedFleet {
            pools,
            home: TokenLedger::open(LedgerSettings::default()),
            random: SmallRng::seed_from_u64(seed),
            servers,
            limits: BTreeMap::new(),
            sent: BTreeMap::new(),
            reports: Vec::new(),
            refused: 0,
            requests: 0,
        }
    }

    fn id(index: u16) -> String {
        server(index).id
    }

    /// Sends `rate_per_s` requests per second from all hosts in turn.
    fn run(&mut self, from_ms: u64, to_ms: u64, rate_per_s: u64) {
        for now_ms in from_ms..to_ms {
            self.deliver_reports(now_ms);
            let due = (now_ms + 1) * rate_per_s / 1_000 - now_ms * rate_per_s / 1_000;
            for _ in 0..due {
                self.send_request(now_ms);
            }
        }
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        let is_due = |report: &&(u64, StatementReport)| report.0 <= now_ms;
        for (due_ms, report) in self.reports.iter().filter(is_due) {
            let mut report = report.clone();
            report.age_ms = u32::try_from(now_ms - due_ms + REPORT_DELAY_MS).expect("short");
            for pool in &mut self.pools {
                pool.record_peer_statement(&report, at_ms(now_ms));
            }
        }
        self.reports.retain(|(due_ms, _)| *due_ms > now_ms);
    }

    fn send_request(&mut self, now_ms: u64) {
        let host = (self.requests % self.pools.len() as u64) as usize;
        self.requests += 1;
        let now = at_ms(now_ms);
        loop {
            let request = idempotent_request();
            let pool = &self.pools[host];
            let choice = pool.choose(request, None, |_| true, &mut self.random, now);
            let ServerChoice::Send(key) = choice else {
                self.refused += 1;
                return;
            };
            if self.take_token(host, key, now) {
                self.send(host, key, now_ms);
                return;
            }
        }
    }

    fn take_token(&mut self, host: usize, key: ServerKey, now: MonotonicTime) -> bool {
        let Some(limit) = self.pools[host].rate_limit(key, None, now) else {
            return true;
        };
        let id = self.pools[host].entry(key).expect("chosen").id.clone();
        let request = LedgerRequest::open(
            (host as u64, now.as_micros() * 8 + self.requests),
            &id,
            limit.rate_per_s,
            limit.burst,
        );
        match self.home.acquire(request, now) {
            TokenVerdict::Granted => true,
            TokenVerdict::Denied(after) => {
                self.pools[host].record_denial(key, now + after);
                false
            }
        }
    }

    fn send(&mut self, host: usize, key: ServerKey, now_ms: u64) {
        let now = at_ms(now_ms);
        let pool = &mut self.pools[host];
        let entry = pool.entry(key).expect("chosen").clone();
        self.sent.entry(entry.id.clone()).or_default().push(now_ms);
        pool.start(key, now);
        pool.finish(key);
        let statement = ServerStatement {
            rate_limit_per_s: self.limits.get(&entry.id).copied(),
            ..Default::default()
        };
        if pool.record_own_statement(key, &server(0), statement, now) {
            let report = StatementReport {
                server: entry.id,
                started_ms: entry.started_ms,
                statement,
                age_ms: 0,
            };
            self.reports.push((now_ms + REPORT_DELAY_MS, report));
        }
    }

    /// Largest number of requests to a server in a window that begins at
    /// `from_ms` or later.
    fn fullest_window(&self, id: &str, from_ms: u64) -> usize {
        let sent = self.sent.get(id).map_or(&[][..], Vec::as_slice);
        let starts = sent.iter().enumerate().filter(|(_, at)| **at >= from_ms);
        let counts = starts.map(|(index, start)| {
            let within = sent[index..].iter();
            within.take_while(|at| **at - start < WINDOW_MS).count()
        });
        counts.max().unwrap_or_default()
    }

    fn sent_between(&self, id: &str, from_ms: u64, to_ms: u64) -> usize {
        let sent = self.sent.get(id).into_iter().flatten();
        sent.filter(|at| (from_ms..to_ms).contains(*at)).count()
    }
}

/// The operators' bound on the requests to a limited server in a window.
fn allowed(rate_per_s: f64) -> f64 {
    rate_per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0
}

/// Each host that was told kept the limit for itself, or ignored it: many
/// hosts together exceeded it.
#[test]
fn limit_below_one_per_second_holds_over_the_whole_fleet() {
    for (hosts, rate_per_s) in [(44, 200), (443, 2_000)] {
        for limit in [0.2, 0.5, 1.0, 2.4] {
            let mut fleet = LimitedFleet::open(hosts, 6, 11);
            let id = LimitedFleet::id(0);
            fleet.limits.insert(id.clone(), limit);
            fleet.run(0, 15_000, rate_per_s);
            let fullest = fleet.fullest_window(&id, CONTACT_MS);
            assert!(
                fullest as f64 <= allowed(limit),
                "{hosts} hosts, limit {limit}: {fullest} of {}",
                allowed(limit)
            );
            let used = fleet.sent_between(&id, CONTACT_MS, 15_000);
            assert!(
                used as f64 >= limit * 12.0 * 0.4,
                "{hosts} hosts, limit {limit}: only {used} requests in 12 s"
            );
            assert_eq!(fleet.refused, 0, "the other servers have capacity");
        }
    }
}

/// All servers of a service state a limit: what exceeds it is refused at once,
/// with the time until a token.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused() {
    let mut fleet = LimitedFleet::open(44, 3, 12);
    let ids: Vec<String> = (0..fleet.servers).map(LimitedFleet::id).collect();
    for id in &ids {
        fleet.limits.insert(id.clone(), 5.0);
    }
    fleet.run(0, 12_000, 100);
    for id in &ids {
        let fullest = fleet.fullest_window(id, CONTACT_MS);
        assert!(fullest as f64 <= allowed(5.0), "{id}: {fullest}");
        let used = fleet.sent_between(id, CONTACT_MS, 12_000);
        assert!(used >= 27, "{id}: only {used} requests in 9 s");
    }
    assert!(fleet.refused > 500, "{}", fleet.refused);
    let pool = &mut fleet.pools[0];
    for id in &ids {
        let key = pool.find(id).expect("known");
        pool.record_denial(key, at_ms(13_500));
    }
    let request = idempotent_request();
    let choice = pool.choose(request, None, |_| true, &mut fleet.random, at_ms(12_500));
    let ServerChoice::Refuse(ChoiceRefusal::RateLimited, after) = choice else {
        panic!("{choice:?}");
    };
    assert!(after >= Duration::from_secs(1), "{after:?}");
}

/// A limit that changes binds at its new value, and ends when the server's
/// responses no longer state it.
#[test]
fn raised_and_withdrawn_limits_take_effect_on_all_hosts() {
    let mut fleet = LimitedFleet::open(44, 4, 13);
    let id = LimitedFleet::id(0);
    fleet.limits.insert(id.clone(), 1.0);
    fleet.run(0, 8_000, 200);
    fleet.limits.insert(id.clone(), 4.0);
    fleet.run(8_000, 18_000, 200);
    let raised = fleet.sent_between(&id, 12_000, 18_000);
    assert!(
        (12..=36).contains(&raised),
        "{raised} requests in 6 s at 4 per second"
    );
    fleet.limits.remove(&id);
    fleet.run(18_000, 26_000, 200);
    let free = fleet.sent_between(&id, 22_000, 26_000);
    assert!(free > 100, "{free} requests in 4 s without a limit");
}

/// An address or an id that is used again belongs to another process, which has
/// stated nothing.
#[test]
fn new_incarnation_has_no_limit() {
    let mut pool = ServerPool::open(PoolSettings::default());
    let key = pool.put(&server(0), Duration::ZERO, at_ms(0));
    let statement = ServerStatement {
        rate_limit_per_s: Some(1.0),
        ..Default::default()
    };
    assert!(pool.record_own_statement(key, &server(0), statement, at_ms(1)));
    let restarted = mangostep_policy::ServerEntry {
        started_ms: server(0).started_ms + 1,
        ..server(0)
    };
    let key = pool.put(&restarted, Duration::ZERO, at_ms(2));
    assert_eq!(pool.rate_limit(key, None, at_ms(0)), None);
    let late = StatementReport {
        server: server(0).id,
        started_ms: server(0).started_ms,
        statement,
        age_ms: 10,
    };
    assert!(!pool.record_peer_statement(&late, at_ms(20)));
    assert_eq!(pool.rate_limit(key, None, at_ms(0)), None);
}

/// Reports arrive late and in any order; only the newest statement counts.
#[test]
fn older_report_does_not_replace_a_newer_statement() {
    let mut pool = ServerPool::open(PoolSettings::default());
    let key = pool.put(&server(0), Duration::ZERO, at_ms(0));
    let statement = |limit| ServerStatement {
        rate_limit_per_s: limit,
        ..Default::default()
    };
    pool.record_own_statement(key, &server(0), statement(Some(1.0)), at_ms(1_000));
    pool.record_own_statement(key, &server(0), statement(None), at_ms(2_000));
    let old = StatementReport {
        server: server(0).id,
        started_ms: server(0).started_ms,
        statement: statement(Some(1.0)),
        age_ms: 700,
    };
    assert!(!pool.record_peer_statement(&old, at_ms(2_500)));
    assert_eq!(pool.rate_limit(key, None, at_ms(0)), None);
}
