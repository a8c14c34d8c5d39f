use std::{
    io::{BufRead, BufReader},
    path::Path,
};

use {pico_args::Arguments, serde_json::Value};

use crate::command::{CommandError, positional_arguments};

pub(crate) const USAGE: &str = "\
Show the log lines of one request, from the collected logs of entry hosts, and
why it ended.

Usage: mangostep explain ID [FILE...]

Reads JSON lines from the files, or from standard input if none is given, and
prints the lines of the request ordered by time. Lines about the servers to
which it was sent are included from five seconds before its start. Text before
the first brace of a line is ignored. The last line states why the request
ended, with other failures of its server as evidence.
";

/// Period before a request from which lines about its servers are included.
///
/// It shows whether a server was failing, or its entry changed, before the
/// request was sent.
const CONTEXT_MS: i64 = 5_000;

/// Log line of an entry host.
struct LogLine {
    /// Time of day of the timestamp, by which lines are ordered.
    at_ms: i64,
    /// The timestamp as logged.
    time: String,
    fields: serde_json::Map<String, Value>,
}

/// Prints the log lines of one request and the cause of its end.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let positional = positional_arguments(arguments)?;
    let Some((id, files)) = positional.split_first() else {
        return Err(CommandError::Usage(
            "explain: expected a request ID".to_owned(),
        ));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines("standard input", std::io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        let opened = std::fs::File::open(Path::new(file));
        let opened = opened.map_err(|err| CommandError::failed(file, err))?;
        read_lines(file, BufReader::new(opened), &mut lines)?;
    }
    let selected = select_lines(id, lines);
    if selected.is_empty() {
        return Err(CommandError::Failed(format!(
            "no log line of request `{id}` found"
        )));
    }
    for line in &selected {
        println!("{}", format_line(line));
    }
    println!("cause: {}", describe_cause(id, &selected));
    Ok(())
}

/// Describes why a request ended, based on its own log lines and the lines
/// about its servers.
fn describe_cause(id: &str, selected: &[LogLine]) -> String {
    let is_end = |line: &&LogLine| line.text("id") == id && line.text("msg") == "request ended";
    let Some(end) = selected.iter().rfind(is_end) else {
        return "the logs do not contain its end; the host may have stopped before".to_owned();
    };
    let server = end.text("servers").rsplit(' ').next().unwrap_or_default();
    match (end.text("outcome"), end.text("detail")) {
        ("answered", _) if end.number("status") < 400 => "none, the request was served".to_owned(),
        ("answered", _) => format!("server {server} ran the request and answered with an error"),
        ("over-rate", _) => format!(
            "workspace {} is over its limit, as host {} counts it",
            end.text("workspace"),
            end.text("home")
        ),
        ("no-route", _) => "no route matches the request".to_owned(),
        ("bad-key", _) => "its key is not in the configuration in force".to_owned(),
        ("not-granted", _) => "its workspace is not granted the route".to_owned(),
        ("not-ready", _) => "the host was starting and had no configuration yet".to_owned(),
        ("leaving", _) => {
            "the host was shutting down and would have stopped before the deadline".to_owned()
        }
        ("no-room", "retry budget") => {
            format!("server {server} rejected the request, and the retry budget was empty")
        }
        ("no-room", detail) => format!("no server could accept the request: {detail}"),
        ("timed-out", _) => format!(
            "server {server} did not answer in time; {}",
            other_failures(id, server, selected)
        ),
        (_, detail) => format!(
            "server {server} failed ({detail}) and may have run the request; {}",
            other_failures(id, server, selected)
        ),
    }
}

/// Describes the failed attempts of other requests at a server.
fn other_failures(id: &str, server: &str, selected: &[LogLine]) -> String {
    let others = selected.iter().filter(|line| {
        line.text("msg") == "attempt failed"
            && line.text("server") == server
            && line.text("id") != id
    });
    match others.count() {
        0 => "no attempt of another request failed there in the five seconds before".to_owned(),
        count => {
            format!("{count} attempts of other requests failed there in the five seconds before")
        }
    }
}

fn read_lines(
    name: &str,
    reader: impl BufRead,
    lines: &mut Vec<LogLine>,
) -> Result<(), CommandError> {
    for text in reader.lines() {
        let text = text.map_err(|err| CommandError::failed(name, err))?;
        lines.extend(parse_line(&text));
    }
    Ok(())
}

/// Parses a log line; `None` if the text is not one.
fn parse_line(text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields: serde_json::Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let time = fields.get("ts")?.as_str()?.to_owned();
    Some(LogLine {
        at_ms: parse_time_of_day_ms(&time)?,
        time,
        fields,
    })
}

/// Returns the milliseconds since midnight of a timestamp such as
/// `2026-02-09T22:39:52.126279406Z`.
fn parse_time_of_day_ms(time: &str) -> Option<i64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}

/// Returns the lines of a request and of the servers to which it was sent,
/// ordered by time.
fn select_lines(id: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    let is_own = |line: &LogLine| line.text("id") == id;
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let servers: Vec<String> = own
        .iter()
        .flat_map(|line| line.text("servers").split(' ').chain([line.text("server")]))
        .filter(|server| !server.is_empty())
        .map(str::to_owned)
        .collect();
    let Some(last) = own.iter().map(|line| line.at_ms).max() else {
        return Vec::new();
    };
    let first = own
        .iter()
        .map(|line| line.at_ms - line.number("ms"))
        .min()
        .unwrap_or(last);
    let window = first - CONTEXT_MS..=last;
    lines.retain(|line| {
        let is_about = servers.iter().any(|server| line.text("server") == server);
        is_own(line) || (is_about && window.contains(&line.at_ms))
    });
    lines.sort_by_key(|line| line.at_ms);
    lines
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number(&self, field: &str) -> i64 {
        self.fields
            .get(field)
            .and_then(Value::as_i64)
            .unwrap_or_default()
    }
}

fn format_line(line: &LogLine) -> String {
    let clock = line
        .time
        .split_once('T')
        .map_or(&*line.time, |(_, clock)| clock);
    let mut text = format!("{:.12} {} {}", clock, line.text("host"), line.text("msg"));
    for (name, value) in &line.fields {
        if !matches!(name.as_str(), "ts" | "host" | "msg" | "level") {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text
}
