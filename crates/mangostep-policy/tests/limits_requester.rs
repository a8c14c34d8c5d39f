//! The asking side: which home is asked when, and what a refusal says.

use std::time::Duration;

use mangostep_policy::{
    HomeKey, HomeRoute, Machine, MonotonicTime, RequesterAction, RequesterEvent, RequesterSettings,
    TokenGrant, TokenRefusal, TokenRequest, TokenRequester, WaiterId, WaitingRequest,
};

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

fn home(index: u8) -> HomeKey {
    HomeKey { shard: 1, index }
}

struct Host {
    asker: TokenRequester,
    now: MonotonicTime,
}

impl Host {
    fn open() -> Self {
        Host {
            asker: TokenRequester::new(RequesterSettings::default()),
            now: START,
        }
    }

    fn apply(&mut self, event: RequesterEvent) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        self.asker.apply(self.now, event, &mut actions);
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

    /// Lets time pass to the next wake.
    fn wake(&mut self) -> Vec<RequesterAction> {
        self.now = self.asker.next_wake().expect("a wake").max(self.now);
        self.apply(RequesterEvent::Tick)
    }
}

fn only_ask(actions: Vec<RequesterAction>) -> TokenRequest {
    match <[RequesterAction; 1]>::try_from(actions) {
        Ok([RequesterAction::Send(ask)]) => ask,
        other => panic!("not one ask: {other:?}"),
    }
}

fn dry(millis: u64) -> Vec<TokenGrant> {
    vec![TokenGrant {
        granted: 0,
        retry_after: Duration::from_millis(millis),
    }]
}

#[test]
fn requests_of_one_millisecond_go_in_one_ask() {
    let mut host = Host::open();
    assert_eq!(only_ask(host.arrive(1)).entries[0].tokens, 1);
    assert_eq!(host.arrive(2), []);
    assert_eq!(host.arrive(3), []);
    let ask = only_ask(host.wake());
    assert_eq!(host.now.since(START), Duration::from_millis(1));
    assert_eq!(ask.entries[0].tokens, 2);
    let grant = TokenGrant {
        granted: 2,
        ..Default::default()
    };
    let admitted = host.apply(RequesterEvent::Answered(ask.id, vec![grant]));
    let ids = [WaiterId(2), WaiterId(3)].map(RequesterAction::Admit);
    assert_eq!(admitted, ids);
    assert_eq!(
        host.apply(RequesterEvent::Answered(ask.id, vec![grant])),
        []
    );
}

#[test]
fn a_request_is_refused_only_when_all_homes_are_dry() {
    let mut host = Host::open();
    let mut ask = only_ask(host.arrive(1));
    for index in 0..3 {
        assert_eq!(ask.home, home(index));
        assert_eq!(ask.entries[0].is_last, index == 2);
        let answered = RequesterEvent::Answered(ask.id, dry(300 - 50 * u64::from(index)));
        let actions = host.apply(answered);
        if index < 2 {
            ask = only_ask(actions);
        } else {
            let refusal = TokenRefusal::Exhausted(Duration::from_millis(200));
            assert_eq!(actions, [RequesterAction::Refuse(WaiterId(1), refusal)]);
        }
    }
}

#[test]
fn a_dry_name_is_asked_for_again_after_a_second_at_the_latest() {
    let mut host = Host::open();
    let mut actions = host.arrive(1);
    for _ in 0..3 {
        let ask = only_ask(actions);
        actions = host.apply(RequesterEvent::Answered(ask.id, dry(3_600_000)));
    }
    host.now = host.now + Duration::from_millis(900);
    let wait = Duration::from_millis(3_600_000 - 900);
    let refused = RequesterAction::Refuse(WaiterId(2), TokenRefusal::Exhausted(wait));
    assert_eq!(host.arrive(2), [refused]);
    host.now = host.now + Duration::from_millis(100);
    only_ask(host.arrive(3));
}

#[test]
fn a_home_that_does_not_answer_is_passed_over_and_asked_last() {
    let mut host = Host::open();
    let silent = only_ask(host.arrive(1));
    assert_eq!(silent.home, home(0));
    let next = only_ask(host.wake());
    assert_eq!(host.now.since(START), Duration::from_millis(100));
    assert_eq!(next.home, home(1));
    host.now = host.now + Duration::from_millis(5);
    assert_eq!(only_ask(host.arrive(2)).home, home(1));
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
fn a_request_that_no_home_answers_is_told_so() {
    let mut host = Host::open();
    let mut ask = only_ask(host.arrive(1));
    for _ in 0..2 {
        ask = only_ask(host.apply(RequesterEvent::Failed(ask.id)));
    }
    let refused = RequesterAction::Refuse(WaiterId(1), TokenRefusal::Unreachable);
    assert_eq!(host.apply(RequesterEvent::Failed(ask.id)), [refused]);
}

#[test]
fn a_token_that_comes_after_the_deadline_admits_nothing() {
    let mut host = Host::open();
    let ask = only_ask(host.apply(RequesterEvent::Arrived(WaitingRequest {
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
        host.apply(RequesterEvent::Answered(ask.id, vec![grant])),
        [refused]
    );
}
