//! Order and timing of token requests to the limit homes, and the reasons of
//! refusals.

use std::time::Duration;

use mangostep_policy::{
    HomeKey, HomeRoute, Machine, MonotonicTime, RequesterAction, RequesterEvent, RequesterSettings,
    TokenGrant, TokenRefusal, TokenRequest, TokenRequester, WaiterId, WaitingRequest,
};

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

fn home(index: u8) -> HomeKey {
    HomeKey { shard: 1, index }
}

struct RequestingHost {
    requester: TokenRequester,
    now: MonotonicTime,
}

impl RequestingHost {
    fn open() -> Self {
        RequestingHost {
            requester: TokenRequester::new(RequesterSettings::default()),
            now: START,
        }
    }

    fn apply(&mut self, event: RequesterEvent) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        self.requester.apply(self.now, event, &mut actions);
        actions
    }

    fn arrive(&mut self, id: u64) -> Vec<RequesterAction> {
        let homes = (0..3).map(|index| HomeRoute {
            home: home(index),
            is_local: false,
        });
        self.apply(RequesterEvent::Arrived(WaitingRequest {
            id: WaiterId(id),
            name: "w:repairs".to_owned(),
            deadline: self.now + Duration::from_secs(1),
            homes: homes.collect(),
        }))
    }

    /// Advances the time to the next wake and runs it.
    fn wake(&mut self) -> Vec<RequesterAction> {
        self.now = self.requester.next_wake().expect("a wake").max(self.now);
        self.apply(RequesterEvent::Tick)
    }
}

fn only_request(actions: Vec<RequesterAction>) -> TokenRequest {
    match <[RequesterAction; 1]>::try_from(actions) {
        Ok([RequesterAction::Send(request)]) => request,
        other => panic!("expected one token request, got {other:?}"),
    }
}

fn exhausted(millis: u64) -> Vec<TokenGrant> {
    vec![TokenGrant {
        granted: 0,
        retry_after: Duration::from_millis(millis),
    }]
}

#[test]
fn requests_within_the_batch_interval_share_one_message() {
    let mut host = RequestingHost::open();
    assert_eq!(only_request(host.arrive(1)).entries[0].tokens, 1);
    assert_eq!(host.arrive(2), []);
    assert_eq!(host.arrive(3), []);
    let request = only_request(host.wake());
    assert_eq!(host.now.since(START), Duration::from_millis(1));
    assert_eq!(request.entries[0].tokens, 2);
    let grant = TokenGrant {
        granted: 2,
        ..Default::default()
    };
    let admitted = host.apply(RequesterEvent::Answered(request.id, vec![grant]));
    let ids = [WaiterId(2), WaiterId(3)].map(RequesterAction::Admit);
    assert_eq!(admitted, ids);
    assert_eq!(
        host.apply(RequesterEvent::Answered(request.id, vec![grant])),
        []
    );
}

#[test]
fn a_request_is_refused_only_when_all_homes_are_exhausted() {
    let mut host = RequestingHost::open();
    let mut request = only_request(host.arrive(1));
    for index in 0..3 {
        assert_eq!(request.home, home(index));
        assert_eq!(request.entries[0].is_last, index == 2);
        let answered = RequesterEvent::Answered(request.id, exhausted(300 - 50 * u64::from(index)));
        let actions = host.apply(answered);
        if index < 2 {
            request = only_request(actions);
        } else {
            let refusal = TokenRefusal::Exhausted(Duration::from_millis(200));
            assert_eq!(actions, [RequesterAction::Refuse(WaiterId(1), refusal)]);
        }
    }
}

#[test]
fn an_exhausted_name_is_requested_again_within_a_second() {
    let mut host = RequestingHost::open();
    let mut actions = host.arrive(1);
    for _ in 0..3 {
        let request = only_request(actions);
        actions = host.apply(RequesterEvent::Answered(request.id, exhausted(3_600_000)));
    }
    host.now = host.now + Duration::from_millis(900);
    let wait = Duration::from_millis(3_600_000 - 900);
    let refused = RequesterAction::Refuse(WaiterId(2), TokenRefusal::Exhausted(wait));
    assert_eq!(host.arrive(2), [refused]);
    host.now = host.now + Duration::from_millis(100);
    only_request(host.arrive(3));
}

#[test]
fn a_home_that_times_out_is_skipped_and_tried_last() {
    let mut host = RequestingHost::open();
    let silent = only_request(host.arrive(1));
    assert_eq!(silent.home, home(0));
    let next = only_request(host.wake());
    assert_eq!(host.now.since(START), Duration::from_millis(100));
    assert_eq!(next.home, home(1));
    host.now = host.now + Duration::from_millis(5);
    assert_eq!(only_request(host.arrive(2)).home, home(1));
    let late = TokenGrant {
        granted: 1,
        ..Default::default()
    };
    assert_eq!(
        host.apply(RequesterEvent::Answered(silent.id, vec![late])),
        []
    );
}

#[test]
fn a_request_is_refused_as_unreachable_when_no_home_answers() {
    let mut host = RequestingHost::open();
    let mut request = only_request(host.arrive(1));
    for _ in 0..2 {
        request = only_request(host.apply(RequesterEvent::Failed(request.id)));
    }
    let refused = RequesterAction::Refuse(WaiterId(1), TokenRefusal::Unreachable);
    assert_eq!(host.apply(RequesterEvent::Failed(request.id)), [refused]);
}

#[test]
fn a_grant_after_the_deadline_admits_nothing() {
    let mut host = RequestingHost::open();
    let request = only_request(host.apply(RequesterEvent::Arrived(WaitingRequest {
        id: WaiterId(1),
        name: "w:repairs".to_owned(),
        deadline: START + Duration::from_millis(10),
        homes: vec![HomeRoute {
            home: home(0),
            is_local: false,
        }],
    })));
    host.now = host.now + Duration::from_millis(10);
    let grant = TokenGrant {
        granted: 1,
        ..Default::default()
    };
    let refused = RequesterAction::Refuse(WaiterId(1), TokenRefusal::DeadlinePassed);
    assert_eq!(
        host.apply(RequesterEvent::Answered(request.id, vec![grant])),
        [refused]
    );
}
