//! A limit home: grants, handover, dropping of full buckets and the time of
//! the next token.

use std::time::Duration;

use mangostep_policy::{
    BucketState, FleetLimit, HandoverState, LimitHome, LimitShare, MonotonicTime, TokenFraction,
};

const NAME: &str = "w:repairs";
const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

fn limit(rate: u64, burst: u64) -> FleetLimit {
    FleetLimit {
        rate_micro_per_s: rate * 1_000_000,
        burst_micro: burst * 1_000_000,
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn shares_never_exceed_the_limit() {
    for burst_micro in [0, 400_000, 1_000_000, 2_999_999, 3_000_000, 10_000_001] {
        let limit = FleetLimit {
            rate_micro_per_s: 10_000_001,
            burst_micro,
        };
        let shares: Vec<LimitShare> = (0..3).map(|index| limit.share(NAME, index)).collect();
        let rate: u64 = shares.iter().map(|share| share.rate_micro_per_s).sum();
        let burst: u64 = shares.iter().map(|share| share.burst_micro).sum();
        assert!(rate <= limit.rate_micro_per_s && rate + 3 > limit.rate_micro_per_s);
        assert!(burst <= burst_micro && burst + 3 > burst_micro);
        let homes = shares.iter().filter(|share| **share != LimitShare::NONE);
        assert_eq!(homes.count(), limit.homes(NAME).count());
    }
}

#[test]
fn a_duplicate_handover_adds_nothing() {
    let limit = limit(3, 30);
    let state = HandoverState {
        age_us: 0,
        buckets: vec![BucketState {
            name: NAME.to_owned(),
            micro: 4_000_000,
        }],
    };
    let mut home = LimitHome::open(0, START);
    home.accept_handover(START, &state, |_| Some(limit));
    home.accept_handover(START, &state, |_| Some(limit));
    assert_eq!(home.take(START, NAME, limit, 30).granted, 4);
}

#[test]
fn a_late_handover_adds_nothing() {
    let limit = limit(3, 30);
    let state = HandoverState {
        age_us: 60_000_000,
        buckets: Vec::new(),
    };
    let mut home = LimitHome::open(0, START);
    let late = START + millis(251);
    home.accept_handover(late, &state, |_| Some(limit));
    assert_eq!(home.take(late, NAME, limit, 30).granted, 0);
}

#[test]
fn fractions_are_withheld_while_a_handover_may_arrive() {
    let limit = limit(3, 30);
    let mut home = LimitHome::open(0, START);
    let early = START + millis(250);
    assert_eq!(
        home.take_fraction(early, NAME, limit),
        TokenFraction::default()
    );
    let later = START + millis(251);
    assert!(home.take_fraction(later, NAME, limit).micro > 0);
}

#[test]
fn a_fraction_decays_as_its_sender_refills() {
    let limit = limit(10, 3);
    let mut homes: Vec<LimitHome> = (0..3).map(|index| LimitHome::open(index, START)).collect();
    let full = START + Duration::from_secs(2);
    for home in &mut homes {
        assert_eq!(home.take(full, NAME, limit, 5).granted, 1);
    }
    let requested_at = full + millis(270);
    let fractions: Vec<TokenFraction> = homes[1..]
        .iter_mut()
        .map(|home| home.take_fraction(requested_at, NAME, limit))
        .collect();
    assert!(fractions.iter().all(|fraction| fraction.micro > 899_000));
    let received_at = requested_at + millis(240);
    let grant = homes[0].take_with_fractions(received_at, NAME, limit, 5, &fractions, requested_at);
    assert_eq!(grant.granted, 1, "the senders have refilled meanwhile");
    let soon = received_at + millis(60);
    let others: u32 = homes[1..]
        .iter_mut()
        .map(|home| home.take(soon, NAME, limit, 5).granted)
        .sum();
    assert_eq!(others, 2);
}

#[test]
fn a_sealed_home_grants_nothing() {
    let limit = limit(3, 30);
    let mut home = LimitHome::open(0, START);
    let later = START + Duration::from_secs(20);
    let state = home.seal(later, |_| Some(limit));
    assert_eq!(home.take(later, NAME, limit, 1).granted, 0);
    assert_eq!(home.take_fraction(later, NAME, limit).micro, 0);
    let mut successor = LimitHome::open(0, later);
    successor.accept_handover(later, &state, |_| Some(limit));
    assert_eq!(successor.take(later, NAME, limit, 30).granted, 10);
}

#[test]
fn full_buckets_are_dropped_without_losing_tokens() {
    let limit = limit(30, 30);
    let mut home = LimitHome::open(0, START);
    let busy = START + Duration::from_secs(5);
    for number in 0..72_000 {
        home.take(busy, &format!("w:{number}"), limit, 1);
    }
    assert_eq!(home.bucket_count(), 72_000);
    assert_eq!(home.drop_full_buckets(busy, |_| Some(limit)), 72_000);
    let idle = busy + Duration::from_secs(1);
    assert_eq!(home.drop_full_buckets(idle, |_| Some(limit)), 0);
    assert_eq!(home.take(idle, "w:7", limit, 30).granted, 10);
}

#[test]
fn a_lowered_limit_applies_at_once_and_a_raised_one_adds_no_tokens_at_once() {
    let high = limit(30, 30);
    let low = limit(3, 3);
    let mut home = LimitHome::open(0, START);
    let full = START + Duration::from_secs(5);
    home.change_limit(full, NAME, Some(high), Some(low));
    assert_eq!(home.take(full, NAME, low, 30).granted, 1);
    home.change_limit(full, NAME, Some(low), Some(high));
    assert_eq!(home.take(full, NAME, high, 30).granted, 0);
    let settled = full + Duration::from_secs(2);
    assert_eq!(home.take(settled, NAME, high, 30).granted, 10);
}

#[test]
fn the_next_token_is_available_after_retry_after() {
    let limit = limit(7, 9);
    let mut home = LimitHome::open(0, START);
    let mut now = START + Duration::from_secs(5);
    home.take(now, NAME, limit, 30);
    for _ in 0..50 {
        let grant = home.take(now, NAME, limit, 1);
        assert_eq!(grant.granted, 0);
        let before = now + (grant.retry_after - Duration::from_micros(2));
        assert_eq!(home.take(before, NAME, limit, 1).granted, 0);
        now = now + grant.retry_after;
        assert_eq!(home.take(now, NAME, limit, 1).granted, 1);
    }
}
