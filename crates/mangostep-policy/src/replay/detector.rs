use std::time::Duration;

use crate::{
    DetectionSettings, GrayDetector, MonotonicTime, OutcomeSample, ServerAction, ServerDetector,
    ServerVerdict,
    replay::{Disagreement, ExpectedOutcome, OutcomeRecord, Trace, TraceEvent},
};

/// A verdict and the time of its evaluation.
type TimedVerdict = (MonotonicTime, ServerVerdict);

/// Runs the trace of a detector and returns the first disagreement.
pub(crate) fn replay(trace: &Trace, settings: &DetectionSettings) -> Option<Disagreement> {
    let mut detector = GrayDetector::new(settings.clone());
    for source in &trace.header().sources {
        detector.set_source_zone(&source.host, &source.zone);
    }
    let mut verdicts_so_far: Vec<TimedVerdict> = Vec::new();
    for (line, entry) in trace.numbered() {
        let at = entry.at;
        let disagreement = |(expected, got)| Disagreement {
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
                if let Some(mismatch) = unexpected_ejection(trace, at, &verdicts) {
                    return Some(disagreement(mismatch));
                }
                verdicts_so_far.extend(verdicts.into_iter().map(|verdict| (at, verdict)));
            }
            TraceEvent::Expect(outcome) => {
                if let Some(mismatch) = missing_verdict(outcome, &verdicts_so_far) {
                    return Some(disagreement(mismatch));
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

/// Returns the expected and the actual behaviour for an ejection that no line
/// of the trace expects or allows.
fn unexpected_ejection(
    trace: &Trace,
    at: MonotonicTime,
    verdicts: &[ServerVerdict],
) -> Option<(String, String)> {
    let is_expected = |ejection: &ServerVerdict| {
        trace.numbered().any(|(_, line)| match &line.event {
            TraceEvent::Expect(
                ExpectedOutcome::Ejected { server, since }
                | ExpectedOutcome::EjectionAllowed { server, since },
            ) => *server == ejection.server && at.as_micros() >= *since && at <= line.at,
            _ => false,
        })
    };
    let ejections = verdicts
        .iter()
        .filter(|verdict| matches!(verdict.action, ServerAction::Eject { .. }));
    let unexpected = ejections
        .into_iter()
        .find(|verdict| !is_expected(verdict))?;
    let got = format!("{} ejected for {}", unexpected.server, unexpected.reason);
    Some((format!("no ejection of {}", unexpected.server), got))
}

/// Returns the expected and the actual verdict if an expected outcome has not
/// come about.
fn missing_verdict(
    outcome: &ExpectedOutcome,
    verdicts: &[TimedVerdict],
) -> Option<(String, String)> {
    let (name, since, verb) = match outcome {
        ExpectedOutcome::Ejected { server, since } => (server, *since, "ejected"),
        ExpectedOutcome::Readmitted { server, since } => (server, *since, "readmitted"),
        ExpectedOutcome::EjectionAllowed { .. } => return None,
    };
    let is_match = |(at, verdict): &TimedVerdict| {
        let is_expected_action = match outcome {
            ExpectedOutcome::Ejected { .. } => matches!(verdict.action, ServerAction::Eject { .. }),
            _ => verdict.action == ServerAction::Readmit,
        };
        is_expected_action && verdict.server == *name && at.as_micros() >= since
    };
    if verdicts.iter().any(is_match) {
        return None;
    }
    let latest = verdicts
        .iter()
        .rfind(|(_, verdict)| verdict.server == *name);
    let got = match latest {
        Some((at, verdict)) => {
            format!("last verdict {:?} at {} us", verdict.action, at.as_micros())
        }
        None => "no verdict".to_owned(),
    };
    Some((format!("{name} {verb} from {since} us on"), got))
}
