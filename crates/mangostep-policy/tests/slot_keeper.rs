//! Properties of the slot keeper under arbitrary events.

use mangostep_testing::seeded;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use {
    bolero::{TypeGenerator, check},
    mangostep_objects::ZoneState,
    mangostep_policy::{
        ColdStartSettings, KeeperAction, KeeperEvent, KeeperRole, KeeperSettings, ListedServer,
        Machine, MonotonicTime, OutcomeKind, OutcomeSample, PermitKey, PermitRequest, ServerAction,
        ServerDetector, ServerVerdict, SlotKeeper, SlotRefusal, SlotRelease,
    },
};

const SERVERS: u8 = 4;
const SETTINGS: KeeperSettings = KeeperSettings {
    cold_start: ColdStartSettings {
        slots: 3,
        cold_slots: 1,
        ramp: Duration::from_secs(2),
    },
    validity_max: Duration::from_secs(2),
    validity_margin: Duration::from_millis(100),
    try_timeout: Duration::from_secs(1),
    wait_max: Duration::from_millis(300),
    ejection_max: Duration::from_secs(1),
    retry_share: 0.1,
    retry_burst: 3.0,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Ask {
        workspace: u8,
        left: u8,
        avoid: u8,
        is_retry: bool,
    },
    Withdraw {
        pick: u8,
    },
    Release {
        pick: u8,
        outcome: u8,
    },
    List {
        absent: u8,
        leaving: u8,
    },
    Zone {
        is_out: bool,
    },
    Verdict {
        server: u8,
        action: u8,
    },
    Eject {
        is_granted: bool,
    },
}

/// Gives the verdicts that a test puts in.
#[derive(Debug, Default)]
struct ScriptedDetector(std::rc::Rc<std::cell::RefCell<Vec<ServerVerdict>>>);

impl ServerDetector for ScriptedDetector {
    fn observe(&mut self, _now: MonotonicTime, _sample: OutcomeSample<'_>) {}
    fn verdicts(&mut self, _now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        verdicts.append(&mut self.0.borrow_mut());
    }
    fn forget(&mut self, _server: &str) {}
}

fn server_name(index: u8) -> String {
    format!("s{}", index % SERVERS)
}

fn outcome_of(index: u8) -> OutcomeKind {
    use OutcomeKind::*;
    let all = [
        Answered,
        ServerError,
        Refused,
        Draining,
        ConnectFailed,
        CutAnswer,
        Timeout,
        WrongAnswer,
        CallerGone,
        Cold,
        Unused,
    ];
    all[usize::from(index) % all.len()]
}

struct OpenPermit {
    server: String,
    end: MonotonicTime,
}

/// What the outside knows, kept apart from the keeper's own books.
#[derive(Default)]
struct Observer {
    now: MonotonicTime,
    last_ticket: u64,
    waiting: BTreeSet<u64>,
    permits: BTreeMap<PermitKey, OpenPermit>,
    absent: BTreeSet<String>,
    leaving: BTreeSet<String>,
    is_out: bool,
    ejected: BTreeMap<String, MonotonicTime>,
    /// Ejections asked for, with the end that counts from the ask.
    wanted: Vec<(String, MonotonicTime)>,
    avoids: BTreeMap<u64, String>,
    busy_until_cold: BTreeMap<String, MonotonicTime>,
}

impl Observer {
    fn running(&self, server: &str) -> usize {
        let open = self.permits.values();
        open.filter(|permit| permit.server == server && permit.end > self.now)
            .count()
    }

    fn take(&mut self, actions: &mut Vec<KeeperAction>) {
        for action in actions.drain(..) {
            match action {
                KeeperAction::Grant {
                    ticket,
                    permit,
                    server,
                    valid,
                } => {
                    assert!(self.waiting.remove(&ticket), "answered twice");
                    assert!(!self.is_out, "grant in a zone that is out");
                    assert!(
                        !self.absent.contains(&server),
                        "grant at an unlisted server"
                    );
                    assert!(!self.leaving.contains(&server), "grant at a leaving server");
                    assert_ne!(
                        self.avoids.get(&ticket),
                        Some(&server),
                        "grant at a tried server"
                    );
                    let ejected = self.ejected.get(&server);
                    assert!(
                        ejected.is_none_or(|end| *end <= self.now),
                        "grant while ejected"
                    );
                    let end = self.now + valid;
                    self.permits.insert(
                        permit,
                        OpenPermit {
                            server: server.clone(),
                            end,
                        },
                    );
                    let running = self.running(&server);
                    assert!(running <= 3, "over the slots");
                    let cold_since = self
                        .busy_until_cold
                        .get(&server)
                        .copied()
                        .unwrap_or_default();
                    if self.now.since(cold_since) < Duration::from_secs(1) {
                        assert!(running <= 1, "over the cold slots: {running}");
                    }
                }
                KeeperAction::Refuse {
                    ticket, refusal, ..
                } => {
                    assert!(self.waiting.remove(&ticket), "answered twice");
                    assert!(refusal != SlotRefusal::ZoneOut || self.is_out);
                }
                KeeperAction::RequestEjection { server, hold, .. } => {
                    // The daemon gives an unanswered ask up before the next.
                    self.wanted.retain(|(name, _)| *name != server);
                    self.wanted.push((server, self.now + hold));
                }
            }
        }
    }
}

fn run(steps: &[Step]) {
    let script = std::rc::Rc::default();
    let detector = ScriptedDetector(std::rc::Rc::clone(&script));
    let term = KeeperRole::HeldFrom(MonotonicTime::ZERO);
    let mut keeper = SlotKeeper::new(SETTINGS, term, detector);
    let mut seen = Observer {
        now: MonotonicTime::from_micros(1),
        ..Default::default()
    };
    let mut actions = Vec::new();
    let list = |seen: &Observer| {
        let names = (0..SERVERS)
            .map(server_name)
            .filter(|name| !seen.absent.contains(name));
        let entries = names.map(|name| ListedServer {
            is_leaving: seen.leaving.contains(&name),
            name,
        });
        KeeperEvent::Servers(entries.collect())
    };
    keeper.apply(seen.now, list(&seen), &mut actions);
    for step in steps {
        let event = match *step {
            Step::Wait(millis) => {
                seen.now = seen.now + Duration::from_millis(u64::from(millis) * 2);
                seen.ejected.retain(|_, end| *end > seen.now);
                KeeperEvent::Tick
            }
            Step::Ask {
                workspace,
                left,
                avoid,
                is_retry,
            } => {
                seen.last_ticket += 1;
                seen.waiting.insert(seen.last_ticket);
                let avoid = server_name(avoid);
                seen.avoids.insert(seen.last_ticket, avoid.clone());
                KeeperEvent::Request(PermitRequest {
                    ticket: seen.last_ticket,
                    source: "h1".to_owned(),
                    workspace: format!("w{}", workspace % 3),
                    left: Duration::from_millis(u64::from(left) * 8),
                    avoid: vec![avoid],
                    is_retry,
                })
            }
            Step::Withdraw { pick } => {
                let count = seen.waiting.len().max(1);
                let Some(ticket) = seen.waiting.iter().nth(usize::from(pick) % count).copied()
                else {
                    continue;
                };
                seen.waiting.remove(&ticket);
                KeeperEvent::Cancel { ticket }
            }
            Step::Release { pick, outcome } => {
                let count = seen.permits.len().max(1);
                let Some(permit) = seen.permits.keys().nth(usize::from(pick) % count).copied()
                else {
                    continue;
                };
                let outcome = outcome_of(outcome);
                let ended = seen.permits.remove(&permit).expect("picked above");
                if matches!(outcome, OutcomeKind::Draining) {
                    seen.leaving.insert(ended.server.clone());
                }
                if matches!(outcome, OutcomeKind::Cold | OutcomeKind::ConnectFailed) {
                    seen.busy_until_cold.insert(ended.server.clone(), seen.now);
                }
                KeeperEvent::Release(SlotRelease {
                    permit,
                    source: "h1".to_owned(),
                    outcome,
                    header: Duration::from_millis(10),
                    total: Duration::from_millis(20),
                })
            }
            Step::List { absent, leaving } => {
                let named = |mask: u8| {
                    (0..SERVERS)
                        .filter(move |i| mask >> i & 1 == 1)
                        .map(server_name)
                };
                let was_away: Vec<String> = seen.absent.union(&seen.leaving).cloned().collect();
                seen.absent = named(absent).collect();
                seen.leaving = named(leaving)
                    .filter(|name| !seen.absent.contains(name))
                    .collect();
                seen.ejected.retain(|name, _| !seen.absent.contains(name));
                seen.wanted.retain(|(name, _)| !seen.absent.contains(name));
                for name in was_away {
                    if !seen.absent.contains(&name) && !seen.leaving.contains(&name) {
                        // A server that says that it drains stays so until
                        // the directory has shown it leaving or gone.
                        seen.busy_until_cold.remove(&name);
                    }
                }
                list(&seen)
            }
            Step::Zone { is_out } => {
                seen.is_out = is_out;
                let state = if is_out {
                    ZoneState::Out
                } else {
                    ZoneState::In
                };
                keeper.set_zone(seen.now, state, Duration::from_secs(1));
                KeeperEvent::Tick
            }
            Step::Verdict { server, action } => {
                let hold = Duration::from_millis(u64::from(action) * 10);
                let action = match action % 3 {
                    0 => ServerAction::Readmit,
                    1 => ServerAction::Suspect { weight: 0.3 },
                    _ => ServerAction::Eject { hold },
                };
                if !matches!(action, ServerAction::Eject { .. }) {
                    seen.ejected.remove(&server_name(server));
                    seen.wanted.retain(|(name, _)| *name != server_name(server));
                }
                let verdict = ServerVerdict {
                    server: server_name(server),
                    action,
                    reason: "test",
                };
                script.borrow_mut().push(verdict);
                KeeperEvent::Tick
            }
            Step::Eject { is_granted } => {
                let Some((server, until)) = seen.wanted.pop() else {
                    continue;
                };
                let until = is_granted.then_some(until);
                if let Some(until) = until {
                    let end = seen.ejected.entry(server.clone()).or_default();
                    *end = (*end).max(until);
                }
                KeeperEvent::EjectionDecision { server, until }
            }
        };
        keeper.apply(seen.now, event, &mut actions);
        seen.take(&mut actions);
        seen.permits.retain(|_, permit| permit.end > seen.now);
    }
    // Every ask is answered in the end, and every slot comes back.
    for _ in 0..150 {
        seen.now = seen.now + Duration::from_millis(20);
        keeper.apply(seen.now, KeeperEvent::Tick, &mut actions);
        seen.ejected.retain(|_, end| *end > seen.now);
        seen.take(&mut actions);
    }
    assert!(seen.waiting.is_empty(), "not answered: {:?}", seen.waiting);
    assert_eq!(keeper.in_flight(), 0);
    assert_eq!(keeper.waiting(), 0);
}

#[test]
fn slots_and_answers_hold_under_arbitrary_events() {
    check!()
        .exhaustive()
        .with_generator(seeded::<Vec<Step>>(4000))
        .for_each(|steps| run(steps));
}

fn listed(count: usize) -> KeeperEvent {
    let entry = |i| ListedServer {
        name: format!("s{i}"),
        is_leaving: false,
    };
    KeeperEvent::Servers((0..count).map(entry).collect())
}

type PlainKeeper = SlotKeeper<mangostep_policy::NoopDetector>;

fn warm_keeper(servers: usize, term: KeeperRole) -> PlainKeeper {
    let mut keeper = SlotKeeper::new(SETTINGS, term, mangostep_policy::NoopDetector);
    keeper.apply(MonotonicTime::ZERO, listed(servers), &mut Vec::new());
    let names: Vec<String> = (0..servers).map(|i| format!("s{i}")).collect();
    keeper.set_warm_servers(names.iter().map(String::as_str));
    keeper
}

fn ask(ticket: u64, workspace: &str, left: Duration) -> KeeperEvent {
    KeeperEvent::Request(PermitRequest {
        ticket,
        workspace: workspace.to_owned(),
        left,
        ..Default::default()
    })
}

fn grants(actions: &[KeeperAction]) -> usize {
    let is_grant = |action: &&KeeperAction| matches!(action, KeeperAction::Grant { .. });
    actions.iter().filter(is_grant).count()
}

#[test]
fn a_stopgap_grants_half_the_slots_of_warm_servers_only() {
    let mut keeper = warm_keeper(2, KeeperRole::Stopgap);
    let now = MonotonicTime::from_micros(1);
    keeper.apply(now, listed(4), &mut Vec::new());
    let mut actions = Vec::new();
    for ticket in 0..12 {
        keeper.apply(now, ask(ticket, "w", Duration::from_secs(1)), &mut actions);
    }
    assert_eq!(grants(&actions), 2);
}

#[test]
fn a_new_keeper_waits_for_the_permits_of_the_one_before() {
    let from = MonotonicTime::from_micros(3_000_000);
    let term = KeeperRole::HeldFrom(from);
    let mut keeper = SlotKeeper::new(SETTINGS, term, mangostep_policy::NoopDetector);
    let mut actions = Vec::new();
    keeper.apply(MonotonicTime::ZERO, listed(2), &mut actions);
    keeper.apply(
        MonotonicTime::ZERO,
        ask(1, "w", Duration::from_secs(1)),
        &mut actions,
    );
    assert_eq!(grants(&actions), 0);
    keeper.apply(from, ask(2, "w", Duration::from_secs(1)), &mut actions);
    assert_eq!(grants(&actions), 1);
}

#[test]
fn a_stale_permit_ends_with_its_requests_deadline() {
    let mut keeper = warm_keeper(1, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    for ticket in 0..3 {
        keeper.apply(now, ask(ticket, "w", Duration::from_secs(1)), &mut actions);
    }
    assert_eq!((grants(&actions), keeper.in_flight()), (3, 3));
    let early = now + Duration::from_millis(1090);
    keeper.apply(early, KeeperEvent::Tick, &mut actions);
    assert_eq!(keeper.in_flight(), 3);
    let later = now + Duration::from_millis(1101);
    keeper.apply(later, KeeperEvent::Tick, &mut actions);
    assert_eq!(keeper.in_flight(), 0);
}

#[test]
fn a_retry_needs_the_budget_of_its_cell() {
    let mut keeper = warm_keeper(8, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    for ticket in 0..4 {
        let ask = PermitRequest {
            ticket,
            left: Duration::from_secs(1),
            is_retry: true,
            ..Default::default()
        };
        keeper.apply(now, KeeperEvent::Request(ask), &mut actions);
    }
    assert_eq!(grants(&actions), 3);
    let is_over = |a: &KeeperAction| {
        matches!(
            a,
            KeeperAction::Refuse {
                ticket: 3,
                refusal: SlotRefusal::OverBudget,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_over));
}

/// Serves a flood of one workspace beside steady others for ten seconds.
///
/// Returns how many requests of the steady workspace `w1` were granted.
fn served_beside(flood_every: Option<u64>) -> usize {
    let mut keeper = warm_keeper(4, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let mut running: Vec<(MonotonicTime, PermitKey)> = Vec::new();
    let mut ticket = 0;
    let mut served = 0;
    let mut own = BTreeSet::new();
    for millis in 1..10_000u64 {
        let now = MonotonicTime::from_micros(millis * 1000);
        let is_over = |entry: &mut (MonotonicTime, PermitKey)| entry.0 <= now;
        for (_, permit) in running.extract_if(.., is_over) {
            let release = SlotRelease {
                permit,
                source: "h1".to_owned(),
                outcome: OutcomeKind::Answered,
                header: Duration::from_millis(40),
                total: Duration::from_millis(40),
            };
            keeper.apply(now, KeeperEvent::Release(release), &mut actions);
        }
        let every = [flood_every, Some(20), Some(20)];
        for (workspace, every) in every.iter().enumerate() {
            if every.is_some_and(|every| millis % every == 0) {
                ticket += 1;
                if workspace == 1 {
                    own.insert(ticket);
                }
                let ask = ask(ticket, &format!("w{workspace}"), Duration::from_secs(1));
                keeper.apply(now, ask, &mut actions);
            }
        }
        for action in actions.drain(..) {
            if let KeeperAction::Grant { ticket, permit, .. } = action {
                running.push((now + Duration::from_millis(40), permit));
                served += usize::from(own.contains(&ticket));
            }
        }
    }
    served
}

#[test]
fn a_flooding_workspace_takes_nothing_from_the_others() {
    let alone = served_beside(None);
    let flooded = served_beside(Some(1));
    assert!(alone >= 490, "alone: {alone}");
    assert!(flooded * 100 >= alone * 99, "{flooded} of {alone}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut keeper = warm_keeper(1, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    keeper.apply(now, ask(1, "w", Duration::from_secs(1)), &mut actions);
    let Some(KeeperAction::Grant { permit, .. }) = actions.pop() else {
        panic!("a warm server was free");
    };
    let release = SlotRelease {
        permit,
        source: "h1".to_owned(),
        outcome: OutcomeKind::Answered,
        header: Duration::from_millis(200),
        total: Duration::from_millis(200),
    };
    keeper.apply(now, KeeperEvent::Release(release), &mut actions);
    for ticket in 2..5 {
        keeper.apply(now, ask(ticket, "w", Duration::from_secs(1)), &mut actions);
    }
    assert_eq!(grants(&actions), 3);
    actions.clear();
    keeper.apply(now, ask(5, "w", Duration::from_millis(250)), &mut actions);
    let is_late = |a: &KeeperAction| {
        matches!(
            a,
            KeeperAction::Refuse {
                ticket: 5,
                refusal: SlotRefusal::Late,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_late), "{actions:?}");
}

/// Finds the path from one entry host to one server bad.
#[derive(Debug)]
struct BadPathDetector;

impl ServerDetector for BadPathDetector {
    fn observe(&mut self, _now: MonotonicTime, _sample: OutcomeSample<'_>) {}
    fn verdicts(&mut self, _now: MonotonicTime, _verdicts: &mut Vec<ServerVerdict>) {}
    fn forget(&mut self, _server: &str) {}
    fn is_path_failing(&self, _now: MonotonicTime, server: &str, source: &str) -> bool {
        (server, source) == ("s0", "h1")
    }
}

#[test]
fn a_host_with_a_bad_path_gets_another_server_and_the_others_use_it() {
    let term = KeeperRole::HeldFrom(MonotonicTime::ZERO);
    let mut keeper = SlotKeeper::new(SETTINGS, term, BadPathDetector);
    let now = MonotonicTime::from_micros(1);
    let mut actions = Vec::new();
    keeper.apply(now, listed(2), &mut actions);
    for (ticket, source) in [(1, "h1"), (2, "h1"), (3, "h2")] {
        let ask = PermitRequest {
            ticket,
            source: source.to_owned(),
            left: Duration::from_secs(1),
            ..Default::default()
        };
        keeper.apply(now, KeeperEvent::Request(ask), &mut actions);
    }
    let granted = |action: &KeeperAction| match action {
        KeeperAction::Grant { ticket, server, .. } => Some((*ticket, server.clone())),
        _ => None,
    };
    let granted: Vec<_> = actions.iter().filter_map(granted).collect();
    // Each cold server bears one; the second ask of h1 waits.
    assert_eq!(granted, [(1, "s1".to_owned()), (3, "s0".to_owned())]);
}
