//! More requests at once than the servers have room for.

use std::time::Duration;

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::fixture::{EntryFixture, send_request};

/// Time that a server works on a request. The target latency is 1 s.
const WORK: Duration = Duration::from_millis(300);

/// Time after its start from which on a host grants a workspace its burst. Before,
/// its predecessor may have granted it, and the rate limit would refuse some of
/// the requests.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Sends bookings at once. Returns the status, the `Retry-After` and the
/// duration of each.
async fn send_at_once(fixture: &EntryFixture, count: usize) -> Vec<(u16, Option<f64>, Duration)> {
    let mut requests = JoinSet::new();
    for number in 0..count {
        let mut caller = fixture.connect().await;
        requests.spawn(async move {
            let id = format!("r{number}");
            let started = Instant::now();
            let answer =
                send_request(&mut caller, "POST", "/book-ledger/1", &id, "north-key").await;
            (answer.status, answer.retry_after, started.elapsed())
        });
    }
    requests.join_all().await
}

/// The host takes on 24 requests at a time for two servers. The others were
/// refused, although their turn came within the target latency.
#[tokio::test]
async fn requests_wait_that_are_served_within_the_target_latency() {
    let fixture = EntryFixture::open_with_work(WORK).await;
    let answers = send_at_once(&fixture, 40).await;
    let served = answers.iter().filter(|(status, ..)| *status == 200);
    assert_eq!(served.count(), 40, "{answers:?}");
    fixture.close();
}

/// Five times what fits at once. Those that are not served are refused within
/// the target latency, and told to return one after the other.
#[tokio::test]
async fn requests_that_would_be_late_are_refused_early() {
    let fixture = EntryFixture::open_with_work(WORK).await;
    sleep(SETTLE_TIME).await;
    let answers = send_at_once(&fixture, 120).await;
    let served = answers.iter().filter(|(status, ..)| *status == 200).count();
    assert!(served >= 40, "{served} served");
    let refused: Vec<_> = answers
        .iter()
        .filter(|(status, ..)| *status == 503)
        .collect();
    let others = answers
        .iter()
        .filter(|(status, ..)| ![200, 503].contains(status));
    let others: Vec<_> = others.collect();
    assert!(others.is_empty(), "{others:?}");
    let slowest = refused.iter().map(|(_, _, time)| *time).max();
    assert!(slowest < Some(Duration::from_secs(1)), "{slowest:?}");
    let mut returns: Vec<f64> = refused.iter().filter_map(|(_, after, _)| *after).collect();
    assert_eq!(returns.len(), refused.len());
    returns.sort_by(f64::total_cmp);
    returns.dedup();
    assert!(returns.len() * 2 > refused.len(), "{returns:?}");
    fixture.close();
}
