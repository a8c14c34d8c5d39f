//! The slot keeper under arbitrary sequences of events, and its rules one by
//! one.

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
        warm_up: Duration::from_secs(2),
    },
    validity_max: Duration::from_secs(2),
    validity_margin: Duration::from_millis(100),
    try_timeout: Duration::from_secs(1),
    wait_max: Duration::from_millis(300),
    ejection_max: Duration::from_secs(1),
    retry_ratio: 0.1,
    retry_burst: 3.0,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Request {
        workspace: u8,
        left: u8,
        avoid: u8,
        is_retry: bool,
    },
    Cancel {
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

/// Returns the verdicts that the test has queued.
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

struct HeldPermit {
    server: String,
    end: MonotonicTime,
}

/// A model of the cell built from the events and actions alone, without the
/// keeper's own state.
#[derive(Default)]
struct CellModel {
    now: MonotonicTime,
    last_ticket: u64,
    waiting: BTreeSet<u64>,
    permits: BTreeMap<PermitKey, HeldPermit>,
    absent: BTreeSet<String>,
    leaving: BTreeSet<String>,
    is_out: bool,
    ejected: BTreeMap<String, MonotonicTime>,
    /// Requested ejections, with their end measured from the request.
    requested_ejections: Vec<(String, MonotonicTime)>,
    /// The excluded server of each request, by ticket.
    excluded: BTreeMap<u64, String>,
    cold_since: BTreeMap<String, MonotonicTime>,
}

impl CellModel {
    fn in_flight(&self, server: &str) -> usize {
        let permits = self.permits.values();
        permits
            .filter(|permit| permit.server == server && permit.end > self.now)
            .count()
    }

    fn apply(&mut self, actions: &mut Vec<KeeperAction>) {
        for action in actions.drain(..) {
            match action {
                KeeperAction::Grant {
                    ticket,
                    permit,
                    server,
                    valid,
                } => {
                    assert!(self.waiting.remove(&ticket), "two replies to one request");
                    assert!(!self.is_out, "grant in a zone that is out of service");
                    assert!(
                        !self.absent.contains(&server),
                        "grant at an unlisted server"
                    );
                    assert!(!self.leaving.contains(&server), "grant at a leaving server");
                    assert_ne!(
                        self.excluded.get(&ticket),
                        Some(&server),
                        "grant at an excluded server"
                    );
                    let ejected = self.ejected.get(&server);
                    assert!(
                        ejected.is_none_or(|end| *end <= self.now),
                        "grant while ejected"
                    );
                    let end = self.now + valid;
                    self.permits.insert(
                        permit,
                        HeldPermit {
                            server: server.clone(),
                            end,
                        },
                    );
                    let in_flight = self.in_flight(&server);
                    assert!(in_flight <= 3, "more in-flight requests than slots");
                    let cold_since = self.cold_since.get(&server).copied().unwrap_or_default();
                    if self.now.since(cold_since) < Duration::from_secs(1) {
                        assert!(
                            in_flight <= 1,
                            "more in-flight requests than cold slots: {in_flight}"
                        );
                    }
                }
                KeeperAction::Refuse {
                    ticket, refusal, ..
                } => {
                    assert!(self.waiting.remove(&ticket), "two replies to one request");
                    assert!(refusal != SlotRefusal::ZoneOut || self.is_out);
                }
                KeeperAction::RequestEjection { server, hold, .. } => {
                    // The daemon abandons an unanswered request before it sends
                    // the next.
                    self.requested_ejections.retain(|(name, _)| *name != server);
                    self.requested_ejections.push((server, self.now + hold));
                }
            }
        }
    }
}

fn run(steps: &[Step]) {
    let script = std::rc::Rc::default();
    let detector = ScriptedDetector(std::rc::Rc::clone(&script));
    let role = KeeperRole::HeldFrom(MonotonicTime::ZERO);
    let mut keeper = SlotKeeper::new(SETTINGS, role, detector);
    let mut model = CellModel {
        now: MonotonicTime::from_micros(1),
        ..Default::default()
    };
    let mut actions = Vec::new();
    let list = |model: &CellModel| {
        let names = (0..SERVERS)
            .map(server_name)
            .filter(|name| !model.absent.contains(name));
        let entries = names.map(|name| ListedServer {
            is_leaving: model.leaving.contains(&name),
            name,
        });
        KeeperEvent::Servers(entries.collect())
    };
    keeper.apply(model.now, list(&model), &mut actions);
    for step in steps {
        let event = match *step {
            Step::Wait(millis) => {
                model.now = model.now + Duration::from_millis(u64::from(millis) * 2);
                model.ejected.retain(|_, end| *end > model.now);
                KeeperEvent::Tick
            }
            Step::Request {
                workspace,
                left,
                avoid,
                is_retry,
            } => {
                model.last_ticket += 1;
                model.waiting.insert(model.last_ticket);
                let avoid = server_name(avoid);
                model.excluded.insert(model.last_ticket, avoid.clone());
                KeeperEvent::Request(PermitRequest {
                    ticket: model.last_ticket,
                    source: "h1".to_owned(),
                    workspace: format!("w{}", workspace % 3),
                    time_left: Duration::from_millis(u64::from(left) * 8),
                    avoid: vec![avoid],
                    is_retry,
                })
            }
            Step::Cancel { pick } => {
                let count = model.waiting.len().max(1);
                let Some(ticket) = model.waiting.iter().nth(usize::from(pick) % count).copied()
                else {
                    continue;
                };
                model.waiting.remove(&ticket);
                KeeperEvent::Cancel { ticket }
            }
            Step::Release { pick, outcome } => {
                let count = model.permits.len().max(1);
                let Some(permit) = model.permits.keys().nth(usize::from(pick) % count).copied()
                else {
                    continue;
                };
                let outcome = outcome_of(outcome);
                let ended = model
                    .permits
                    .remove(&permit)
                    .expect("permit was picked from the map");
                if matches!(outcome, OutcomeKind::Draining) {
                    model.leaving.insert(ended.server.clone());
                }
                if matches!(outcome, OutcomeKind::Cold | OutcomeKind::ConnectFailed) {
                    model.cold_since.insert(ended.server.clone(), model.now);
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
                let was_unavailable: Vec<String> =
                    model.absent.union(&model.leaving).cloned().collect();
                model.absent = named(absent).collect();
                model.leaving = named(leaving)
                    .filter(|name| !model.absent.contains(name))
                    .collect();
                model.ejected.retain(|name, _| !model.absent.contains(name));
                model
                    .requested_ejections
                    .retain(|(name, _)| !model.absent.contains(name));
                for name in was_unavailable {
                    if !model.absent.contains(&name) && !model.leaving.contains(&name) {
                        // A server that reported draining counts as leaving
                        // until the directory has listed it as leaving, or not
                        // at all.
                        model.cold_since.remove(&name);
                    }
                }
                list(&model)
            }
            Step::Zone { is_out } => {
                model.is_out = is_out;
                let state = if is_out {
                    ZoneState::Out
                } else {
                    ZoneState::In
                };
                keeper.set_zone(model.now, state, Duration::from_secs(1));
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
                    model.ejected.remove(&server_name(server));
                    model
                        .requested_ejections
                        .retain(|(name, _)| *name != server_name(server));
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
                let Some((server, until)) = model.requested_ejections.pop() else {
                    continue;
                };
                let until = is_granted.then_some(until);
                if let Some(until) = until {
                    let end = model.ejected.entry(server.clone()).or_default();
                    *end = (*end).max(until);
                }
                KeeperEvent::EjectionDecision { server, until }
            }
        };
        keeper.apply(model.now, event, &mut actions);
        model.apply(&mut actions);
        model.permits.retain(|_, permit| permit.end > model.now);
    }
    // Every request gets a reply, and every slot is returned.
    for _ in 0..150 {
        model.now = model.now + Duration::from_millis(20);
        keeper.apply(model.now, KeeperEvent::Tick, &mut actions);
        model.ejected.retain(|_, end| *end > model.now);
        model.apply(&mut actions);
    }
    assert!(
        model.waiting.is_empty(),
        "without a reply: {:?}",
        model.waiting
    );
    assert_eq!(keeper.in_flight(), 0);
    assert_eq!(keeper.waiting(), 0);
}

#[test]
fn arbitrary_events_overcommit_no_slot_and_lose_no_reply() {
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

fn warm_keeper(servers: usize, role: KeeperRole) -> PlainKeeper {
    let mut keeper = SlotKeeper::new(SETTINGS, role, mangostep_policy::NoopDetector);
    keeper.apply(MonotonicTime::ZERO, listed(servers), &mut Vec::new());
    let names: Vec<String> = (0..servers).map(|i| format!("s{i}")).collect();
    keeper.set_warm_servers(names.iter().map(String::as_str));
    keeper
}

fn permit_request(ticket: u64, workspace: &str, time_left: Duration) -> KeeperEvent {
    KeeperEvent::Request(PermitRequest {
        ticket,
        workspace: workspace.to_owned(),
        time_left,
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
        keeper.apply(
            now,
            permit_request(ticket, "w", Duration::from_secs(1)),
            &mut actions,
        );
    }
    assert_eq!(grants(&actions), 2);
}

#[test]
fn a_new_keeper_waits_until_the_previous_keepers_permits_expire() {
    let from = MonotonicTime::from_micros(3_000_000);
    let role = KeeperRole::HeldFrom(from);
    let mut keeper = SlotKeeper::new(SETTINGS, role, mangostep_policy::NoopDetector);
    let mut actions = Vec::new();
    keeper.apply(MonotonicTime::ZERO, listed(2), &mut actions);
    keeper.apply(
        MonotonicTime::ZERO,
        permit_request(1, "w", Duration::from_secs(1)),
        &mut actions,
    );
    assert_eq!(grants(&actions), 0);
    keeper.apply(
        from,
        permit_request(2, "w", Duration::from_secs(1)),
        &mut actions,
    );
    assert_eq!(grants(&actions), 1);
}

#[test]
fn an_unreleased_permit_expires_after_its_requests_deadline() {
    let mut keeper = warm_keeper(1, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    for ticket in 0..3 {
        keeper.apply(
            now,
            permit_request(ticket, "w", Duration::from_secs(1)),
            &mut actions,
        );
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
fn retries_beyond_the_budget_are_refused() {
    let mut keeper = warm_keeper(8, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    for ticket in 0..4 {
        let request = PermitRequest {
            ticket,
            time_left: Duration::from_secs(1),
            is_retry: true,
            ..Default::default()
        };
        keeper.apply(now, KeeperEvent::Request(request), &mut actions);
    }
    assert_eq!(grants(&actions), 3);
    let is_refused = |a: &KeeperAction| {
        matches!(
            a,
            KeeperAction::Refuse {
                ticket: 3,
                refusal: SlotRefusal::OverBudget,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_refused));
}

/// Runs three workspaces for ten seconds of simulated time: `w0` sends a request
/// every `flood_every_ms`, the others one every 20 ms.
///
/// Returns the number of grants to `w1`.
fn grants_beside_flood(flood_every_ms: Option<u64>) -> usize {
    let mut keeper = warm_keeper(4, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let mut in_flight: Vec<(MonotonicTime, PermitKey)> = Vec::new();
    let mut ticket = 0;
    let mut served = 0;
    let mut own = BTreeSet::new();
    for millis in 1..10_000u64 {
        let now = MonotonicTime::from_micros(millis * 1000);
        let has_ended = |entry: &mut (MonotonicTime, PermitKey)| entry.0 <= now;
        for (_, permit) in in_flight.extract_if(.., has_ended) {
            let release = SlotRelease {
                permit,
                source: "h1".to_owned(),
                outcome: OutcomeKind::Answered,
                header: Duration::from_millis(40),
                total: Duration::from_millis(40),
            };
            keeper.apply(now, KeeperEvent::Release(release), &mut actions);
        }
        let every = [flood_every_ms, Some(20), Some(20)];
        for (workspace, every) in every.iter().enumerate() {
            if every.is_some_and(|every| millis % every == 0) {
                ticket += 1;
                if workspace == 1 {
                    own.insert(ticket);
                }
                let request =
                    permit_request(ticket, &format!("w{workspace}"), Duration::from_secs(1));
                keeper.apply(now, request, &mut actions);
            }
        }
        for action in actions.drain(..) {
            if let KeeperAction::Grant { ticket, permit, .. } = action {
                in_flight.push((now + Duration::from_millis(40), permit));
                served += usize::from(own.contains(&ticket));
            }
        }
    }
    served
}

#[test]
fn a_flooding_workspace_takes_no_grants_from_the_others() {
    let alone = grants_beside_flood(None);
    let flooded = grants_beside_flood(Some(1));
    assert!(alone >= 490, "alone: {alone}");
    assert!(flooded * 100 >= alone * 99, "{flooded} of {alone}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut keeper = warm_keeper(1, KeeperRole::HeldFrom(MonotonicTime::ZERO));
    let mut actions = Vec::new();
    let now = MonotonicTime::from_micros(1);
    keeper.apply(
        now,
        permit_request(1, "w", Duration::from_secs(1)),
        &mut actions,
    );
    let Some(KeeperAction::Grant { permit, .. }) = actions.pop() else {
        panic!("no grant from a warm server with free slots");
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
        keeper.apply(
            now,
            permit_request(ticket, "w", Duration::from_secs(1)),
            &mut actions,
        );
    }
    assert_eq!(grants(&actions), 3);
    actions.clear();
    keeper.apply(
        now,
        permit_request(5, "w", Duration::from_millis(250)),
        &mut actions,
    );
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

/// Reports a failing path from host `h1` to server `s0`.
#[derive(Debug)]
struct FailingPathDetector;

impl ServerDetector for FailingPathDetector {
    fn observe(&mut self, _now: MonotonicTime, _sample: OutcomeSample<'_>) {}
    fn verdicts(&mut self, _now: MonotonicTime, _verdicts: &mut Vec<ServerVerdict>) {}
    fn forget(&mut self, _server: &str) {}
    fn is_path_failing(&self, _now: MonotonicTime, server: &str, source: &str) -> bool {
        (server, source) == ("s0", "h1")
    }
}

#[test]
fn only_the_host_with_the_failing_path_avoids_the_server() {
    let role = KeeperRole::HeldFrom(MonotonicTime::ZERO);
    let mut keeper = SlotKeeper::new(SETTINGS, role, FailingPathDetector);
    let now = MonotonicTime::from_micros(1);
    let mut actions = Vec::new();
    keeper.apply(now, listed(2), &mut actions);
    for (ticket, source) in [(1, "h1"), (2, "h1"), (3, "h2")] {
        let request = PermitRequest {
            ticket,
            source: source.to_owned(),
            time_left: Duration::from_secs(1),
            ..Default::default()
        };
        keeper.apply(now, KeeperEvent::Request(request), &mut actions);
    }
    let granted = |action: &KeeperAction| match action {
        KeeperAction::Grant { ticket, server, .. } => Some((*ticket, server.clone())),
        _ => None,
    };
    let granted: Vec<_> = actions.iter().filter_map(granted).collect();
    // Each cold server has one slot; the second request of h1 waits.
    assert_eq!(granted, [(1, "s1".to_owned()), (3, "s0".to_owned())]);
}
