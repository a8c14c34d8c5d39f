use std::time::Duration;

use mangostep_policy::{LedgerRequest, LedgerSettings, TokenLedger, TokenVerdict};

use crate::at_ms;

const RATE_PER_S: f64 = 66.0;
const BURST: f64 = 66.0;
const WINDOW: Duration = Duration::from_secs(5);

fn request_of(number: u64) -> LedgerRequest<'static> {
    LedgerRequest::open((1, number), "north", RATE_PER_S, BURST)
}

/// A workspace sends three times its rate while its limit home is replaced
/// seven times within one window, as when hosts are killed in turn: the first
/// homes die, others take over, and the first ones restart.
#[test]
fn successive_homes_stay_within_the_limit() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    let mut granted = Vec::new();
    for number in 0..4_000 {
        let now = at_ms(number * 5);
        if (2_000..2_980).contains(&number) && number % 140 == 0 {
            ledger = TokenLedger::open(LedgerSettings::default());
        }
        if ledger.acquire(request_of(number), now) == TokenVerdict::Granted {
            granted.push(now);
        }
    }
    // The operators' bound: the limit plus 10 % plus 20 requests.
    let most = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    for (first, start) in granted.iter().enumerate() {
        let inside = granted[first..]
            .iter()
            .take_while(|at| at.since(*start) < WINDOW);
        let count = inside.count() as f64;
        assert!(count <= most, "{count} in a window, {most} allowed");
    }
}

/// All hosts were killed, and the requests that callers held back arrive at
/// once. A small workspace within its limit must not be refused because its
/// home has just started.
#[test]
fn new_home_grants_a_small_workspace_its_burst() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    for number in 0..3 {
        let request = LedgerRequest::open((1, number), "small", 3.0, 3.0);
        assert_eq!(ledger.acquire(request, at_ms(0)), TokenVerdict::Granted);
    }
}

/// A workspace sends three times its rate, and its token requests go to two
/// homes in turn, one second each: a home must not grant the tokens that the
/// other one granted while its own bucket was refilled.
#[test]
fn alternating_homes_stay_within_the_limit() {
    let mut ledgers = [(); 2].map(|()| TokenLedger::open(LedgerSettings::default()));
    let mut granted = Vec::new();
    for number in 0..4_000_u64 {
        let now = at_ms(number * 5);
        let turn = (number / 200) as usize % 2;
        let request = LedgerRequest {
            // Some hosts notice the change of the home slightly later than
            // others.
            has_moved: number >= 200 && number % 200 < 10,
            ..request_of(number)
        };
        if ledgers[turn].acquire(request, now) == TokenVerdict::Granted {
            granted.push(now);
        }
    }
    let most = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    for (first, start) in granted.iter().enumerate() {
        let inside = granted[first..]
            .iter()
            .take_while(|at| at.since(*start) < WINDOW);
        let count = inside.count() as f64;
        assert!(count <= most, "{count} in a window, {most} allowed");
    }
}

/// Hosts that reach no limit home of the workspace; any number of them may be
/// cut off at once.
#[test]
fn hosts_without_a_home_start_without_tokens() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    let request = LedgerRequest {
        rate_per_s: 1.0,
        burst: 1.0,
        is_alone: true,
        ..request_of(1)
    };
    assert!(matches!(
        ledger.acquire(request, at_ms(0)),
        TokenVerdict::Denied(_)
    ));
    let later = LedgerRequest {
        id: (1, 2),
        ..request
    };
    assert_eq!(ledger.acquire(later, at_ms(1_100)), TokenVerdict::Granted);
}

#[test]
fn repeated_request_gets_the_same_decision() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    let first = ledger.acquire(request_of(1), at_ms(0));
    for _ in 0..20 {
        assert_eq!(ledger.acquire(request_of(1), at_ms(1)), first);
    }
    assert_eq!(
        ledger.acquire(request_of(2), at_ms(1)),
        TokenVerdict::Granted
    );
}

#[test]
fn denial_reports_when_a_token_is_available() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    let mut number = 0;
    let wait = loop {
        number += 1;
        if let TokenVerdict::Denied(wait) = ledger.acquire(request_of(number), at_ms(0)) {
            break wait;
        }
    };
    let later = at_ms(0) + wait;
    assert_eq!(
        ledger.acquire(request_of(number + 1), later),
        TokenVerdict::Granted
    );
}

/// A home that was frozen gained the tokens that another home granted in the
/// meantime, and gave them to its own callers, whose requests had waited.
#[test]
fn bucket_gains_nothing_while_its_home_is_frozen() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    for number in 0..400 {
        ledger.record_running(at_ms(number * 5));
        ledger.acquire(request_of(number), at_ms(number * 5));
    }
    let woken = at_ms(2_000 + 2_200);
    let granted = (400..600).filter(|number| {
        let verdict = ledger.acquire(request_of(*number), woken);
        verdict == TokenVerdict::Granted
    });
    assert!(granted.count() <= 1);
}

/// A home of a fleet that has run for a while refused a part of the first burst,
/// as if another home had just granted it.
#[test]
fn settled_home_grants_the_burst() {
    let mut ledger = TokenLedger::open(LedgerSettings::default());
    for number in 0..66 {
        let request = LedgerRequest {
            home_time: Duration::from_secs(2),
            ..request_of(number)
        };
        let verdict = ledger.acquire(request, at_ms(0));
        assert_eq!(verdict, TokenVerdict::Granted, "request {number}");
    }
}
