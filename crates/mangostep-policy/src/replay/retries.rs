use crate::{
    RetryPolicy, RetrySettings,
    replay::{Disagreement, Trace, TraceEvent},
};

/// Replays a retry policy's trace up to the first disagreement.
pub(crate) fn replay(trace: &Trace, settings: &RetrySettings) -> Option<Disagreement> {
    let policy = RetryPolicy::new(settings.clone());
    for (line, entry) in trace.numbered() {
        let TraceEvent::Try(tried) = &entry.event else {
            continue;
        };
        let got = policy.decide(entry.at, &tried.state, tried.end).name();
        if got != tried.decision {
            return Some(Disagreement {
                line,
                at: entry.at,
                expected: tried.decision.clone(),
                got: got.to_owned(),
            });
        }
    }
    None
}
