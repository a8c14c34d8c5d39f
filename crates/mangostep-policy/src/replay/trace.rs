use serde::{Deserialize, Serialize};

use crate::{
    AttemptFailure, DetectionSettings, MonotonicTime, OutcomeKind, RetrySettings, RetryState,
    replay::{ReplayReport, TraceError, detector, retries},
};

/// The version of the trace format that this build reads and writes.
pub(crate) const TRACE_VERSION: u32 = 1;

/// The policy that a trace drives, with its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceMachine {
    /// A [`GrayDetector`](crate::GrayDetector).
    Detector(Box<DetectionSettings>),
    /// A [`RetryPolicy`](crate::RetryPolicy).
    Retries(RetrySettings),
}

/// An entry host that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSource {
    /// Name of the entry host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
}

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Version of the format.
    pub trace: u32,
    /// Name of the trace.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Seed that it was drawn from, when it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// The policy and its settings.
    pub machine: TraceMachine,
    /// Entry hosts whose availability zone is known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sources: Vec<TraceSource>,
}

/// A request that ended: server, source, outcome, time to the head and to
/// the end in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedLine(pub String, pub String, pub OutcomeKind, pub u64, pub u64);

/// A try that gave no answer, and what the policy should do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLine {
    /// The request so far.
    pub state: RetryState,
    /// How the try ended.
    pub end: AttemptFailure,
    /// What must come of it: `again`, `not-run` or `unknown`.
    pub decision: String,
}

/// What must have come about by the time of its line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatedOutcome {
    /// A server was ejected. No server may be ejected unless a line says so.
    Ejected {
        /// Its name.
        server: String,
        /// Earliest time, in microseconds.
        since: u64,
    },
    /// Ejections of a server were right, and were not needed.
    EjectionAllowed {
        /// Its name.
        server: String,
        /// Earliest time, in microseconds.
        since: u64,
    },
    /// A server came back into full use.
    Readmitted {
        /// Its name.
        server: String,
        /// Earliest time, in microseconds.
        since: u64,
    },
}

/// What a line of a trace tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEvent {
    /// A request ended at its server.
    Ended(EndedLine),
    /// A probe ended at its server.
    Probed(EndedLine),
    /// The detector is asked for its verdicts.
    Judge {},
    /// A server left the directory.
    Forget(String),
    /// A try ended without an answer.
    Try(Box<RetryLine>),
    /// A stated outcome.
    Expect(StatedOutcome),
}

/// A line of a trace after the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// Time of the event, in microseconds.
    pub at: MonotonicTime,
    /// The event.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// A recorded trace.
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
    /// Reads a trace; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails when a line is malformed, its time is before that of the line
    /// above, or its event does not belong to the trace's machine.
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
            let message = format!("version {} of the format is not known", header.trace);
            return Err(error(1, message));
        }
        let mut lines: Vec<TraceLine> = Vec::new();
        for (place, text) in numbered {
            let number = place + 1;
            let line: TraceLine =
                serde_json::from_str(text).map_err(|err| error(number, err.to_string()))?;
            check_line(&header.machine, lines.last(), &line)
                .map_err(|message| error(number, message.to_owned()))?;
            lines.push(line);
        }
        Ok(Trace {
            file: file.to_owned(),
            header,
            lines,
        })
    }

    /// The file that the trace was read from.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The first line.
    pub fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// The lines after the first, with their numbers.
    pub(crate) fn numbered(&self) -> impl Iterator<Item = (usize, &TraceLine)> {
        let first = 2;
        self.lines
            .iter()
            .enumerate()
            .map(move |(place, line)| (place + first, line))
    }

    /// Runs the events and compares with the stated outcomes.
    pub fn replay(&self) -> ReplayReport {
        let disagreement = match &self.header.machine {
            TraceMachine::Detector(settings) => detector::replay(self, settings),
            TraceMachine::Retries(settings) => retries::replay(self, settings),
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
    machine: &TraceMachine,
    before: Option<&TraceLine>,
    line: &TraceLine,
) -> Result<(), &'static str> {
    if before.is_some_and(|before| before.at > line.at) {
        return Err("time runs backwards");
    }
    let is_retry = matches!(line.event, TraceEvent::Try(_));
    match machine {
        TraceMachine::Detector(_) if is_retry => Err("a detector takes no `try`"),
        TraceMachine::Retries(_) if !is_retry => Err("a retry policy takes only `try`"),
        _ => Ok(()),
    }
}
