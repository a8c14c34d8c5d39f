use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, b, o, record_static};

use crate::line_budget::{LineBounds, LineBudget};

/// Settings of a [`LineLog`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineLogSettings {
    /// Bounds of the lines of one second.
    pub bounds: LineBounds,
    /// Bytes that wait for the writer.
    pub waiting_bytes: usize,
    /// Time between two writes.
    pub write_pause: Duration,
}

impl Default for LineLogSettings {
    fn default() -> Self {
        LineLogSettings {
            bounds: LineBounds::default(),
            waiting_bytes: 256 << 10,
            write_pause: Duration::from_millis(200),
        }
    }
}

/// Time after which the bounds are renewed and dropped lines are told.
const SECOND: Duration = Duration::from_secs(1);

/// JSON lines, bounded in volume, that never block their callers.
///
/// A line over the bounds is dropped and counted; a line of its own tells once
/// a second how many of each kind were. A thread of its own writes, so that an
/// output that nobody reads holds up nobody else.
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
    /// When the present second of the bounds began.
    second: Instant,
    /// When dropped lines were told last.
    told: Instant,
    budget: LineBudget,
    is_closed: bool,
    is_writing: bool,
}

impl LineLog {
    /// Starts the writer to standard output and returns a logger that names
    /// the host in each line.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn open(host: &str, settings: LineLogSettings) -> io::Result<(Self, Logger)> {
        LineLog::open_to(io::stdout(), host, settings)
    }

    /// The same with another output.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn open_to(
        mut out: impl Write + Send + 'static,
        host: &str,
        settings: LineLogSettings,
    ) -> io::Result<(Self, Logger)> {
        let shared = Arc::new(LineShared {
            settings,
            state: Mutex::new(LineState {
                waiting: Vec::new(),
                second: Instant::now(),
                told: Instant::now(),
                budget: LineBudget::default(),
                is_closed: false,
                is_writing: false,
            }),
            wake: Condvar::new(),
        });
        let logger = Logger::root(
            LineDrain(Arc::clone(&shared)),
            o!("host" => host.to_owned()),
        );
        let writer = Arc::clone(&shared);
        let own = logger.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(&mut out, &own))?;
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
        let kind = record.msg().to_string();
        match format_line(record, values) {
            Some(line) => self.0.push(&line, &kind, record.level()),
            None => self.0.lock().budget.drop_line(&kind),
        }
        Ok(())
    }
}

/// A record as a line of JSON.
fn format_line(record: &Record<'_>, values: &OwnedKVList) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(400);
    let written = slog_json::Json::default(&mut line).log(record, values);
    written.is_ok().then_some(line)
}

impl LineShared {
    fn lock(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8], kind: &str, level: Level) {
        let settings = &self.settings;
        let mut state = self.lock();
        if state.second.elapsed() >= SECOND {
            state.second = Instant::now();
            state.budget.renew();
        }
        if state.waiting.len() + line.len() > settings.waiting_bytes {
            state.budget.drop_line(kind);
            return;
        }
        if !state.budget.take(&settings.bounds, kind, level, line.len()) {
            return;
        }
        let was_empty = state.waiting.is_empty();
        state.waiting.extend_from_slice(line);
        if was_empty {
            self.wake.notify_all();
        }
    }

    /// Tells once a second of the lines that were dropped.
    fn tell_dropped(&self, state: &mut LineState, logger: &Logger) {
        if !state.budget.has_dropped() || state.told.elapsed() < SECOND {
            return;
        }
        state.told = Instant::now();
        for (kind, count) in state.budget.take_dropped() {
            let meta = record_static!(Level::Warning, "");
            let message = format_args!("lines dropped");
            let record = Record::new(&meta, &message, b!());
            let own = logger.new(o!("kind" => kind, "count" => count));
            // The bounds leave room for these few lines.
            if let Some(line) = format_line(&record, own.list()) {
                state.waiting.extend_from_slice(&line);
            }
        }
    }

    /// Waits for lines, or until dropped ones are to be told.
    fn wait<'s>(&self, state: MutexGuard<'s, LineState>) -> MutexGuard<'s, LineState> {
        match state.budget.has_dropped() {
            true => {
                let waited = self.wake.wait_timeout(state, SECOND);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            false => {
                let waited = self.wake.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            }
        }
    }

    fn run(&self, out: &mut impl Write, logger: &Logger) {
        loop {
            let mut state = self.lock();
            self.tell_dropped(&mut state, logger);
            while state.waiting.is_empty() {
                if state.is_closed {
                    return;
                }
                state = self.wait(state);
                self.tell_dropped(&mut state, logger);
            }
            let lines = std::mem::take(&mut state.waiting);
            let is_closed = state.is_closed;
            state.is_writing = true;
            drop(state);
            // A closed output leaves nowhere to tell of it.
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
