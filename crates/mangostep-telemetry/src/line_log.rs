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
    /// Limits on the volume per second.
    pub bounds: LineBounds,
    /// Maximum bytes that are buffered for the writer thread.
    pub buffer_bytes_max: usize,
    /// Pause after each write.
    pub write_pause: Duration,
}

impl Default for LineLogSettings {
    fn default() -> Self {
        LineLogSettings {
            bounds: LineBounds::default(),
            buffer_bytes_max: 256 << 10,
            write_pause: Duration::from_millis(200),
        }
    }
}

/// Period of the bounds, and of the reports on dropped lines.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// A log of JSON lines that is limited in volume and never blocks its callers.
///
/// Lines that exceed the bounds are dropped. At most once per second, a line
/// `lines dropped` for each kind reports how many were. A dedicated thread
/// writes the lines, so that an output that nobody reads does not block the
/// process.
#[derive(Debug)]
pub struct LineLog {
    shared: Arc<LineShared>,
}

#[derive(Debug)]
struct LineShared {
    settings: LineLogSettings,
    state: Mutex<LineState>,
    changed: Condvar,
}

#[derive(Debug)]
struct LineState {
    buffered: Vec<u8>,
    /// Start of the current period of the bounds.
    period_start: Instant,
    /// Time of the last report on dropped lines.
    last_report: Instant,
    budget: LineBudget,
    is_closed: bool,
    is_writing: bool,
}

impl LineLog {
    /// Starts a writer thread to standard output and returns a logger that
    /// adds the host to each line.
    ///
    /// # Errors
    ///
    /// Fails when the writer thread cannot be started.
    pub fn open(host: &str, settings: LineLogSettings) -> io::Result<(Self, Logger)> {
        LineLog::open_to(io::stdout(), host, settings)
    }

    /// Like [`LineLog::open`], but writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when the writer thread cannot be started.
    pub fn open_to(
        mut out: impl Write + Send + 'static,
        host: &str,
        settings: LineLogSettings,
    ) -> io::Result<(Self, Logger)> {
        let shared = Arc::new(LineShared {
            settings,
            state: Mutex::new(LineState {
                buffered: Vec::new(),
                period_start: Instant::now(),
                last_report: Instant::now(),
                budget: LineBudget::default(),
                is_closed: false,
                is_writing: false,
            }),
            changed: Condvar::new(),
        });
        let logger = Logger::root(
            LineDrain(Arc::clone(&shared)),
            o!("host" => host.to_owned()),
        );
        let writer = Arc::clone(&shared);
        let writer_logger = logger.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(&mut out, &writer_logger))?;
        Ok((LineLog { shared }, logger))
    }

    /// Stops the writer and waits until all buffered lines are written, but no
    /// longer than `timeout`.
    pub fn close(self, timeout: Duration) {
        let mut state = self.shared.lock();
        state.is_closed = true;
        self.shared.changed.notify_all();
        let deadline = Instant::now() + timeout;
        while !state.buffered.is_empty() || state.is_writing {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            let waited = self.shared.changed.wait_timeout(state, remaining);
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
            None => self.0.lock().budget.count_dropped(&kind),
        }
        Ok(())
    }
}

/// Formats a record as a line of JSON; `None` when a value cannot be
/// serialized.
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
        if state.period_start.elapsed() >= BUDGET_PERIOD {
            state.period_start = Instant::now();
            state.budget.start_period();
        }
        if state.buffered.len() + line.len() > settings.buffer_bytes_max {
            state.budget.count_dropped(kind);
            return;
        }
        if !state
            .budget
            .reserve(&settings.bounds, kind, level, line.len())
        {
            return;
        }
        let was_empty = state.buffered.is_empty();
        state.buffered.extend_from_slice(line);
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Appends lines that report the dropped lines, at most once per second.
    fn report_dropped(&self, state: &mut LineState, logger: &Logger) {
        if !state.budget.has_dropped() || state.last_report.elapsed() < BUDGET_PERIOD {
            return;
        }
        state.last_report = Instant::now();
        for (kind, count) in state.budget.take_dropped() {
            let meta = record_static!(Level::Warning, "");
            let message = format_args!("lines dropped");
            let record = Record::new(&meta, &message, b!());
            let line_logger = logger.new(o!("kind" => kind, "count" => count));
            // These lines are few, one for each kind, so they are not checked
            // against the bounds.
            if let Some(line) = format_line(&record, line_logger.list()) {
                state.buffered.extend_from_slice(&line);
            }
        }
    }

    /// Waits for new lines, or until a report on dropped lines may be due.
    fn wait<'s>(&self, state: MutexGuard<'s, LineState>) -> MutexGuard<'s, LineState> {
        match state.budget.has_dropped() {
            true => {
                let waited = self.changed.wait_timeout(state, BUDGET_PERIOD);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            false => {
                let waited = self.changed.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            }
        }
    }

    fn run(&self, out: &mut impl Write, logger: &Logger) {
        loop {
            let mut state = self.lock();
            self.report_dropped(&mut state, logger);
            while state.buffered.is_empty() {
                if state.is_closed {
                    return;
                }
                state = self.wait(state);
                self.report_dropped(&mut state, logger);
            }
            let lines = std::mem::take(&mut state.buffered);
            let is_closed = state.is_closed;
            state.is_writing = true;
            drop(state);
            // A failed write is ignored, since there is no other place to
            // report it.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            let mut state = self.lock();
            state.is_writing = false;
            drop(state);
            self.changed.notify_all();
            if !is_closed {
                thread::sleep(self.settings.write_pause);
            }
        }
    }
}
