use std::time::Duration;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::{
        AttemptFailure, MonotonicTime, OutcomeKind, OutcomeSample, RetryState,
        replay::{
            ExpectedOutcome, RetryRecord, TraceEvent, TraceHeader, TracePolicy, TraceRecorder,
            TraceSource,
        },
    },
};

use crate::workload::{CellFault, CellSettings, CellWorkload, FaultMode, LoadBurst};

/// Time between two looks at the detector's verdicts.
const TICK: Duration = Duration::from_millis(250);

/// Longest time from the start of a fault to the ejection.
const DETECTION_BOUND: Duration = Duration::from_secs(5);

const FAULT_START: Duration = Duration::from_secs(6);

/// A trace file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedTrace {
    /// Name of the file.
    pub file: String,
    /// Its text.
    pub text: String,
}

/// What a cell goes through and what must come of it.
struct CellStory {
    name: &'static str,
    about: &'static str,
    cell: CellSettings,
    length: Duration,
    faults: Vec<CellFault>,
    bursts: Vec<LoadBurst>,
    /// Probes that pass, one a server and second.
    probes: bool,
    expected: Vec<(Duration, ExpectedOutcome)>,
}

impl Default for CellStory {
    fn default() -> Self {
        CellStory {
            name: "",
            about: "",
            cell: CellSettings::default(),
            length: Duration::from_secs(12),
            faults: Vec::new(),
            bursts: Vec::new(),
            probes: false,
            expected: Vec::new(),
        }
    }
}

/// The traces of `traces/`, drawn again.
pub fn recorded_traces() -> Vec<RecordedTrace> {
    let mut traces: Vec<_> = stories().iter().map(record).collect();
    traces.push(retry_trace());
    traces
}

fn refunds() -> CellSettings {
    CellSettings {
        prefix: "refunds-",
        servers: 6,
        ..Default::default()
    }
}

fn ledger() -> CellSettings {
    CellSettings {
        prefix: "ledger-",
        rate_per_server: 10.0,
        ..Default::default()
    }
}

fn licensing() -> CellSettings {
    CellSettings {
        prefix: "licensing-",
        servers: 6,
        slots: 4,
        ..Default::default()
    }
}

fn registry() -> CellSettings {
    CellSettings {
        prefix: "registry-",
        slots: 4,
        rate_per_server: 10.0,
        ..Default::default()
    }
}

fn fault_of_one(mode: FaultMode) -> CellFault {
    CellFault {
        mode,
        server: Some(3),
        during: (FAULT_START, Duration::MAX),
        ..Default::default()
    }
}

fn ejected(server: &str, from: Duration) -> (Duration, ExpectedOutcome) {
    let outcome = ExpectedOutcome::Ejected {
        server: server.to_owned(),
        since: from.as_micros() as u64,
    };
    (from + DETECTION_BOUND, outcome)
}

fn stories() -> Vec<CellStory> {
    let mut all = gray_stories();
    all.extend(innocent_stories());
    all.extend(returning_stories());
    all
}

fn gray_stories() -> Vec<CellStory> {
    let outcome = FaultMode::Outcome;
    vec![
        CellStory {
            name: "refunds-gray-errors",
            about: "one of six refund servers fails 3 of 10 requests and passes its probes",
            cell: refunds(),
            faults: vec![fault_of_one(outcome(OutcomeKind::ServerError, 0.3))],
            probes: true,
            expected: vec![ejected("refunds-03", FAULT_START)],
            ..Default::default()
        },
        CellStory {
            name: "refunds-gray-hang",
            about: "one of six refund servers answers nothing and passes its probes",
            cell: refunds(),
            faults: vec![fault_of_one(FaultMode::Hang)],
            probes: true,
            expected: vec![ejected("refunds-03", FAULT_START)],
            ..Default::default()
        },
        CellStory {
            name: "ledger-gray-slow",
            about: "one of thirty ledger servers is ten times as slow",
            cell: ledger(),
            faults: vec![fault_of_one(FaultMode::Slow(10.0))],
            expected: vec![ejected("ledger-03", FAULT_START)],
            ..Default::default()
        },
        CellStory {
            name: "registry-wrong-ids",
            about: "one of thirty registry servers answers other requests now and then",
            cell: registry(),
            faults: vec![fault_of_one(outcome(OutcomeKind::WrongAnswer, 0.2))],
            expected: vec![ejected("registry-03", FAULT_START)],
            ..Default::default()
        },
    ]
}

fn innocent_stories() -> Vec<CellStory> {
    let while_on = |mode| CellFault {
        mode,
        during: (FAULT_START, FAULT_START * 2),
        ..Default::default()
    };
    vec![
        CellStory {
            name: "refunds-overload",
            about: "three times the load makes all refund servers slow and refuse: none fails",
            cell: refunds(),
            length: Duration::from_secs(16),
            faults: vec![
                while_on(FaultMode::Slow(12.0)),
                while_on(FaultMode::Outcome(OutcomeKind::Refused, 0.3)),
                while_on(FaultMode::Outcome(OutcomeKind::Timeout, 0.1)),
            ],
            bursts: vec![LoadBurst {
                during: (FAULT_START, FAULT_START * 2),
                factor: 3.0,
            }],
            ..Default::default()
        },
        CellStory {
            name: "ledger-cut-zone",
            about: "while the store is away, nothing gets from the hosts of one zone to any server",
            cell: ledger(),
            faults: vec![CellFault {
                mode: FaultMode::Hang,
                zone: Some(1),
                ..while_on(FaultMode::Hang)
            }],
            ..Default::default()
        },
        CellStory {
            name: "registry-one-path",
            about: "one host does not reach one server that all others reach",
            cell: registry(),
            faults: vec![CellFault {
                host: Some(7),
                ..fault_of_one(FaultMode::Outcome(OutcomeKind::ConnectFailed, 1.0))
            }],
            ..Default::default()
        },
        CellStory {
            name: "licensing-cold-again",
            about: "one licensing server turns cold without warning, says so, and is slower",
            cell: licensing(),
            faults: vec![
                fault_of_one(FaultMode::Outcome(OutcomeKind::Cold, 0.5)),
                fault_of_one(FaultMode::Slow(2.0)),
            ],
            ..Default::default()
        },
    ]
}

fn returning_stories() -> Vec<CellStory> {
    let errors = FaultMode::Outcome(OutcomeKind::ServerError, 1.0);
    let back = Duration::from_secs(14);
    vec![
        CellStory {
            name: "licensing-zone-out-and-back",
            about: "a zone is taken out and comes back with slower answers at first",
            cell: licensing(),
            length: Duration::from_secs(20),
            faults: vec![CellFault {
                mode: FaultMode::Slow(3.0),
                during: (back, back + Duration::from_secs(3)),
                ..Default::default()
            }],
            bursts: vec![LoadBurst {
                during: (FAULT_START, back),
                factor: 0.02,
            }],
            ..Default::default()
        },
        CellStory {
            name: "refunds-flapping",
            about: "one refund server fails for two seconds of every ten",
            cell: CellSettings {
                rate_per_server: 10.0,
                ..refunds()
            },
            length: Duration::from_secs(40),
            faults: vec![CellFault {
                flapping: Some((Duration::from_secs(2), Duration::from_secs(8))),
                ..fault_of_one(errors)
            }],
            expected: vec![
                ejected("refunds-03", FAULT_START),
                ejected("refunds-03", FAULT_START + Duration::from_secs(10)),
                (
                    Duration::from_secs(40),
                    ExpectedOutcome::EjectionAllowed {
                        server: "refunds-03".to_owned(),
                        since: FAULT_START.as_micros() as u64,
                    },
                ),
            ],
            ..Default::default()
        },
        CellStory {
            name: "licensing-mended",
            about: "a licensing server fails for four seconds, is mended, and comes back by a trial",
            cell: CellSettings {
                rate_per_server: 10.0,
                ..licensing()
            },
            length: Duration::from_secs(32),
            faults: vec![CellFault {
                during: (FAULT_START, FAULT_START + Duration::from_secs(4)),
                ..fault_of_one(errors)
            }],
            expected: vec![
                ejected("licensing-03", FAULT_START),
                (
                    Duration::from_secs(32),
                    ExpectedOutcome::Readmitted {
                        server: "licensing-03".to_owned(),
                        since: FAULT_START.as_micros() as u64,
                    },
                ),
            ],
            ..Default::default()
        },
    ]
}

fn record(story: &CellStory) -> RecordedTrace {
    let mut workload = CellWorkload::new(
        story.cell.clone(),
        story.faults.clone(),
        story.bursts.clone(),
    );
    let names = workload.names().clone();
    let sources = names.hosts.iter().zip(&names.zones);
    let mut recorder = TraceRecorder::new(&TraceHeader {
        trace: 1,
        name: story.name.to_owned(),
        about: story.about.to_owned(),
        seed: Some(story.cell.seed),
        policy: TracePolicy::Detector(Default::default()),
        sources: sources
            .map(|(host, zone)| TraceSource {
                host: host.clone(),
                zone: zone.clone(),
            })
            .collect(),
    });
    let start = MonotonicTime::ZERO;
    let mut now = start;
    while now.since(start) < story.length {
        now = now + TICK;
        while let Some(ended) = workload.next_before(now) {
            let at = MonotonicTime::from_micros(ended.at_us);
            recorder.record_sample(at, CellWorkload::sample(&names, &ended));
        }
        let is_whole_second = now.as_micros().is_multiple_of(1_000_000);
        if story.probes && is_whole_second {
            record_probes(&mut recorder, now, &names.servers);
        }
        recorder.record(now, TraceEvent::Judge {});
        for (by, outcome) in &story.expected {
            if start + *by == now {
                recorder.expect(now, outcome.clone());
            }
        }
    }
    RecordedTrace {
        file: format!("{}.jsonl", story.name),
        text: recorder.close(),
    }
}

fn record_probes(recorder: &mut TraceRecorder, now: MonotonicTime, servers: &[String]) {
    const PROBE_TIME: Duration = Duration::from_millis(25);
    for server in servers {
        let sample = OutcomeSample {
            server,
            source: "h00",
            outcome: OutcomeKind::Answered,
            header: PROBE_TIME,
            total: PROBE_TIME,
            is_probe: true,
        };
        recorder.record_sample(now, sample);
    }
}

/// A request's tries, and what must be told by what could have run.
fn retry_trace() -> RecordedTrace {
    const ENDS: [AttemptFailure; 8] = [
        AttemptFailure::NothingSent,
        AttemptFailure::ServerNotRun,
        AttemptFailure::Broken,
        AttemptFailure::TimedOut,
        AttemptFailure::WrongAnswer,
        AttemptFailure::CutAnswer,
        AttemptFailure::TooLarge,
        AttemptFailure::NoSlot,
    ];
    let mut recorder = TraceRecorder::new(&TraceHeader {
        trace: 1,
        name: "retries".to_owned(),
        about: "every end of a try, for both kinds, early and late, after tries that may have run"
            .to_owned(),
        seed: None,
        policy: TracePolicy::Retries(Default::default()),
        sources: Vec::new(),
    });
    let deadline = MonotonicTime::from_micros(1_000_000);
    for at in [500_000, 1_000_000] {
        for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
            for attempts in [1, 3] {
                for may_have_run in [false, true] {
                    for end in ENDS {
                        let state = RetryState {
                            kind,
                            attempts,
                            deadline,
                            has_body: true,
                            may_have_run,
                        };
                        let may_repeat = at < 1_000_000
                            && attempts < 3
                            && !matches!(end, AttemptFailure::NoSlot | AttemptFailure::TooLarge);
                        let decision = stated_decision(&state, end, may_repeat);
                        let line = RetryRecord {
                            state,
                            end,
                            decision: decision.to_owned(),
                        };
                        let at = MonotonicTime::from_micros(at);
                        recorder.record(at, TraceEvent::Try(Box::new(line)));
                    }
                }
            }
        }
    }
    RecordedTrace {
        file: "retries.jsonl".to_owned(),
        text: recorder.close(),
    }
}

/// What must come of a try, written out apart from the policy.
fn stated_decision(state: &RetryState, end: AttemptFailure, may_repeat: bool) -> &'static str {
    let surely_not_run = match end {
        AttemptFailure::NothingSent | AttemptFailure::ServerNotRun | AttemptFailure::NoSlot => {
            !state.may_have_run
        }
        AttemptFailure::Broken
        | AttemptFailure::TimedOut
        | AttemptFailure::WrongAnswer
        | AttemptFailure::CutAnswer
        | AttemptFailure::TooLarge => false,
    };
    match (surely_not_run, state.kind) {
        (true, _) if may_repeat => "again",
        (true, _) => "not-run",
        (false, RequestKind::Idempotent) if may_repeat => "again",
        (false, _) => "unknown",
    }
}
