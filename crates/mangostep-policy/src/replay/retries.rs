use crate::{
    RetryPolicy, RetrySettings,
    replay::{Disagreement, Trace, TraceEvent},
};

/// Runs the trace of a retry policy and returns the first disagreement.
pub(crate) fn replay(trace: &Trace, settings: &RetrySettings) -> Option<Disagreement> {
    let policy = RetryPolicy::new(settings.clone());
    for (line, entry) in trace.numbered() {
        let TraceEvent::Try(record) = &entry.event else {
            continue;
        };
        let got = policy.decide(entry.at, &record.state, record.end).name();
        if got != record.decision {
            return Some(Disagreement {
                line,
                at: entry.at,
                expected: record.decision.clone(),
                got: got.to_owned(),
            });
        }
    }
    None
}
