use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A Lamport clock, whose timestamps order causes before their effects.
#[derive(Debug, Default)]
pub struct LogicalClock(AtomicU64);

impl LogicalClock {
    /// Advances the clock and returns the new timestamp.
    pub fn tick(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Advances the clock to a timestamp received in a message, if that is
    /// later.
    pub fn observe(&self, timestamp: u64) {
        self.0.fetch_max(timestamp, Ordering::Relaxed);
    }

    /// Returns the current timestamp without advancing the clock.
    pub fn now(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// An event in the timeline of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Host that recorded the event.
    pub host: String,
    /// Identifies one run of the process on that host.
    pub incarnation: u64,
    /// Position among the events of the incarnation, starting at 1.
    pub sequence: u64,
    /// Lamport timestamp.
    pub logical: u64,
    /// Microseconds since the process started.
    pub monotonic_us: u64,
    /// Microseconds since the Unix epoch, by the recording host's wall clock.
    pub wall_us: i64,
    /// Type of the event, such as `lease-lapsed`.
    pub name: String,
    /// Details by field name; which fields exist depends on `name`.
    pub fields: BTreeMap<String, String>,
}

/// Settings of an [`EventRecorder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecorderSettings {
    /// Maximum number of stored events. The oldest are dropped first, and
    /// [`EventPage::missed`] counts them.
    pub capacity: usize,
}

impl Default for RecorderSettings {
    fn default() -> Self {
        RecorderSettings { capacity: 8192 }
    }
}

/// Events after a given sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Number of events after the sequence number that are no longer stored.
    pub missed: u64,
    /// Events by ascending sequence number.
    pub events: Vec<TimelineEvent>,
}

/// Stores the latest events of a process in memory.
#[derive(Debug)]
pub struct EventRecorder {
    host: String,
    incarnation: u64,
    settings: RecorderSettings,
    started: Instant,
    clock: LogicalClock,
    ring: Mutex<EventRing>,
}

#[derive(Debug, Default)]
struct EventRing {
    last_sequence: u64,
    events: VecDeque<TimelineEvent>,
}

impl EventRecorder {
    /// Creates an empty recorder; its monotonic time starts now.
    pub fn new(host: &str, incarnation: u64, settings: RecorderSettings) -> Self {
        EventRecorder {
            host: host.to_owned(),
            incarnation,
            settings,
            started: Instant::now(),
            clock: LogicalClock::default(),
            ring: Mutex::default(),
        }
    }

    /// Returns the clock that is shared by events and messages to peers.
    pub fn clock(&self) -> &LogicalClock {
        &self.clock
    }

    /// Records an event with the current time and the next Lamport timestamp.
    pub fn record(&self, name: &str, fields: &[(&str, &str)]) {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.last_sequence += 1;
        let event = TimelineEvent {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: ring.last_sequence,
            logical: self.clock.tick(),
            monotonic_us: u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX),
            wall_us: i64::try_from(wall.as_micros()).unwrap_or(i64::MAX),
            name: name.to_owned(),
            fields: fields
                .iter()
                .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
                .collect(),
        };
        if ring.events.len() >= self.settings.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Returns at most `limit` events after a sequence number.
    pub fn events_after(&self, sequence: u64, limit: usize) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let first = ring
            .events
            .front()
            .map_or(ring.last_sequence + 1, |event| event.sequence);
        let missed = first.saturating_sub(sequence + 1);
        let later = ring.events.iter().filter(|event| event.sequence > sequence);
        EventPage {
            missed,
            events: later.take(limit).cloned().collect(),
        }
    }
}
