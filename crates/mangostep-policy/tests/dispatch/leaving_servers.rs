//! Servers that state in their responses that they leave.

use std::time::Duration;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{
        ChoiceRefusal, ChoiceRequest, PoolSettings, ServerChoice, ServerEntry, ServerPool,
        ServerStatement, StatementReport,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

use crate::{at_ms, idempotent_request, server};

const LEAVING: ServerStatement = ServerStatement {
    rate_limit_per_s: None,
    is_leaving: true,
};

fn pool(servers: u16) -> ServerPool {
    let mut pool = ServerPool::open(PoolSettings::default());
    for index in 0..servers {
        pool.put(&server(index), Duration::ZERO, at_ms(0));
    }
    pool
}

fn report(index: u16, age_ms: u32) -> StatementReport {
    StatementReport {
        server: server(index).id,
        started_ms: server(index).started_ms,
        statement: LEAVING,
        age_ms,
    }
}

fn choose(pool: &ServerPool, now_ms: u64) -> ServerChoice {
    let request = ChoiceRequest {
        kind: RequestKind::NonIdempotent,
        may_retry: false,
        ..idempotent_request()
    };
    let mut random = SmallRng::seed_from_u64(now_ms);
    pool.choose(request, None, |_| true, &mut random, at_ms(now_ms))
}

/// A healthy response or an entry that still says `ready` does not bring a
/// leaving server back.
#[test]
fn leaving_server_gets_no_requests_until_its_process_ends() {
    let mut pool = pool(2);
    let key = pool.find("s0").expect("known");
    assert!(pool.record_own_statement(key, &server(0), LEAVING, at_ms(10)));
    pool.record_own_statement(key, &server(0), ServerStatement::default(), at_ms(20));
    pool.put(&server(0), Duration::ZERO, at_ms(30));
    for now_ms in 30..500 {
        let other = pool.find("s1").expect("known");
        assert_eq!(choose(&pool, now_ms), ServerChoice::Send(other));
    }
    let restarted = ServerEntry {
        started_ms: server(0).started_ms + 1,
        ..server(0)
    };
    let key = pool.put(&restarted, Duration::ZERO, at_ms(600));
    assert!(pool.accepts_work(key, at_ms(6_000)));
}

/// An outage of the store removes and restores entries; a server that left in
/// the meantime must not be in use again.
#[test]
fn leaving_server_stays_away_after_its_entry_returns() {
    let mut pool = pool(2);
    let key = pool.find("s0").expect("known");
    pool.record_own_statement(key, &server(0), LEAVING, at_ms(10));
    pool.remove("s0");
    let key = pool.put(&server(0), Duration::ZERO, at_ms(5_000));
    assert!(!pool.accepts_work(key, at_ms(6_000)));
}

/// The answer with the statement arrived after the entry had lapsed, and the
/// server was used again once its entry returned.
#[test]
fn statement_of_a_removed_server_holds_when_its_entry_returns() {
    let mut pool = pool(2);
    let key = pool.find("s0").expect("known");
    pool.remove("s0");
    pool.record_own_statement(key, &server(0), LEAVING, at_ms(10));
    let key = pool.put(&server(0), Duration::ZERO, at_ms(1_000));
    assert!(!pool.accepts_work(key, at_ms(1_000)));
}

/// Two processes with the same id left one after the other. A host that heard
/// only from peers remembered the first, and used the second once its entry
/// had lapsed and returned.
#[test]
fn later_process_of_the_same_id_that_leaves_is_remembered() {
    let mut pool = pool(0);
    pool.record_peer_statement(&report(0, 0), at_ms(1_000));
    let restarted = ServerEntry {
        started_ms: server(0).started_ms + 1,
        ..server(0)
    };
    let second = StatementReport {
        started_ms: restarted.started_ms,
        ..report(0, 0)
    };
    let key = pool.put(&restarted, Duration::ZERO, at_ms(2_000));
    assert!(pool.accepts_work(key, at_ms(2_000)));
    pool.record_peer_statement(&second, at_ms(3_000));
    // A late report about the first process changes nothing.
    pool.record_peer_statement(&report(0, 2_500), at_ms(3_100));
    pool.remove("s0");
    let key = pool.put(&restarted, Duration::ZERO, at_ms(4_000));
    assert!(!pool.accepts_work(key, at_ms(4_000)));
}

/// A restarted host hears from its peers before it has read the entries.
#[test]
fn report_about_an_unknown_server_holds_when_its_entry_arrives() {
    let mut pool = pool(0);
    pool.record_peer_statement(&report(0, 300), at_ms(1_000));
    let key = pool.put(&server(0), Duration::ZERO, at_ms(1_100));
    assert!(!pool.accepts_work(key, at_ms(6_000)));
    // It passes on what it heard, once it is a watcher.
    let reports: Vec<StatementReport> = pool.statement_reports(true, None, at_ms(1_200)).collect();
    assert_eq!(reports.len(), 1);
    assert!(reports[0].statement.is_leaving);
}

/// Reports arrive out of order: that a server leaves counts even if a response
/// without a rate limit came later.
#[test]
fn late_report_of_leaving_counts() {
    let mut pool = pool(1);
    let key = pool.find("s0").expect("known");
    let limited = ServerStatement {
        rate_limit_per_s: Some(2.0),
        is_leaving: false,
    };
    pool.record_own_statement(key, &server(0), limited, at_ms(1_000));
    assert!(pool.record_peer_statement(&report(0, 500), at_ms(1_100)));
    assert!(!pool.accepts_work(key, at_ms(6_000)));
    assert!(
        pool.rate_limit(key, None, at_ms(0)).is_some(),
        "the newer limit stays"
    );
}

/// When all servers of a service leave, a request is refused at once.
#[test]
fn requests_are_refused_when_all_servers_leave() {
    let mut pool = pool(3);
    for index in 0..3 {
        pool.record_peer_statement(&report(index, 0), at_ms(10));
    }
    let choice = choose(&pool, 20);
    assert!(
        matches!(choice, ServerChoice::Refuse(ChoiceRefusal::NoServer, _)),
        "{choice:?}"
    );
}
