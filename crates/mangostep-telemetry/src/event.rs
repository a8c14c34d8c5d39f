use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A Lamport clock, whose stamps sort causes before their effects.
#[derive(Debug, Default)]
pub struct LogicalClock(AtomicU64);

impl LogicalClock {
    /// Takes the next stamp.
    pub fn tick(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes note of a stamp that a message brought.
    pub fn observe(&self, stamp: u64) {
        self.0.fetch_max(stamp, Ordering::Relaxed);
    }

    /// The latest stamp.
    pub fn now(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Host that recorded it.
    pub host: String,
    /// Start of the process on that host.
    pub incarnation: u64,
    /// Place among the events of the incarnation, from 1.
    pub sequence: u64,
    /// Lamport stamp.
    pub logical: u64,
    /// Microseconds since the process started.
    pub monotonic_us: u64,
    /// Microseconds since 1970, by the host's own wall clock.
    pub wall_us: i64,
    /// What happened, such as `lease-lapsed`.
    pub name: String,
    /// Details by field name.
    pub fields: BTreeMap<String, String>,
}

/// Sizes of an [`EventRecorder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecorderSettings {
    /// Events kept; older ones are dropped and counted.
    pub capacity: usize,
}

impl Default for RecorderSettings {
    fn default() -> Self {
        RecorderSettings { capacity: 8192 }
    }
}

/// Events after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Events that were dropped before they were fetched.
    pub missed: u64,
    /// Events in the order of their sequence.
    pub events: Vec<TimelineEvent>,
}

/// Keeps the latest events of a process.
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
    /// Makes an empty recorder.
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

    /// The clock that stamps messages and events.
    pub fn clock(&self) -> &LogicalClock {
        &self.clock
    }

    /// Records an event with details.
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

    /// Returns at most `most` events after a sequence number.
    pub fn since(&self, sequence: u64, most: usize) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let first = ring
            .events
            .front()
            .map_or(ring.last_sequence + 1, |event| event.sequence);
        let missed = first.saturating_sub(sequence + 1);
        let later = ring.events.iter().filter(|event| event.sequence > sequence);
        EventPage {
            missed,
            events: later.take(most).cloned().collect(),
        }
    }
}
