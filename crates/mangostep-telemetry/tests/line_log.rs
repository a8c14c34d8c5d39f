//! Volume limits of the line log, and logging to an output that nobody reads.

use std::{
    io::{self, Read, Write},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use {
    mangostep_telemetry::{LineBounds, LineLog, LineLogSettings},
    serde_json::Value,
    slog::{info, warn},
};

/// Time limit for writing the buffered lines.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8(bytes.clone()).expect("lines are UTF-8");
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("lines are JSON"))
            .collect()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn settings(bytes: usize, lines: usize) -> LineLogSettings {
    LineLogSettings {
        bounds: LineBounds {
            bytes,
            lines,
            ..Default::default()
        },
        write_pause: Duration::from_millis(5),
        ..Default::default()
    }
}

fn count_messages(lines: &[Value], message: &str) -> usize {
    lines.iter().filter(|line| line["msg"] == message).count()
}

/// Successes alone exceed the bounds: all failures must still be written, and
/// each dropped line must be counted by its kind.
#[test]
fn failures_are_kept_and_dropped_lines_are_counted() {
    let output = SharedOutput::default();
    let (lines, log) =
        LineLog::open_to(output.clone(), "h1", settings(64 << 10, 500)).expect("the log opens");
    for number in 0..2_000 {
        info!(log, "request served"; "id" => number);
    }
    for number in 0..100 {
        warn!(log, "request failed"; "id" => number);
    }
    // Dropped lines are reported at most once per second.
    std::thread::sleep(Duration::from_millis(1_200));
    lines.close(CLOSE_TIMEOUT);
    let written = output.lines();
    assert_eq!(count_messages(&written, "request failed"), 100);
    let served = count_messages(&written, "request served");
    assert!(
        (100..=300).contains(&served),
        "{served} successes were written"
    );
    let dropped: Vec<&Value> = written
        .iter()
        .filter(|line| line["msg"] == "lines dropped")
        .collect();
    assert_eq!(dropped.len(), 1, "{dropped:?}");
    assert_eq!(dropped[0]["kind"], "request served");
    assert_eq!(dropped[0]["count"], 2_000 - served);
    assert_eq!(dropped[0]["host"], "h1");
    assert!(dropped[0]["ts"].is_string());
}

/// One kind of failure floods the log; a line of another kind must still be
/// written.
#[test]
fn one_kind_does_not_crowd_out_others() {
    let output = SharedOutput::default();
    let (lines, log) =
        LineLog::open_to(output.clone(), "h1", settings(32 << 10, 10_000)).expect("the log opens");
    for number in 0..2_000 {
        warn!(log, "attempt failed"; "id" => number);
    }
    warn!(log, "store lost"; "table" => "servers");
    lines.close(CLOSE_TIMEOUT);
    let written = output.lines();
    assert_eq!(count_messages(&written, "store lost"), 1);
    assert!(count_messages(&written, "attempt failed") < 1_000);
}

/// The bounds apply to each second separately, also after an idle period.
#[test]
fn bounds_are_reset_each_second() {
    let output = SharedOutput::default();
    let (lines, log) =
        LineLog::open_to(output.clone(), "h1", settings(64 << 10, 100)).expect("the log opens");
    for round in 0..2 {
        for number in 0..100 {
            warn!(log, "attempt failed"; "id" => number, "round" => round);
        }
        std::thread::sleep(Duration::from_millis(1_100));
    }
    lines.close(CLOSE_TIMEOUT);
    assert_eq!(count_messages(&output.lines(), "attempt failed"), 200);
}

/// The output is a pipe that nobody reads: neither logging nor closing the log
/// may block.
#[test]
fn unread_output_does_not_block() {
    let (mut reader, writer) = io::pipe().expect("a pipe opens");
    let (lines, log) = LineLog::open_to(
        writer,
        "h1",
        LineLogSettings {
            bounds: LineBounds {
                bytes: 64 << 20,
                lines: 1_000_000,
                info_percent: 100,
                kind_percent: 100,
            },
            ..Default::default()
        },
    )
    .expect("the log opens");
    let started = Instant::now();
    for number in 0..20_000 {
        info!(log, "request served"; "id" => number);
    }
    let logging = started.elapsed();
    assert!(logging < Duration::from_secs(4), "logging took {logging:?}");
    let closing = Instant::now();
    lines.close(Duration::from_millis(50));
    assert!(closing.elapsed() < Duration::from_secs(1));
    // Only the writer thread is blocked by the pipe; reading unblocks it.
    let mut first = [0; 1];
    reader.read_exact(&mut first).expect("the pipe holds lines");
    assert_eq!(&first, b"{");
}
