use crate::{
    MonotonicTime, OutcomeSample,
    replay::{
        ExpectedOutcome, OutcomeRecord, TraceEvent, TraceHeader, TraceLine, trace::TRACE_VERSION,
    },
};

/// Writes a trace line by line.
///
/// # Example
///
/// ```
/// use mangostep_policy::{
///     MonotonicTime,
///     replay::{Trace, TraceEvent, TraceHeader, TracePolicy, TraceRecorder},
/// };
///
/// let mut recorder = TraceRecorder::new(&TraceHeader {
///     trace: 1,
///     name: "short".to_owned(),
///     about: "one look".to_owned(),
///     seed: None,
///     policy: TracePolicy::Detector(Default::default()),
///     sources: Vec::new(),
/// });
/// recorder.record(MonotonicTime::ZERO, TraceEvent::Judge {});
/// let trace = Trace::parse("short.jsonl", &recorder.close())?;
/// assert_eq!(trace.header().name, "short");
/// # Ok::<(), mangostep_policy::replay::TraceError>(())
/// ```
#[derive(Clone, Debug)]
pub struct TraceRecorder {
    text: String,
}

impl TraceRecorder {
    /// Starts a trace; the version of the format is filled in.
    pub fn new(header: &TraceHeader) -> Self {
        let header = TraceHeader {
            trace: TRACE_VERSION,
            ..header.clone()
        };
        let mut text = serde_json::to_string(&header).unwrap_or_default();
        text.push('\n');
        TraceRecorder { text }
    }

    /// Writes one event.
    pub fn record(&mut self, at: MonotonicTime, event: TraceEvent) {
        let line = TraceLine { at, event };
        // Lines hold only numbers, strings and lists, which always have a
        // JSON form.
        let line = serde_json::to_string(&line).unwrap_or_default();
        self.text.push_str(&line);
        self.text.push('\n');
    }

    /// Writes an outcome that a detector took.
    pub fn record_sample(&mut self, at: MonotonicTime, sample: OutcomeSample<'_>) {
        let micros =
            |span: std::time::Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let ended = OutcomeRecord(
            sample.server.to_owned(),
            sample.source.to_owned(),
            sample.outcome,
            micros(sample.header),
            micros(sample.total),
        );
        let event = match sample.is_probe {
            true => TraceEvent::Probed(ended),
            false => TraceEvent::Ended(ended),
        };
        self.record(at, event);
    }

    /// States an outcome.
    pub fn expect(&mut self, at: MonotonicTime, outcome: ExpectedOutcome) {
        self.record(at, TraceEvent::Expect(outcome));
    }

    /// The lines written since the start or the last call.
    pub fn take_lines(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Ends the trace and returns what was not taken yet.
    pub fn close(self) -> String {
        self.text
    }
}
