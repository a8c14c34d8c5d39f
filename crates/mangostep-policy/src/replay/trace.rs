use serde::{Deserialize, Serialize};

use crate::{
    AttemptFailure, DetectionSettings, MonotonicTime, OutcomeKind, RetrySettings, RetryState,
    replay::{ReplayReport, TraceError, detector, retries},
};

/// Version of the trace format that this build reads and writes.
pub(crate) const TRACE_VERSION: u32 = 1;

/// Policy under test in a trace, with its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TracePolicy {
    /// A [`GrayDetector`](crate::GrayDetector), driven by every event except
    /// [`TraceEvent::Try`].
    Detector(Box<DetectionSettings>),
    /// A [`RetryPolicy`](crate::RetryPolicy), driven by
    /// [`TraceEvent::Try`] only.
    Retries(RetrySettings),
}

/// An entry host whose requests are recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSource {
    /// Name of the entry host, as in [`OutcomeRecord`].
    pub host: String,
    /// Availability zone of the entry host.
    pub zone: String,
}

/// Header of a trace: the first line of its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Version of the trace format.
    pub trace: u32,
    /// Name of the trace, shown in reports.
    pub name: String,
    /// One-sentence description of the recorded situation.
    pub about: String,
    /// Seed of the generated workload; `None` if the trace was not generated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Policy under test; the `machine` field of the JSON line.
    #[serde(rename = "machine")]
    pub policy: TracePolicy,
    /// Entry hosts with a known zone; any other counts as a zone of its own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sources: Vec<TraceSource>,
}

/// A request or probe that ended: server, source (entry host), outcome, time
/// to the response header and time to the end, both in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord(pub String, pub String, pub OutcomeKind, pub u64, pub u64);

/// A failed attempt at a request, with the expected decision on a retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRecord {
    /// State of the request after the attempt.
    pub state: RetryState,
    /// Reason for which the attempt failed.
    pub end: AttemptFailure,
    /// Expected decision: `again`, `not-run` or `unknown`.
    pub decision: String,
}

/// An outcome that the policy must have reached by the time of its line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpectedOutcome {
    /// The server was ejected.
    ///
    /// An ejection that no line expects or allows is a disagreement.
    Ejected {
        /// Name of the server.
        server: String,
        /// Earliest time of the verdict, in microseconds.
        since: u64,
    },
    /// Ejections of the server are correct but not required.
    EjectionAllowed {
        /// Name of the server.
        server: String,
        /// Earliest time of the verdict, in microseconds.
        since: u64,
    },
    /// The server was readmitted to full use.
    Readmitted {
        /// Name of the server.
        server: String,
        /// Earliest time of the verdict, in microseconds.
        since: u64,
    },
}

/// Event in a line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEvent {
    /// A request to a server ended.
    Ended(OutcomeRecord),
    /// A probe of a server ended.
    Probed(OutcomeRecord),
    /// The detector evaluated the cell and returned its verdicts.
    Judge {},
    /// A server was removed from the directory.
    Forget(String),
    /// An attempt at a request failed.
    Try(Box<RetryRecord>),
    /// An expected outcome is checked.
    Expect(ExpectedOutcome),
}

/// A line of a trace after its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// Time of the event, in microseconds; never before the preceding line.
    pub at: MonotonicTime,
    /// Event at that time, flattened into the JSON object of the line.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// A recorded trace: a header and a sequence of events, as JSON lines.
///
/// # Example
///
/// ```
/// use mangostep_policy::replay::Trace;
///
/// let text = r#"{"trace":1,"name":"quiet","about":"nothing fails","machine":{"detector":{}}}
/// {"at":1000,"ended":["s1","h1","answered",900,1000]}
/// {"at":250000,"judge":{}}
/// "#;
/// let trace = Trace::parse("quiet.jsonl", text)?;
/// assert!(trace.replay().disagreement.is_none());
/// # Ok::<(), mangostep_policy::replay::TraceError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    file: String,
    header: TraceHeader,
    lines: Vec<TraceLine>,
}

impl Trace {
    /// Parses the text of a trace; `file` is its name in errors and reports.
    ///
    /// # Errors
    ///
    /// Fails if the text is empty, the format version is unsupported, a line
    /// is malformed, the time of a line is before that of the preceding line,
    /// or the policy under test does not accept an event.
    pub fn parse(file: &str, text: &str) -> Result<Self, TraceError> {
        let error = |line: usize, message: String| TraceError {
            file: file.to_owned(),
            line,
            message,
        };
        let mut numbered = text.lines().enumerate();
        let (_, first) = numbered
            .next()
            .ok_or_else(|| error(1, "the file is empty".to_owned()))?;
        let header: TraceHeader =
            serde_json::from_str(first).map_err(|err| error(1, err.to_string()))?;
        if header.trace != TRACE_VERSION {
            let message = format!("unsupported trace format version {}", header.trace);
            return Err(error(1, message));
        }
        let mut lines: Vec<TraceLine> = Vec::new();
        for (index, text) in numbered {
            let number = index + 1;
            let line: TraceLine =
                serde_json::from_str(text).map_err(|err| error(number, err.to_string()))?;
            check_line(&header.policy, lines.last(), &line)
                .map_err(|message| error(number, message.to_owned()))?;
            lines.push(line);
        }
        Ok(Trace {
            file: file.to_owned(),
            header,
            lines,
        })
    }

    /// Name of the file, as passed to [`Trace::parse`].
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Header, with the policy under test and its settings.
    pub fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// Lines after the header, with their line numbers in the file.
    pub(crate) fn numbered(&self) -> impl Iterator<Item = (usize, &TraceLine)> {
        let first_number = 2;
        self.lines
            .iter()
            .enumerate()
            .map(move |(index, line)| (index + first_number, line))
    }

    /// Runs the events through the policy and compares its decisions with the
    /// expected outcomes, up to the first disagreement.
    pub fn replay(&self) -> ReplayReport {
        let disagreement = match &self.header.policy {
            TracePolicy::Detector(settings) => detector::replay(self, settings),
            TracePolicy::Retries(settings) => retries::replay(self, settings),
        };
        let is_expectation =
            |line: &&TraceLine| matches!(line.event, TraceEvent::Expect(_) | TraceEvent::Try(_));
        ReplayReport {
            file: self.file.clone(),
            name: self.header.name.clone(),
            events: self.lines.len(),
            outcomes: self.lines.iter().filter(is_expectation).count(),
            disagreement,
        }
    }
}

fn check_line(
    policy: &TracePolicy,
    previous: Option<&TraceLine>,
    line: &TraceLine,
) -> Result<(), &'static str> {
    if previous.is_some_and(|previous| previous.at > line.at) {
        return Err("the time is before that of the preceding line");
    }
    let is_retry = matches!(line.event, TraceEvent::Try(_));
    match policy {
        TracePolicy::Detector(_) if is_retry => Err("a detector does not accept `try` events"),
        TracePolicy::Retries(_) if !is_retry => Err("a retry policy accepts only `try` events"),
        _ => Ok(()),
    }
}
