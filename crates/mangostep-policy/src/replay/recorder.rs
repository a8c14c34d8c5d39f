use crate::{
    MonotonicTime, OutcomeSample,
    replay::{
        ExpectedOutcome, OutcomeRecord, TraceEvent, TraceHeader, TraceLine, trace::TRACE_VERSION,
    },
};

/// Writes a trace as JSON lines, in memory.
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
///     about: "one evaluation".to_owned(),
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
    /// Starts a trace with its header line.
    ///
    /// The version in `header` is replaced by the current format version.
    pub fn new(header: &TraceHeader) -> Self {
        let header = TraceHeader {
            trace: TRACE_VERSION,
            ..header.clone()
        };
        let mut text = serde_json::to_string(&header).unwrap_or_default();
        text.push('\n');
        TraceRecorder { text }
    }

    /// Appends a line with one event.
    ///
    /// [`Trace::parse`](crate::replay::Trace::parse) rejects a trace whose
    /// times decrease.
    pub fn record(&mut self, at: MonotonicTime, event: TraceEvent) {
        let line = TraceLine { at, event };
        // Serialization cannot fail: lines contain only numbers, strings and
        // lists.
        let line = serde_json::to_string(&line).unwrap_or_default();
        self.text.push_str(&line);
        self.text.push('\n');
    }

    /// Appends an outcome that a detector observed; `at` is the time at which
    /// the request or probe ended.
    pub fn record_sample(&mut self, at: MonotonicTime, sample: OutcomeSample<'_>) {
        let micros =
            |duration: std::time::Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
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

    /// Appends an outcome that a replay must show by time `at`.
    pub fn expect(&mut self, at: MonotonicTime, outcome: ExpectedOutcome) {
        self.record(at, TraceEvent::Expect(outcome));
    }

    /// Removes and returns the lines written since the previous call.
    pub fn take_lines(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Ends the trace and returns the lines that
    /// [`take_lines`](Self::take_lines) has not returned.
    pub fn close(self) -> String {
        self.text
    }
}
