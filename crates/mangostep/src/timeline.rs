use std::{collections::HashSet, path::PathBuf};

use {
    futures::future::join_all,
    pico_args::Arguments,
    serde::{Deserialize, Serialize},
};

use crate::{
    command::{CommandError, expect_no_arguments, run_async},
    fleet_access::{FleetAccess, HostAddress},
    timeline_html::render_page,
};

pub(crate) const USAGE: &str = "\
Show the events of all hosts in causal order.

Usage: mangostep timeline [OPTIONS]

Events are ordered by logical timestamps that hosts exchange in their messages,
so that a cause comes before its effects even if wall clocks disagree. A host
that does not answer and events that a host no longer stores are shown as gaps.

  --json             print one JSON line for each event
  --html FILE        write an HTML page with one column for each host instead
                     of text

Fleet options:
  --settings FILE    JSON file with comments: fleet, platform, hosts
  --fleet NAME       name of the fleet; overrides the file
  --platform URL     address that serves all three platform services
  --host ADDRESS     operator address of a host, queried when the platform is
                     unreachable; can be repeated
";

/// Number of events of one host after which no further page is fetched.
const EVENTS_PER_HOST_MAX: usize = 50_000;

/// Event of a host, or a gap in its events, which has the name `gap`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TimelineEntry {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    /// Logical timestamp, larger than that of any cause of the event.
    pub(crate) logical: u64,
    pub(crate) monotonic_us: u64,
    pub(crate) wall_us: i64,
    pub(crate) name: String,
    pub(crate) fields: std::collections::BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct EventPage {
    host: String,
    incarnation: u64,
    /// Number of requested events that the host no longer stores.
    missed: u64,
    events: Vec<TimelineEntry>,
}

/// Prints the timeline, or writes it as an HTML page.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let html: Option<PathBuf> = arguments.opt_value_from_str("--html")?;
    let access = FleetAccess::open(&mut arguments)?;
    expect_no_arguments(arguments)?;
    let entries = run_async(fetch_all(&access))?;
    if let Some(path) = html {
        let page = render_page(&entries);
        return std::fs::write(&path, page)
            .map_err(|err| CommandError::failed(&path.to_string_lossy(), err));
    }
    for entry in &entries {
        if as_json {
            let line = serde_json::to_string(entry)
                .map_err(|err| CommandError::failed("serialize event", err))?;
            println!("{line}");
        } else {
            println!("{}", entry_line(entry));
        }
    }
    Ok(())
}

async fn fetch_all(access: &FleetAccess) -> Result<Vec<TimelineEntry>, CommandError> {
    let hosts = access.operator_addresses().await?;
    let fetched = join_all(hosts.iter().map(|host| fetch_host(access, host))).await;
    Ok(sort_events(fetched.into_iter().flatten().collect()))
}

/// Fetches the events of one host, with a gap in place of events that are
/// missing.
async fn fetch_host(access: &FleetAccess, host: &HostAddress) -> Vec<TimelineEntry> {
    let mut entries: Vec<TimelineEntry> = Vec::new();
    let mut since = 0;
    loop {
        let path = format!("/events?since={since}");
        let page: EventPage = match access.fetch_json(host, &path).await {
            Ok(page) => page,
            Err(message) => {
                entries.push(gap_entry(&host.name, entries.last(), "no-answer", &message));
                return entries;
            }
        };
        if page.missed > 0 {
            let lost = format!("{} events are no longer stored", page.missed);
            let mut entry = gap_entry(&page.host, entries.last(), "events-lost", &lost);
            entry.incarnation = page.incarnation;
            entries.push(entry);
        }
        let Some(last) = page.events.last() else {
            return entries;
        };
        since = last.sequence;
        entries.extend(page.events);
        if entries.len() >= EVENTS_PER_HOST_MAX {
            return entries;
        }
    }
}

fn gap_entry(host: &str, last: Option<&TimelineEntry>, cause: &str, detail: &str) -> TimelineEntry {
    TimelineEntry {
        host: host.to_owned(),
        incarnation: last.map_or(0, |entry| entry.incarnation),
        sequence: last.map_or(0, |entry| entry.sequence),
        logical: last.map_or(0, |entry| entry.logical),
        monotonic_us: last.map_or(0, |entry| entry.monotonic_us),
        wall_us: last.map_or(0, |entry| entry.wall_us),
        name: "gap".to_owned(),
        fields: [("cause", cause), ("detail", detail)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into(),
    }
}

/// Removes duplicates and sorts events by logical timestamp, then by wall
/// clock, sequence number and host.
///
/// An effect always has a larger logical timestamp than its cause.
fn sort_events(mut entries: Vec<TimelineEntry>) -> Vec<TimelineEntry> {
    let mut seen = HashSet::new();
    entries.retain(|entry| {
        entry.name == "gap" || seen.insert((entry.host.clone(), entry.incarnation, entry.sequence))
    });
    entries.sort_by(|a, b| {
        let key = |entry: &TimelineEntry| (entry.logical, entry.wall_us, entry.sequence);
        key(a).cmp(&key(b)).then_with(|| a.host.cmp(&b.host))
    });
    entries
}

fn entry_line(entry: &TimelineEntry) -> String {
    let fields = entry
        .fields
        .iter()
        .map(|(name, value)| format!(" {name}={value}"));
    format!(
        "{:>8} {} {:<16} {}{}",
        entry.logical,
        wall_text(entry.wall_us),
        entry.host,
        entry.name,
        fields.collect::<String>()
    )
}

/// Formats the UTC time of day with millisecond precision.
pub(crate) fn wall_text(wall_us: i64) -> String {
    const MS_PER_DAY: i64 = 86_400_000;
    let ms = (wall_us / 1_000).rem_euclid(MS_PER_DAY);
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        ms / 1_000 % 60,
        ms % 1_000
    )
}
