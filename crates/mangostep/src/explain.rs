use std::{
    io::{BufRead, BufReader},
    path::Path,
};

use {pico_args::Arguments, serde_json::Value};

use crate::command::{CommandError, free_arguments};

pub(crate) const USAGE: &str = "\
Tell the story of one request from the collected logs of entry hosts.

Usage: mangostep explain ID [FILE...]

Reads JSON lines from the files, or from standard input without any, and
prints the lines about the request in the order of their times. Between them
stand the lines about the servers that it was sent to, from five seconds
before its first line on. Text before a line's first brace is passed over. The
last line names the cause of the request's end, and what speaks for it.
";

/// Time before a request in which lines about its servers matter; failing
/// spells and changes of entries show within it.
const CONTEXT_MS: i64 = 5_000;

/// One log line, with what orders and selects it.
struct LogLine {
    /// Milliseconds within the day of the time stamp.
    at_ms: i64,
    time: String,
    fields: serde_json::Map<String, Value>,
}

/// Prints the story of one request.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let free = free_arguments(arguments)?;
    let Some((id, files)) = free.split_first() else {
        return Err(CommandError::Usage(
            "explain takes a request's id".to_owned(),
        ));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines("standard input", std::io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        let open = std::fs::File::open(Path::new(file));
        let open = open.map_err(|err| CommandError::failed(file, err))?;
        read_lines(file, BufReader::new(open), &mut lines)?;
    }
    let story = story_of(id, lines);
    if story.is_empty() {
        return Err(CommandError::Failed(format!(
            "no line names the request `{id}`"
        )));
    }
    for line in &story {
        println!("{}", format_line(line));
    }
    println!("cause: {}", cause_of(id, &story));
    Ok(())
}

/// Why a request ended as it did, from its own lines and those about its
/// servers.
fn cause_of(id: &str, story: &[LogLine]) -> String {
    let is_end = |line: &&LogLine| line.text("id") == id && line.text("msg") == "request ended";
    let Some(end) = story.iter().rfind(is_end) else {
        return "its end is not in these logs; its host may have ended before".to_owned();
    };
    let server = end.text("servers").rsplit(' ').next().unwrap_or_default();
    match (end.text("outcome"), end.text("detail")) {
        ("answered", _) if end.number("status") < 400 => "none, it was served".to_owned(),
        ("answered", _) => format!("server {server} ran it and answered with an error"),
        ("over-rate", _) => format!(
            "workspace {} is over its limit, as host {} counts it",
            end.text("workspace"),
            end.text("home")
        ),
        ("no-route", _) => "no route takes it".to_owned(),
        ("bad-key", _) => "its key is unknown to the version in force".to_owned(),
        ("not-granted", _) => "its workspace may not use the route".to_owned(),
        ("not-ready", _) => "the host had started and knew no configuration yet".to_owned(),
        ("leaving", _) => "the host was stopping and would have ended before it".to_owned(),
        ("no-room", "retry budget") => {
            format!("server {server} turned it away, and the retry budget was empty")
        }
        ("no-room", detail) => format!("no server could take it: {detail}"),
        ("timed-out", _) => format!(
            "server {server} gave no answer in time; {}",
            witnesses(id, server, story)
        ),
        (_, detail) => format!(
            "server {server} failed it ({detail}) after it may have run; {}",
            witnesses(id, server, story)
        ),
    }
}

/// What else is known of a server: other requests that failed there.
fn witnesses(id: &str, server: &str, story: &[LogLine]) -> String {
    let others = story.iter().filter(|line| {
        line.text("msg") == "attempt failed"
            && line.text("server") == server
            && line.text("id") != id
    });
    match others.count() {
        0 => "no other request failed there in the five seconds before".to_owned(),
        count => format!("{count} other sends failed there in the five seconds before"),
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

/// Reads a log line; none when the text is not one.
fn parse_line(text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields: serde_json::Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let time = fields.get("ts")?.as_str()?.to_owned();
    Some(LogLine {
        at_ms: millis_of_day(&time)?,
        time,
        fields,
    })
}

/// Milliseconds since midnight of a time stamp such as
/// `2026-02-09T22:39:52.126279406Z`.
fn millis_of_day(time: &str) -> Option<i64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}

/// The lines about a request and the servers that it was sent to, in order.
fn story_of(id: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
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
