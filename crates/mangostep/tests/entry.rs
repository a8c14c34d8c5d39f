//! A real entry host between real sockets: callers, two backend servers and a
//! stand-in for the platform's store.

#[path = "entry/scene.rs"]
mod scene;

use std::time::Duration;

use {
    scene::{PATIENCE, Scene, ask},
    standins::{AnswerMood, CallerAnswer, CallerAsk, KeptCaller, entry_fleet::EntryBounds},
};

/// Within it a change must be in force, by the operators' agreement.
const IN_FORCE: Duration = Duration::from_secs(2);

#[tokio::test]
async fn a_request_reaches_a_server_for_its_workspace_without_the_key() {
    let scene = Scene::open().await;
    let answer = scene.ask("GET", "/look-ledger/1", "r1", "north-key").await;
    assert_eq!((answer.status, answer.id.as_deref()), (200, Some("r1")));
    let seen = scene.runs("r1");
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].header("x-tenant"), Some("north"));
    assert!(seen[0].header("authorization").is_none());
    let left: u64 = seen[0]
        .header("x-deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!((1_000..=1_500).contains(&left), "{left} ms handed on");
    scene.close();
}

#[tokio::test]
async fn unknown_keys_and_paths_reach_no_server() {
    let scene = Scene::open().await;
    assert_eq!(
        scene
            .ask("GET", "/look-ledger/1", "r1", "other-key")
            .await
            .status,
        401
    );
    assert_eq!(
        scene
            .ask("GET", "/look-ledger", "r2", "north-key")
            .await
            .status,
        404
    );
    assert_eq!(
        scene.ask("GET", "/other/", "r3", "north-key").await.status,
        404
    );
    assert!(
        ["r1", "r2", "r3"]
            .iter()
            .all(|id| scene.runs(id).is_empty())
    );
    scene.close();
}

#[tokio::test]
async fn a_reset_lookup_is_sent_again_and_a_reset_booking_is_not() {
    let scene = Scene::open().await;
    scene.set_moods_once(AnswerMood::Resets, Some(AnswerMood::Sound));
    let lookup = scene.ask("GET", "/look-ledger/1", "r1", "north-key").await;
    assert_eq!((lookup.status, scene.runs("r1").len()), (200, 2));
    scene.set_moods_once(AnswerMood::Resets, Some(AnswerMood::Sound));
    let booking = scene.ask("POST", "/book-ledger/1", "r2", "north-key").await;
    assert_eq!((booking.status, scene.runs("r2").len()), (502, 1));
    assert!(!booking.is_signed);
    scene.close();
}

#[tokio::test]
async fn a_booking_that_a_server_turned_away_runs_at_another_one() {
    let scene = Scene::open().await;
    scene.set_moods_once(AnswerMood::Sheds, Some(AnswerMood::Sound));
    let booking = scene.ask("POST", "/book-ledger/1", "r1", "north-key").await;
    assert_eq!((booking.status, scene.runs("r1").len()), (200, 2));
    scene.set_moods(AnswerMood::Sheds);
    let refused = scene.ask("POST", "/book-ledger/1", "r2", "north-key").await;
    assert_eq!(refused.status, 503);
    assert!(
        refused
            .retry_after
            .is_some_and(|seconds| seconds > 0.0 && seconds <= 2.0)
    );
    scene.close();
}

/// Many servers cannot be reached, and the retry budget is empty: what did not
/// arrive anywhere needs none.
#[tokio::test]
async fn a_request_that_reached_no_server_is_sent_on_without_the_retry_budget() {
    let bounds = EntryBounds {
        retry_slack: 0.0,
        retry_ratio: 0.0,
        ..Default::default()
    };
    let scene = Scene::open_with(bounds).await;
    for port in 1..=4 {
        // Nothing listens on these ports of a loopback number of their own.
        let address = ([127, 200, 0, 1], port).into();
        scene.write_entry(&format!("closed-{port}"), address);
    }
    tokio::time::sleep(IN_FORCE).await;
    for number in 0..12 {
        let id = format!("r{number}");
        let booking = scene.ask("POST", "/book-ledger/1", &id, "north-key").await;
        assert_eq!((booking.status, scene.runs(&id).len()), (200, 1));
    }
    scene.close();
}

#[tokio::test]
async fn a_refusal_of_a_server_that_ran_the_booking_is_not_passed_on() {
    let scene = Scene::open().await;
    scene.set_moods(AnswerMood::RefusesAfterRun);
    let booking = scene.ask("POST", "/book-ledger/1", "r1", "north-key").await;
    assert_eq!((booking.status, booking.is_signed), (502, false));
    scene.close();
}

/// A look-up stalls and is sent to a second server; the first resets it, and
/// the second turns it away after that.
#[tokio::test]
async fn a_lookup_that_one_of_two_servers_may_have_run_is_not_told_not_run() {
    let scene = Scene::open().await;
    scene.set_moods_once(AnswerMood::ResetsLate, Some(AnswerMood::ShedsLate));
    let lookup = scene.ask("GET", "/look-ledger/1", "r1", "north-key").await;
    assert!(scene.runs("r1").len() >= 2);
    assert!([502, 504].contains(&lookup.status), "{}", lookup.status);
    scene.close();
}

#[tokio::test]
async fn a_late_second_answer_goes_to_nobody() {
    let scene = Scene::open().await;
    scene.set_moods(AnswerMood::AnswersTwice);
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = scene.ask("GET", "/look-ledger/1", &id, "north-key").await;
        assert_eq!(
            (answer.status, answer.id.as_deref()),
            (200, Some(id.as_str()))
        );
    }
    scene.close();
}

#[tokio::test]
async fn unsigned_and_cut_answers_are_no_success() {
    let scene = Scene::open().await;
    for (index, mood) in [AnswerMood::Unsigned, AnswerMood::CutsAnswers]
        .into_iter()
        .enumerate()
    {
        scene.set_moods(mood);
        let id = format!("r{index}");
        let booking = scene.ask("POST", "/book-ledger/1", &id, "north-key").await;
        assert_eq!(
            (booking.status, scene.runs(&id).len()),
            (502, 1),
            "{mood:?}"
        );
    }
    scene.close();
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let scene = Scene::open().await;
    let ids = ["r1", "r2", "r3", "r4"];
    assert_eq!(scene.ask_pipelined("/look-ledger/1", &ids).await, ids);
    scene.close();
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_an_open_connection() {
    let scene = Scene::open().await;
    assert_eq!(
        scene
            .ask("GET", "/look-ledger/1", "r1", "north-key")
            .await
            .status,
        200
    );
    scene.publish(9, "new-key");
    let mut caller = scene.connect().await;
    scene
        .wait_until(IN_FORCE, async || {
            ask(&mut caller, "GET", "/look-ledger/1", "r2", "north-key")
                .await
                .status
                == 401
        })
        .await;
    assert_eq!(
        ask(&mut caller, "GET", "/look-ledger/1", "r3", "new-key")
            .await
            .status,
        200
    );
    scene.close();
}

#[tokio::test]
async fn a_leaving_server_gets_nothing_more() {
    let scene = Scene::open().await;
    scene.write_server(0, "draining");
    tokio::time::sleep(IN_FORCE).await;
    let before = scene.count(0);
    for number in 0..20 {
        let answer = scene
            .ask("GET", "/look-ledger/1", &format!("r{number}"), "north-key")
            .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(scene.count(0), before);
    scene.close();
}

#[tokio::test]
async fn a_lookup_whose_caller_left_is_broken_off() {
    let scene = Scene::open().await;
    scene.set_moods(AnswerMood::Slow);
    scene.ask_and_leave("/look-ledger/1", "r1").await;
    let half_second = Duration::from_millis(500);
    scene
        .wait_until(half_second, async || scene.broken_off() == 1)
        .await;
    scene.close();
}

#[tokio::test]
async fn a_planned_stop_ends_what_is_under_way_and_serves_those_who_come() {
    let scene = Scene::open().await;
    scene.set_moods(AnswerMood::Slow);
    let running = scene.ask("POST", "/book-ledger/1", "r1", "north-key");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        scene.terminate();
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!scene.is_ready().await);
        scene.set_moods(AnswerMood::Sound);
        scene.ask("GET", "/look-ledger/1", "r2", "north-key").await
    };
    let (running, late) = tokio::join!(running, stop);
    assert_eq!((running.status, late.status), (200, 200));
    assert!(late.closes, "the caller is told to go elsewhere");
    scene.close();
}

async fn ask_within(
    caller: &mut KeptCaller,
    path: &str,
    id: &str,
    deadline_ms: u32,
) -> CallerAnswer {
    let ask = CallerAsk {
        method: "POST",
        path,
        id,
        deadline_ms,
        ..Default::default()
    };
    caller.ask(ask, PATIENCE).await.expect("the host answers")
}

/// A request comes when the host has less time left than the request.
#[tokio::test]
async fn a_planned_stop_takes_no_request_that_its_end_would_cut() {
    let bounds = EntryBounds {
        stop_grace: Duration::from_secs(4),
        ..Default::default()
    };
    let scene = Scene::open_with(bounds).await;
    scene.terminate();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    scene.set_moods(AnswerMood::Slow);
    let mut caller = scene.connect().await;
    let refused = ask_within(&mut caller, "/book-ledger/1", "r1", 1_500).await;
    assert_eq!((refused.status, scene.runs("r1").len()), (503, 0));
    assert!(refused.retry_after.is_some());
    scene.set_moods(AnswerMood::Sound);
    let mut caller = scene.connect().await;
    assert_eq!(
        ask_within(&mut caller, "/book-ledger/1", "r2", 300)
            .await
            .status,
        200
    );
    scene.close();
}
