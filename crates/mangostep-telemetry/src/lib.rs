//! Logs, counters and time-line events of an entry host.
//!
//! # Parts
//!
//! * [`open_log`] sets up structured log lines on standard error.
//! * [`LineLog`] writes log lines within [`LineBounds`] to standard output and
//!   never blocks; [`boot_time_micros`] reads the clock that counts suspension.
//! * [`EventRecorder`] keeps the latest time-line events in a bounded ring.
//! * [`HostCounters`] counts by OpenTelemetry, with bounded labels.
//! * [`StatusBoard`] holds what `mangostep status` shows.
//! * [`LogicalClock`] stamps events so that causes sort before effects.
//!
//! # Example
//!
//! ```
//! use mangostep_telemetry::{EventRecorder, RecorderSettings};
//!
//! let recorder = EventRecorder::new("h1", 7, RecorderSettings { capacity: 2, ..Default::default() });
//! recorder.record("version-in-force", &[("version", "4")]);
//! assert_eq!(recorder.since(0, 10).events.len(), 1);
//! ```

mod boot_time;
mod counters;
mod error;
mod event;
mod line_budget;
mod line_log;
mod log;
mod status;

pub use crate::{
    boot_time::boot_time_micros,
    counters::{CounterLabel, HostCounters},
    error::TelemetryError,
    event::{EventPage, EventRecorder, LogicalClock, RecorderSettings, TimelineEvent},
    line_budget::LineBounds,
    line_log::{LineLog, LineLogSettings},
    log::open_log,
    status::StatusBoard,
};
