//! Logs, metrics and timeline events of an entry host.
//!
//! # Parts
//!
//! * [`open_log`] sets up structured log lines on standard error.
//! * [`LineLog`] writes JSON log lines to standard output, limited in volume
//!   by [`LineBounds`], without blocking its callers.
//! * [`boot_time_micros`] reads the clock that includes suspended time.
//! * [`EventRecorder`] keeps the latest timeline events in a bounded ring.
//! * [`HostCounters`] are the OpenTelemetry metrics, with bounded label
//!   values.
//! * [`StatusBoard`] holds the data that `mangostep status` shows.
//! * [`LogicalClock`] gives events timestamps that sort causes before effects.
//!
//! # Example
//!
//! ```
//! use mangostep_telemetry::{EventRecorder, RecorderSettings};
//!
//! let recorder = EventRecorder::new("h1", 7, RecorderSettings { capacity: 2, ..Default::default() });
//! recorder.record("version-in-force", &[("version", "4")]);
//! assert_eq!(recorder.events_after(0, 10).events.len(), 1);
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
