use std::time::Duration;

use mangostep_policy::{
    DetectionSettings, GrayDetector, MonotonicTime, OutcomeKind, ServerAction, ServerDetector,
    ServerVerdict,
};

use crate::workload::{CellFault, CellNames, CellWorkload, EndedRequest, FaultMode, LoadBurst};

/// Time between two looks at a detector's verdicts.
const TICK: Duration = Duration::from_millis(250);

/// One step of a workload that a detector looks on.
#[derive(Clone, Debug)]
pub enum CellStep<'s> {
    /// A request ended.
    Ended(&'s EndedRequest),
    /// The detector was asked for its verdicts.
    Judged(MonotonicTime, &'s [ServerVerdict]),
}

/// Runs a workload whose work follows a detector's verdicts.
pub fn drive<D: ServerDetector>(
    detector: &mut D,
    workload: &mut CellWorkload,
    length: Duration,
    mut look_on: impl FnMut(&CellNames, CellStep<'_>),
) {
    let names = workload.names().clone();
    let mut now = MonotonicTime::ZERO;
    while now.since(MonotonicTime::ZERO) < length {
        now = now + TICK;
        while let Some(ended) = workload.next_before(now) {
            let at = MonotonicTime::from_micros(ended.at_us);
            detector.observe(at, CellWorkload::sample(&names, &ended));
            look_on(&names, CellStep::Ended(&ended));
        }
        let mut verdicts = Vec::new();
        detector.verdicts(now, &mut verdicts);
        for verdict in &verdicts {
            workload.set_weight(&verdict.server, weight_of(verdict.action));
        }
        look_on(&names, CellStep::Judged(now, &verdicts));
    }
}

fn weight_of(action: ServerAction) -> f64 {
    match action {
        ServerAction::Eject { .. } => 0.0,
        ServerAction::Suspect { weight } => weight,
        ServerAction::Readmit => 1.0,
    }
}

/// Runs a workload and returns the verdicts with their times.
pub fn verdicts_of<D: ServerDetector>(
    detector: &mut D,
    workload: &mut CellWorkload,
    length: Duration,
) -> Vec<(MonotonicTime, ServerVerdict)> {
    let mut all = Vec::new();
    drive(detector, workload, length, |_, step| {
        if let CellStep::Judged(now, verdicts) = step {
            all.extend(verdicts.iter().map(|verdict| (now, verdict.clone())));
        }
    });
    all
}

/// The ejections among verdicts.
pub fn ejections(
    verdicts: &[(MonotonicTime, ServerVerdict)],
) -> Vec<(MonotonicTime, &ServerVerdict)> {
    verdicts
        .iter()
        .filter(|(_, verdict)| matches!(verdict.action, ServerAction::Eject { .. }))
        .map(|(at, verdict)| (*at, verdict))
        .collect()
}

/// A detector that knows the zones of a workload's entry hosts.
pub fn gray_detector(workload: &CellWorkload, settings: DetectionSettings) -> GrayDetector {
    let mut detector = GrayDetector::new(settings);
    let names = workload.names();
    for (host, zone) in names.hosts.iter().zip(&names.zones) {
        detector.set_source_zone(host, zone);
    }
    detector
}

/// The ways in which one server fails while others don't.
pub fn gray_modes() -> Vec<(&'static str, FaultMode)> {
    use OutcomeKind::{ConnectFailed, CutAnswer, Refused, ServerError, WrongAnswer};
    vec![
        ("errors, all", FaultMode::Outcome(ServerError, 1.0)),
        ("errors, 30%", FaultMode::Outcome(ServerError, 0.3)),
        ("refusals, all", FaultMode::Outcome(Refused, 1.0)),
        ("connect failures", FaultMode::Outcome(ConnectFailed, 1.0)),
        ("cut answers, 30%", FaultMode::Outcome(CutAnswer, 0.3)),
        ("wrong ids, 20%", FaultMode::Outcome(WrongAnswer, 0.2)),
        ("hangs", FaultMode::Hang),
        ("slow, 10 times", FaultMode::Slow(10.0)),
        ("slow, 50 times", FaultMode::Slow(50.0)),
    ]
}

/// A burst of load in every minute of ten.
pub fn noisy_bursts() -> Vec<LoadBurst> {
    let start = |turn: u64| Duration::from_secs(30 + 60 * turn);
    (0..10)
        .map(|turn| LoadBurst {
            during: (start(turn), start(turn) + Duration::from_secs(6)),
            factor: 3.0,
        })
        .collect()
}

/// Slower and refused answers of all servers in each burst, and pauses of
/// single servers.
pub fn noisy_faults(servers: usize) -> Vec<CellFault> {
    let bursts = noisy_bursts();
    let in_burst = |mode| {
        bursts.iter().map(move |burst| CellFault {
            mode,
            during: burst.during,
            ..Default::default()
        })
    };
    let slow = in_burst(FaultMode::Slow(3.0));
    let refusing = in_burst(FaultMode::Outcome(OutcomeKind::Refused, 0.05));
    let pauses = (0..40_u64).map(|turn| {
        let start = Duration::from_millis(7_000 + 14_300 * turn);
        CellFault {
            mode: FaultMode::Slow(20.0),
            server: Some(turn as usize * 7 % servers),
            during: (start, start + Duration::from_millis(300)),
            ..Default::default()
        }
    });
    slow.chain(refusing).chain(pauses).collect()
}
