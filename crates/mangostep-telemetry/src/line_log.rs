use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Bounds of a [`LineLog`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineLogSettings {
    /// Bytes of lines a second. A busy host writes some hundred lines a
    /// second of about 400 bytes.
    pub bytes_per_s: usize,
    /// Share of the bytes, in percent, that lines below the level of a
    /// warning may use, so that failures find room.
    pub info_percent: usize,
    /// Bytes that wait for the writer.
    pub waiting_bytes: usize,
    /// Time between two writes.
    pub write_pause: Duration,
}

impl Default for LineLogSettings {
    fn default() -> Self {
        LineLogSettings {
            bytes_per_s: 128 << 10,
            info_percent: 60,
            waiting_bytes: 256 << 10,
            write_pause: Duration::from_millis(200),
        }
    }
}

/// JSON lines on standard output, bounded in volume, that never block their
/// callers.
///
/// A line over the bounds is dropped and counted; the count follows as a line
/// of its own. A thread of its own writes, so that a full standard output
/// holds up nobody else.
#[derive(Debug)]
pub struct LineLog {
    shared: Arc<LineShared>,
}

#[derive(Debug)]
struct LineShared {
    settings: LineLogSettings,
    state: Mutex<LineState>,
    wake: Condvar,
}

#[derive(Debug)]
struct LineState {
    waiting: Vec<u8>,
    second: Instant,
    used: usize,
    dropped: u64,
    is_closed: bool,
    is_writing: bool,
}

impl LineLog {
    /// Starts the writer and returns a logger that names the host in each
    /// line.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn open(host: &str, settings: LineLogSettings) -> io::Result<(Self, Logger)> {
        let shared = Arc::new(LineShared {
            settings,
            state: Mutex::new(LineState {
                waiting: Vec::new(),
                second: Instant::now(),
                used: 0,
                dropped: 0,
                is_closed: false,
                is_writing: false,
            }),
            wake: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(&mut io::stdout().lock()))?;
        let drain = LineDrain(Arc::clone(&shared));
        let logger = Logger::root(drain, o!("host" => host.to_owned()));
        Ok((LineLog { shared }, logger))
    }

    /// Ends the writer once what waits is written, or after `wait`.
    pub fn close(self, wait: Duration) {
        let mut state = self.shared.lock();
        state.is_closed = true;
        self.shared.wake.notify_all();
        let deadline = Instant::now() + wait;
        while !state.waiting.is_empty() || state.is_writing {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.shared.wake.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

struct LineDrain(Arc<LineShared>);

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Vec::with_capacity(400);
        let json = slog_json::Json::default(&mut line);
        if json.log(record, values).is_ok() {
            self.0.push(&line, record.level());
        } else {
            self.0.lock().dropped += 1;
        }
        Ok(())
    }
}

impl LineShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8], level: Level) {
        let settings = &self.settings;
        let mut state = self.lock();
        if state.second.elapsed() >= Duration::from_secs(1) {
            state.second = Instant::now();
            state.used = 0;
            let dropped = std::mem::take(&mut state.dropped);
            if dropped > 0 {
                let note = format!("{{\"msg\":\"lines dropped\",\"count\":{dropped}}}\n");
                state.waiting.extend_from_slice(note.as_bytes());
            }
        }
        let bound = match level.is_at_least(Level::Warning) {
            true => settings.bytes_per_s,
            false => settings.bytes_per_s * settings.info_percent / 100,
        };
        let is_over = state.used + line.len() > bound
            || state.waiting.len() + line.len() > settings.waiting_bytes;
        if is_over {
            state.dropped += 1;
            return;
        }
        state.used += line.len();
        let was_empty = state.waiting.is_empty();
        state.waiting.extend_from_slice(line);
        if was_empty {
            self.wake.notify_all();
        }
    }

    fn run(&self, out: &mut impl Write) {
        loop {
            let mut state = self.lock();
            while state.waiting.is_empty() {
                if state.is_closed {
                    return;
                }
                let waited = self.wake.wait(state);
                state = waited.unwrap_or_else(PoisonError::into_inner);
            }
            let lines = std::mem::take(&mut state.waiting);
            let is_closed = state.is_closed;
            state.is_writing = true;
            drop(state);
            // A closed standard output leaves nowhere to tell of it.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            let mut state = self.lock();
            state.is_writing = false;
            drop(state);
            self.wake.notify_all();
            if !is_closed {
                thread::sleep(self.settings.write_pause);
            }
        }
    }
}
