//! Runs an entry host process between callers, two backend servers and a
//! stand-in for the platform's store, all connected by sockets.

#[path = "entry/fixture.rs"]
mod fixture;
#[path = "entry/odd_servers.rs"]
mod odd_servers;
#[path = "entry/slow_readers.rs"]
mod slow_readers;
#[path = "entry/stopping.rs"]
mod stopping;
#[path = "entry/uploads.rs"]
mod uploads;
#[path = "entry/waiting.rs"]
mod waiting;
#[path = "entry/where_to.rs"]
mod where_to;

use std::time::Duration;

use {
    fixture::{EntryFixture, TEST_TIMEOUT, send_request},
    standins::{AnswerMode, CallerAnswer, CallerConnection, RequestSpec, entry_fleet::EntryBounds},
};

/// Time within which a change must be in force, as agreed with the operators.
const CONFIGURATION_DELAY_MAX: Duration = Duration::from_secs(2);

#[tokio::test]
async fn request_is_forwarded_with_workspace_and_without_key() {
    let fixture = EntryFixture::open().await;
    let answer = fixture
        .request("GET", "/look-ledger/1", "r1", "north-key")
        .await;
    assert_eq!((answer.status, answer.id.as_deref()), (200, Some("r1")));
    let arrivals = fixture.arrivals_of("r1");
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].header("x-tenant"), Some("north"));
    assert!(arrivals[0].header("authorization").is_none());
    let left: u64 = arrivals[0]
        .header("x-deadline-ms")
        .expect("the request has a deadline")
        .parse()
        .expect("the deadline is a number");
    assert!(
        (1_000..=1_500).contains(&left),
        "server got a deadline of {left} ms, expected 1000 to 1500"
    );
    fixture.close();
}

#[tokio::test]
async fn requests_with_unknown_key_or_path_reach_no_server() {
    let fixture = EntryFixture::open().await;
    assert_eq!(
        fixture
            .request("GET", "/look-ledger/1", "r1", "other-key")
            .await
            .status,
        401
    );
    assert_eq!(
        fixture
            .request("GET", "/look-ledger", "r2", "north-key")
            .await
            .status,
        404
    );
    assert_eq!(
        fixture
            .request("GET", "/other/", "r3", "north-key")
            .await
            .status,
        404
    );
    assert!(
        ["r1", "r2", "r3"]
            .iter()
            .all(|id| fixture.arrivals_of(id).is_empty())
    );
    fixture.close();
}

#[tokio::test]
async fn only_idempotent_requests_are_retried_after_reset() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes_once(AnswerMode::Resets, Some(AnswerMode::Healthy));
    let lookup = fixture
        .request("GET", "/look-ledger/1", "r1", "north-key")
        .await;
    assert_eq!((lookup.status, fixture.arrivals_of("r1").len()), (200, 2));
    fixture.set_modes_once(AnswerMode::Resets, Some(AnswerMode::Healthy));
    let booking = fixture
        .request("POST", "/book-ledger/1", "r2", "north-key")
        .await;
    assert_eq!((booking.status, fixture.arrivals_of("r2").len()), (502, 1));
    assert!(!booking.is_signed);
    fixture.close();
}

#[tokio::test]
async fn shed_request_is_retried_on_another_server() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes_once(AnswerMode::Sheds, Some(AnswerMode::Healthy));
    let booking = fixture
        .request("POST", "/book-ledger/1", "r1", "north-key")
        .await;
    assert_eq!((booking.status, fixture.arrivals_of("r1").len()), (200, 2));
    fixture.set_modes(AnswerMode::Sheds);
    let refused = fixture
        .request("POST", "/book-ledger/1", "r2", "north-key")
        .await;
    assert_eq!(refused.status, 503);
    assert!(
        refused
            .retry_after
            .is_some_and(|seconds| seconds > 0.0 && seconds <= 2.0)
    );
    fixture.close();
}

/// Four of six servers refuse connections and the retry budget is empty.
/// Attempts that reach no server must not need the budget.
#[tokio::test]
async fn refused_connections_do_not_use_retry_budget() {
    let bounds = EntryBounds {
        retry_slack: 0.0,
        retry_ratio: 0.0,
        ..Default::default()
    };
    let fixture = EntryFixture::open_with(bounds).await;
    for port in 1..=4 {
        // Nothing listens on this loopback address, which no other test uses.
        let address = ([127, 200, 0, 1], port).into();
        fixture.write_entry(&format!("closed-{port}"), address);
    }
    tokio::time::sleep(CONFIGURATION_DELAY_MAX).await;
    for number in 0..12 {
        let id = format!("r{number}");
        let booking = fixture
            .request("POST", "/book-ledger/1", &id, "north-key")
            .await;
        assert_eq!((booking.status, fixture.arrivals_of(&id).len()), (200, 1));
    }
    fixture.close();
}

#[tokio::test]
async fn refusal_after_execution_is_not_reported_as_not_run() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes(AnswerMode::RefusesAfterRun);
    let booking = fixture
        .request("POST", "/book-ledger/1", "r1", "north-key")
        .await;
    assert_eq!((booking.status, booking.is_signed), (502, false));
    fixture.close();
}

/// A lookup stalls and is hedged. The first server resets the connection, then
/// the second sheds the request, so the first may have run it.
#[tokio::test]
async fn hedged_request_is_not_reported_as_not_run_after_reset() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes_once(AnswerMode::ResetsLate, Some(AnswerMode::ShedsLate));
    let lookup = fixture
        .request("GET", "/look-ledger/1", "r1", "north-key")
        .await;
    assert!(fixture.arrivals_of("r1").len() >= 2);
    assert!([502, 504].contains(&lookup.status), "{}", lookup.status);
    fixture.close();
}

#[tokio::test]
async fn duplicate_answer_is_not_forwarded() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes(AnswerMode::AnswersTwice);
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = fixture
            .request("GET", "/look-ledger/1", &id, "north-key")
            .await;
        assert_eq!(
            (answer.status, answer.id.as_deref()),
            (200, Some(id.as_str()))
        );
    }
    fixture.close();
}

#[tokio::test]
async fn unsigned_or_truncated_answer_is_bad_gateway() {
    let fixture = EntryFixture::open().await;
    for (index, mode) in [AnswerMode::Unsigned, AnswerMode::CutsAnswers]
        .into_iter()
        .enumerate()
    {
        fixture.set_modes(mode);
        let id = format!("r{index}");
        let booking = fixture
            .request("POST", "/book-ledger/1", &id, "north-key")
            .await;
        assert_eq!(
            (booking.status, fixture.arrivals_of(&id).len()),
            (502, 1),
            "{mode:?}"
        );
    }
    fixture.close();
}

/// A server ends within the head of its answer. The caller must not get a
/// complete response with an empty body.
#[tokio::test]
async fn answer_cut_within_its_head_is_bad_gateway() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes(AnswerMode::CutsHeads);
    for (method, path) in [("POST", "/book-ledger/1"), ("GET", "/look-ledger/1")] {
        let answer = fixture.request(method, path, method, "north-key").await;
        assert_eq!(answer.status, 502, "{method}");
    }
    assert_eq!(fixture.arrivals_of("POST").len(), 1);
    fixture.close();
}

/// A server repeats the refusal of an earlier request on a connection that is in
/// use again. Taken for the answer of the running request, it would be told to
/// the caller as "not run", or the request would run at a second server.
#[tokio::test]
async fn repeated_refusal_is_not_taken_for_the_answer_of_a_later_request() {
    for mode in [AnswerMode::RepeatsRefusal, AnswerMode::RepeatsBareRefusal] {
        let fixture = EntryFixture::open().await;
        // Every connection carries a request before the servers misbehave.
        for number in 0..4 {
            let id = format!("before-{number}");
            let answer = fixture
                .request("POST", "/book-ledger/1", &id, "north-key")
                .await;
            assert_eq!(answer.status, 200);
        }
        fixture.set_modes(mode);
        for number in 0..4 {
            let id = format!("after-{number}");
            let answer = fixture
                .request("POST", "/book-ledger/1", &id, "north-key")
                .await;
            assert_eq!(fixture.arrivals_of(&id).len(), 1, "{mode:?}");
            assert_eq!(answer.status, 200, "{mode:?}");
        }
        fixture.close();
    }
}

/// Another writer leaves odd entries among those of the servers: the host must
/// neither end nor stop following the table.
#[tokio::test]
async fn odd_server_entries_are_refused_alone() {
    let fixture = EntryFixture::open().await;
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let entry = |address: &str, extra: &str| {
        format!(
            r#"{{"service":"ledger","address":"{address}","zone":"a","version":"v1","slots":4,
                "state":"ready","warmupLeftS":0,"born":1{extra}}}"#
        )
    };
    let odd = [
        nested.clone(),
        entry("127.0.0.1:9", &format!(r#","more":{nested}"#)),
        entry("127.0.0.1:99999", ""),
        entry("127.0.0.1:-1", ""),
        entry("no address", ""),
        entry("127.0.0.1:9", r#","slots":1e400"#),
        r#"{"service":"ledger","address":"127.0.0.1:9","zone":"a","slots":4e99,"state":"ready"}"#
            .to_owned(),
        r#"{"service":"ledger","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready",
            "warmupLeftS":1e308}"#
            .to_owned(),
        r#"{"service":"ledger","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready",
            "born":-1}"#
            .to_owned(),
        "\u{0}".to_owned(),
        String::new(),
    ];
    for (index, value) in odd.iter().enumerate() {
        fixture.write_value(&format!("odd-{index}"), value.as_bytes());
    }
    fixture.write_value("odd-bytes", &[0xff, 0xfe, 0x7b]);
    fixture.write_server(0, "draining");
    fixture
        .wait_until(CONFIGURATION_DELAY_MAX, async || {
            let before = fixture.arrival_count(0);
            for number in 0..4 {
                let id = format!("probe-{before}-{number}");
                let answer = fixture
                    .request("GET", "/look-ledger/1", &id, "north-key")
                    .await;
                assert_eq!(answer.status, 200);
            }
            fixture.arrival_count(0) == before
        })
        .await;
    fixture.close();
}

/// A server sends bytes that are no answer, a head or a body, until the host
/// closes the connection. The host must do so long before the deadline, with
/// bounded memory, and the request may have run.
#[tokio::test]
async fn endless_answers_end_at_a_bound() {
    let fixture = EntryFixture::open().await;
    let modes = [
        AnswerMode::EndlessBytes,
        AnswerMode::EndlessHead,
        AnswerMode::EndlessBody,
    ];
    for (index, mode) in modes.into_iter().enumerate() {
        fixture.set_modes(mode);
        let id = format!("r{index}");
        let booking = fixture
            .request("POST", "/book-ledger/1", &id, "north-key")
            .await;
        assert_eq!(
            (booking.status, fixture.arrivals_of(&id).len()),
            (502, 1),
            "{mode:?}"
        );
        fixture.set_modes_once(mode, Some(AnswerMode::Healthy));
        let id = format!("again{index}");
        let lookup = fixture
            .request("GET", "/look-ledger/1", &id, "north-key")
            .await;
        assert_eq!((lookup.status, lookup.id.as_deref()), (200, Some(&*id)));
    }
    assert_eq!(fixture.aborted_count(), 2 * modes.len());
    fixture.close();
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let fixture = EntryFixture::open().await;
    let ids = ["r1", "r2", "r3", "r4"];
    assert_eq!(fixture.request_pipelined("/look-ledger/1", &ids).await, ids);
    fixture.close();
}

#[tokio::test]
async fn revoked_key_is_rejected_on_open_connection() {
    let fixture = EntryFixture::open().await;
    assert_eq!(
        fixture
            .request("GET", "/look-ledger/1", "r1", "north-key")
            .await
            .status,
        200
    );
    fixture.publish(9, "new-key");
    let mut caller = fixture.connect().await;
    fixture
        .wait_until(CONFIGURATION_DELAY_MAX, async || {
            send_request(&mut caller, "GET", "/look-ledger/1", "r2", "north-key")
                .await
                .status
                == 401
        })
        .await;
    assert_eq!(
        send_request(&mut caller, "GET", "/look-ledger/1", "r3", "new-key")
            .await
            .status,
        200
    );
    fixture.close();
}

#[tokio::test]
async fn draining_server_gets_no_new_requests() {
    let fixture = EntryFixture::open().await;
    fixture.write_server(0, "draining");
    tokio::time::sleep(CONFIGURATION_DELAY_MAX).await;
    let initial_count = fixture.arrival_count(0);
    for number in 0..20 {
        let answer = fixture
            .request("GET", "/look-ledger/1", &format!("r{number}"), "north-key")
            .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fixture.arrival_count(0), initial_count);
    fixture.close();
}

#[tokio::test]
async fn request_is_aborted_when_caller_disconnects() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes(AnswerMode::Slow);
    fixture.request_and_disconnect("/look-ledger/1", "r1").await;
    let half_second = Duration::from_millis(500);
    fixture
        .wait_until(half_second, async || fixture.aborted_count() == 1)
        .await;
    fixture.close();
}

#[tokio::test]
async fn graceful_shutdown_serves_in_flight_and_new_requests() {
    let fixture = EntryFixture::open().await;
    fixture.set_modes(AnswerMode::Slow);
    let running = fixture.request("POST", "/book-ledger/1", "r1", "north-key");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fixture.terminate();
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!fixture.is_ready().await);
        fixture.set_modes(AnswerMode::Healthy);
        fixture
            .request("GET", "/look-ledger/1", "r2", "north-key")
            .await
    };
    let (running, late) = tokio::join!(running, stop);
    assert_eq!((running.status, late.status), (200, 200));
    assert!(
        late.closes,
        "the answer asks the caller to close the connection"
    );
    fixture.close();
}

async fn request_with_deadline(
    caller: &mut CallerConnection,
    path: &str,
    id: &str,
    deadline_ms: u32,
) -> CallerAnswer {
    let request = RequestSpec {
        method: "POST",
        path,
        id,
        deadline_ms,
        ..Default::default()
    };
    caller
        .request(request, TEST_TIMEOUT)
        .await
        .expect("the host answers")
}

/// The first request arrives when less time remains before the host stops than
/// before the deadline of the request.
#[tokio::test]
async fn graceful_shutdown_rejects_request_that_would_outlive_host() {
    let bounds = EntryBounds {
        stop_grace: Duration::from_secs(4),
        ..Default::default()
    };
    let fixture = EntryFixture::open_with(bounds).await;
    fixture.terminate();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    fixture.set_modes(AnswerMode::Slow);
    let mut caller = fixture.connect().await;
    let refused = request_with_deadline(&mut caller, "/book-ledger/1", "r1", 1_500).await;
    assert_eq!((refused.status, fixture.arrivals_of("r1").len()), (503, 0));
    assert!(refused.retry_after.is_some());
    fixture.set_modes(AnswerMode::Healthy);
    let mut caller = fixture.connect().await;
    assert_eq!(
        request_with_deadline(&mut caller, "/book-ledger/1", "r2", 300)
            .await
            .status,
        200
    );
    fixture.close();
}
