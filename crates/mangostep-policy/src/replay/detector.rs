use std::time::Duration;

use crate::{
    DetectionSettings, GrayDetector, MonotonicTime, OutcomeSample, ServerAction, ServerDetector,
    ServerVerdict,
    replay::{Disagreement, ExpectedOutcome, OutcomeRecord, Trace, TraceEvent},
};

/// A verdict and when it was given.
type TimedVerdict = (MonotonicTime, ServerVerdict);

/// Replays a detector's trace up to the first disagreement.
pub(crate) fn replay(trace: &Trace, settings: &DetectionSettings) -> Option<Disagreement> {
    let mut detector = GrayDetector::new(settings.clone());
    for source in &trace.header().sources {
        detector.set_source_zone(&source.host, &source.zone);
    }
    let mut given: Vec<TimedVerdict> = Vec::new();
    for (line, entry) in trace.numbered() {
        let at = entry.at;
        let disagree = |(expected, got)| Disagreement {
            line,
            at,
            expected,
            got,
        };
        match &entry.event {
            TraceEvent::Ended(ended) => detector.observe(at, sample(ended, false)),
            TraceEvent::Probed(ended) => detector.observe(at, sample(ended, true)),
            TraceEvent::Forget(server) => detector.forget(server),
            TraceEvent::Judge {} => {
                let mut verdicts = Vec::new();
                detector.verdicts(at, &mut verdicts);
                if let Some(found) = unstated_ejection(trace, at, &verdicts) {
                    return Some(disagree(found));
                }
                given.extend(verdicts.into_iter().map(|verdict| (at, verdict)));
            }
            TraceEvent::Expect(outcome) => {
                if let Some(found) = missing(outcome, &given) {
                    return Some(disagree(found));
                }
            }
            TraceEvent::Try(_) => {}
        }
    }
    None
}

fn sample(ended: &OutcomeRecord, is_probe: bool) -> OutcomeSample<'_> {
    OutcomeSample {
        server: &ended.0,
        source: &ended.1,
        outcome: ended.2,
        header: Duration::from_micros(ended.3),
        total: Duration::from_micros(ended.4),
        is_probe,
    }
}

/// An ejection that no line of the trace states.
fn unstated_ejection(
    trace: &Trace,
    at: MonotonicTime,
    verdicts: &[ServerVerdict],
) -> Option<(String, String)> {
    let is_stated = |ejected: &ServerVerdict| {
        trace.numbered().any(|(_, line)| match &line.event {
            TraceEvent::Expect(
                ExpectedOutcome::Ejected { server, since }
                | ExpectedOutcome::EjectionAllowed { server, since },
            ) => *server == ejected.server && at.as_micros() >= *since && at <= line.at,
            _ => false,
        })
    };
    let ejections = verdicts
        .iter()
        .filter(|verdict| matches!(verdict.action, ServerAction::Eject { .. }));
    let unstated = ejections.into_iter().find(|verdict| !is_stated(verdict))?;
    let got = format!("{} ejected for {}", unstated.server, unstated.reason);
    Some((format!("no ejection of {}", unstated.server), got))
}

/// What a stated outcome says and what came instead.
fn missing(outcome: &ExpectedOutcome, given: &[TimedVerdict]) -> Option<(String, String)> {
    let (name, since, verb) = match outcome {
        ExpectedOutcome::Ejected { server, since } => (server, *since, "ejected"),
        ExpectedOutcome::Readmitted { server, since } => (server, *since, "readmitted"),
        ExpectedOutcome::EjectionAllowed { .. } => return None,
    };
    let is_met = |(at, verdict): &TimedVerdict| {
        let is_kind = match outcome {
            ExpectedOutcome::Ejected { .. } => matches!(verdict.action, ServerAction::Eject { .. }),
            _ => verdict.action == ServerAction::Readmit,
        };
        is_kind && verdict.server == *name && at.as_micros() >= since
    };
    if given.iter().any(is_met) {
        return None;
    }
    let own = given.iter().rfind(|(_, verdict)| verdict.server == *name);
    let got = match own {
        Some((at, verdict)) => format!("{:?} at {} us last", verdict.action, at.as_micros()),
        None => "no verdict".to_owned(),
    };
    Some((format!("{name} {verb} from {since} us on"), got))
}
