//! Every time window stays within rate and burst for any interleaving of token
//! requests, lost, duplicated and late messages, takeovers, handovers and
//! limit changes.

use std::{collections::HashMap, time::Duration};

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{ByteSliceDriver, Options},
    },
    mangostep_policy::{
        FleetLimit, HandoverState, HomeKey, HomeRoute, LimitHome, Machine, MonotonicTime,
        RequesterAction, RequesterEvent, RequesterSettings, TokenFraction, TokenGrant,
        TokenRequest, TokenRequestEntry, TokenRequestId, TokenRequester, WaiterId, WaitingRequest,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const NAME: &str = "w:repairs";
const SEEDS: u64 = 1500;
const OPS_MAX: usize = 400;
const REQUESTERS: usize = 2;
const TOKEN_UNITS: u128 = 1_000_000_000_000;
/// Time within which every host applies a publication.
const PUBLICATION_TIME: Duration = Duration::from_secs(9);

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Advance(u16),
    AdvanceLong(u16),
    Arrive { requester: u8, count: u8 },
    Deliver(u8),
    DeliverMore(u8),
    DeliverAll,
    Lose(u8),
    Duplicate(u8),
    TakeOver(u8),
    HandOver(u8),
    Publish(u8),
    ApplyChange(u8),
    DropFull(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        requester: usize,
        request: TokenRequest,
        entry: usize,
    },
    Answer {
        requester: usize,
        id: TokenRequestId,
        grant: TokenGrant,
    },
    Gather {
        gatherer: usize,
        of: usize,
        gather: u64,
    },
    Fraction {
        to: usize,
        of: usize,
        gather: u64,
        fraction: TokenFraction,
    },
    State {
        to: usize,
        epoch: u64,
        state: HandoverState,
    },
}

/// A collection of fractions that waits for the other homes.
struct PendingGather {
    requester: usize,
    id: TokenRequestId,
    tokens: u32,
    requested_at: MonotonicTime,
    missing: Vec<usize>,
    fractions: Vec<TokenFraction>,
    epoch: u64,
}

struct OpenHome {
    home: LimitHome,
    epoch: u64,
    limit: FleetLimit,
}

struct Fleet {
    now: MonotonicTime,
    limits: Vec<FleetLimit>,
    latest: FleetLimit,
    previous: FleetLimit,
    published_at: MonotonicTime,
    open_homes: Vec<OpenHome>,
    requesters: Vec<TokenRequester>,
    messages: Vec<Message>,
    gathers: HashMap<u64, PendingGather>,
    next_id: u64,
    /// Times at which whole tokens were taken, one entry per token.
    taken: Vec<MonotonicTime>,
    admitted: Vec<WaiterId>,
}

impl Fleet {
    fn open(limits: &[FleetLimit]) -> Self {
        let now = MonotonicTime::from_micros(1_000_000);
        let open_homes = (0..3)
            .map(|index| OpenHome {
                home: LimitHome::open(index, now),
                epoch: 1,
                limit: limits[0],
            })
            .collect();
        Fleet {
            now,
            limits: limits.to_vec(),
            latest: limits[0],
            previous: limits[0],
            published_at: now,
            open_homes,
            requesters: (0..REQUESTERS)
                .map(|_| TokenRequester::new(RequesterSettings::default()))
                .collect(),
            messages: Vec::new(),
            gathers: HashMap::new(),
            next_id: 0,
            taken: Vec::new(),
            admitted: Vec::new(),
        }
    }

    fn run(&mut self, op: &Op) {
        match *op {
            Op::Advance(micros) => self.advance(Duration::from_micros(u64::from(micros))),
            Op::AdvanceLong(tens) => self.advance(Duration::from_micros(u64::from(tens) * 50)),
            Op::Arrive { requester, count } => {
                for _ in 0..1 + count % 8 {
                    self.arrive(usize::from(requester) % REQUESTERS);
                }
            }
            Op::Deliver(position) | Op::DeliverMore(position) => {
                self.deliver(usize::from(position));
            }
            Op::DeliverAll => {
                for _ in 0..64 {
                    self.deliver(0);
                }
            }
            Op::Lose(position) => {
                self.take_message(usize::from(position));
            }
            Op::Duplicate(position) => {
                if !self.messages.is_empty() {
                    let message =
                        self.messages[usize::from(position) % self.messages.len()].clone();
                    self.messages.push(message);
                }
            }
            Op::TakeOver(index) => self.take_over(usize::from(index) % 3),
            Op::HandOver(index) => self.hand_over(usize::from(index) % 3),
            Op::Publish(choice) => self.publish(usize::from(choice)),
            Op::ApplyChange(index) => self.apply_change(usize::from(index) % 3),
            Op::DropFull(index) => {
                let open_home = &mut self.open_homes[usize::from(index) % 3];
                let limit = open_home.limit;
                open_home.home.drop_full_buckets(self.now, |_| Some(limit));
            }
        }
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now = self.now + elapsed;
        if self.now.since(self.published_at) >= PUBLICATION_TIME {
            for index in 0..3 {
                self.apply_change(index);
            }
        }
        for requester in 0..REQUESTERS {
            self.apply(requester, RequesterEvent::Tick);
        }
    }

    fn arrive(&mut self, requester: usize) {
        self.next_id += 1;
        let request = WaitingRequest {
            id: WaiterId(self.next_id),
            name: NAME.to_owned(),
            deadline: self.now + Duration::from_secs(1),
            homes: self
                .latest
                .homes(NAME)
                .map(|home| HomeRoute {
                    home,
                    is_local: false,
                })
                .collect(),
        };
        self.apply(requester, RequesterEvent::Arrived(request));
    }

    fn apply(&mut self, requester: usize, event: RequesterEvent) {
        let mut actions = Vec::new();
        self.requesters[requester].apply(self.now, event, &mut actions);
        for action in actions {
            match action {
                RequesterAction::Send(request) => {
                    let message = Message::Request {
                        requester,
                        request,
                        entry: 0,
                    };
                    self.messages.push(message);
                }
                RequesterAction::Admit(id) => self.admitted.push(id),
                RequesterAction::Refuse(..) => {}
            }
        }
    }

    fn take_message(&mut self, position: usize) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let position = position % self.messages.len();
        Some(self.messages.remove(position))
    }

    fn deliver(&mut self, position: usize) {
        match self.take_message(position) {
            None => {}
            Some(Message::Request {
                requester,
                request,
                entry,
            }) => self.serve(requester, &request, entry),
            Some(Message::Answer {
                requester,
                id,
                grant,
            }) => {
                self.apply(requester, RequesterEvent::Answered(id, vec![grant]));
            }
            Some(Message::Gather {
                gatherer,
                of,
                gather,
            }) => {
                let open_home = &mut self.open_homes[of];
                let fraction = open_home
                    .home
                    .take_fraction(self.now, NAME, open_home.limit);
                let to = gatherer;
                self.messages.push(Message::Fraction {
                    to,
                    of,
                    gather,
                    fraction,
                });
            }
            Some(Message::Fraction {
                to,
                of,
                gather,
                fraction,
            }) => self.take_fraction(to, of, gather, fraction),
            Some(Message::State { to, epoch, state }) => {
                let open_home = &mut self.open_homes[to];
                if open_home.epoch == epoch + 1 {
                    let limit = open_home.limit;
                    open_home
                        .home
                        .accept_handover(self.now, &state, |_| Some(limit));
                }
            }
        }
    }

    fn serve(&mut self, requester: usize, request: &TokenRequest, entry: usize) {
        let TokenRequestEntry {
            tokens, is_last, ..
        } = request.entries[entry];
        let index = usize::from(request.home.index);
        let open_home = &mut self.open_homes[index];
        let grant = open_home.home.take(self.now, NAME, open_home.limit, tokens);
        self.record_taken(grant.granted);
        if grant.granted > 0 || !is_last {
            let id = request.id;
            self.messages.push(Message::Answer {
                requester,
                id,
                grant,
            });
            return;
        }
        self.next_id += 1;
        let gather = self.next_id;
        let missing: Vec<usize> = (0..3).filter(|other| *other != index).collect();
        for of in missing.iter().copied() {
            let gatherer = index;
            self.messages.push(Message::Gather {
                gatherer,
                of,
                gather,
            });
        }
        let pending = PendingGather {
            requester,
            id: request.id,
            tokens,
            requested_at: self.now,
            missing,
            fractions: Vec::new(),
            epoch: self.open_homes[index].epoch,
        };
        self.gathers.insert(gather, pending);
    }

    fn take_fraction(&mut self, to: usize, of: usize, gather: u64, fraction: TokenFraction) {
        let Some(pending) = self.gathers.get_mut(&gather) else {
            return;
        };
        let Some(position) = pending.missing.iter().position(|other| *other == of) else {
            return;
        };
        pending.missing.remove(position);
        pending.fractions.push(fraction);
        if !pending.missing.is_empty() {
            return;
        }
        let Some(pending) = self.gathers.remove(&gather) else {
            return;
        };
        let open_home = &mut self.open_homes[to];
        if open_home.epoch != pending.epoch {
            return;
        }
        let grant = open_home.home.take_with_fractions(
            self.now,
            NAME,
            open_home.limit,
            pending.tokens,
            &pending.fractions,
            pending.requested_at,
        );
        self.record_taken(grant.granted);
        self.messages.push(Message::Answer {
            requester: pending.requester,
            id: pending.id,
            grant,
        });
    }

    fn record_taken(&mut self, granted: u32) {
        for _ in 0..granted {
            self.taken.push(self.now);
        }
    }

    fn take_over(&mut self, index: usize) {
        let open_home = &mut self.open_homes[index];
        open_home.epoch += 1;
        open_home.limit = self.latest;
        open_home.home = LimitHome::open(u8::try_from(index).unwrap(), self.now);
        self.replay_change(index);
    }

    /// Applies a recent limit change to a home that was just opened, as its
    /// host does.
    fn replay_change(&mut self, index: usize) {
        if self.now.since(self.published_at) > 2 * PUBLICATION_TIME {
            return;
        }
        let open_home = &mut self.open_homes[index];
        if open_home.limit == self.latest {
            let (old, new) = (Some(self.previous), Some(self.latest));
            open_home.home.change_limit(self.now, NAME, old, new);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let open_home = &mut self.open_homes[index];
        let limit = open_home.limit;
        let epoch = open_home.epoch;
        let state = open_home.home.seal(self.now, |_| Some(limit));
        open_home.epoch += 1;
        open_home.home = LimitHome::open(u8::try_from(index).unwrap(), self.now);
        self.messages.push(Message::State {
            to: index,
            epoch,
            state,
        });
        self.replay_change(index);
    }

    fn publish(&mut self, choice: usize) {
        // The next publication waits until every home applies this one.
        if (0..3).any(|index| self.open_homes[index].limit != self.latest) {
            return;
        }
        self.previous = self.latest;
        self.latest = self.limits[choice % self.limits.len()];
        self.published_at = self.now;
    }

    fn apply_change(&mut self, index: usize) {
        let open_home = &mut self.open_homes[index];
        if open_home.limit != self.latest {
            let (old, new) = (Some(open_home.limit), Some(self.latest));
            open_home.home.change_limit(self.now, NAME, old, new);
            open_home.limit = self.latest;
        }
    }

    /// Checks every window that starts and ends with a taken token.
    fn check_windows(&self) {
        let rate = self.limits.iter().map(|limit| limit.rate_micro_per_s).max();
        let burst = self.limits.iter().map(|limit| limit.burst_micro).max();
        let rate = u128::from(rate.unwrap());
        let burst = u128::from(burst.unwrap()) * 1_000_000;
        for (first, start) in self.taken.iter().enumerate() {
            for (last, end) in self.taken.iter().enumerate().skip(first) {
                let count = (last - first + 1) as u128;
                let window = end.since(*start).as_micros();
                assert!(
                    count * TOKEN_UNITS <= rate * window + burst,
                    "{count} tokens in {window} us"
                );
            }
        }
        assert!(self.admitted.len() <= self.taken.len());
        let mut ids: Vec<u64> = self.admitted.iter().map(|id| id.0).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(
            ids.len(),
            self.admitted.len(),
            "a request was admitted twice"
        );
    }
}

fn limit(rate_micro_per_s: u64, burst_micro: u64) -> FleetLimit {
    FleetLimit {
        rate_micro_per_s,
        burst_micro,
    }
}

/// Runs the same operation sequences every time; a failure prints its seed.
fn for_each_seed(run: impl Fn(&[Op])) {
    for seed in 0..SEEDS {
        let mut bytes = vec![0; 4096];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes[..], &Options::default());
        let ops: Vec<Op> = std::iter::from_fn(|| Op::generate(&mut driver))
            .take(OPS_MAX)
            .collect();
        let printer = SeedPrinter(seed);
        run(&ops);
        std::mem::forget(printer);
    }
}

/// Prints the seed when it is dropped by a panic.
struct SeedPrinter(u64);

impl Drop for SeedPrinter {
    fn drop(&mut self) {
        eprintln!("seed {}", self.0);
    }
}

fn run_all(limits: &[FleetLimit], ops: &[Op]) {
    let mut fleet = Fleet::open(limits);
    // Homes start empty, and slow limits would never accrue a first token.
    fleet.advance(Duration::from_secs(2));
    for op in ops {
        fleet.run(op);
    }
    fleet.check_windows();
}

#[test]
fn every_window_holds_with_a_small_burst() {
    for_each_seed(|ops| run_all(&[limit(100_000_000, 3_000_000)], ops));
}

#[test]
fn every_window_holds_with_a_larger_burst() {
    for_each_seed(|ops| run_all(&[limit(20_000_000, 10_700_000)], ops));
}

#[test]
fn every_window_holds_while_the_limit_changes() {
    let limits = [
        limit(40_000_000, 6_000_000),
        limit(10_000_000, 3_300_000),
        limit(60_000_000, 9_000_000),
    ];
    for_each_seed(|ops| run_all(&limits, ops));
}

#[test]
fn every_window_holds_while_the_number_of_homes_changes() {
    let limits = [
        limit(30_000_000, 3_000_000),
        limit(30_000_000, 1_500_000),
        limit(30_000_000, 2_900_000),
    ];
    for_each_seed(|ops| run_all(&limits, ops));
}

#[test]
fn late_grants_admit_nothing() {
    let mut fleet = Fleet::open(&[limit(10_000_000, 3_000_000)]);
    fleet.advance(Duration::from_secs(2));
    fleet.arrive(0);
    fleet.deliver(0);
    assert_eq!(fleet.taken.len(), 1);
    fleet.advance(Duration::from_millis(251));
    fleet
        .messages
        .retain(|message| matches!(message, Message::Answer { .. }));
    fleet.deliver(0);
    assert!(fleet.admitted.is_empty());
}

#[test]
fn fractions_of_exhausted_homes_combine_into_one_token() {
    let limit = limit(1_000_000, 3_000_000);
    let mut fleet = Fleet::open(&[limit]);
    // Each home accrues 0.9 tokens.
    fleet.advance(Duration::from_millis(2700));
    for _ in 0..4 {
        fleet.arrive(0);
        fleet.run(&Op::DeliverAll);
        fleet.advance(Duration::from_millis(1));
        fleet.run(&Op::DeliverAll);
    }
    assert_eq!(fleet.admitted.len(), 2, "2.7 tokens are available");
    let homes: Vec<HomeKey> = limit.homes(NAME).collect();
    assert_eq!(homes.len(), 3);
}
