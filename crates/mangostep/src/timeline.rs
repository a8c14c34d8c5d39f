use std::{collections::HashSet, path::PathBuf};

use {
    futures::future::join_all,
    pico_args::Arguments,
    serde::{Deserialize, Serialize},
};

use crate::{
    command::{CommandError, no_more_arguments, run_async},
    fleet_access::{FleetAccess, HostAddress},
    timeline_html::write_page,
};

pub(crate) const USAGE: &str = "\
Show the events of all hosts in one order that respects cause.

Usage: mangostep timeline [OPTIONS]

Events are ordered by the stamps that messages between hosts carry, so that a
cause stands before its effects even where wall clocks disagree. A host that
gives no answer, and events that a host no longer keeps, are shown as gaps.

  --json             one JSON line an event
  --html FILE        write a page with a lane a host in place of text

Which fleet:
  --settings FILE    JSON with comments: fleet, platform, hosts
  --fleet NAME       in place of the file's
  --platform URL     all three platform services at one address
  --host ADDRESS     operator address of a host to ask when the platform is
                     away; may be given several times
";

/// Most events fetched of one host.
const EVENTS_MAX: usize = 50_000;

/// An event or a gap.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TimelineEntry {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
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
    missed: u64,
    events: Vec<TimelineEntry>,
}

/// Shows the time line.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let html: Option<PathBuf> = arguments.opt_value_from_str("--html")?;
    let access = FleetAccess::open(&mut arguments)?;
    no_more_arguments(arguments)?;
    let entries = run_async(fetch_all(&access))?;
    if let Some(path) = html {
        let page = write_page(&entries);
        return std::fs::write(&path, page)
            .map_err(|err| CommandError::failed(&path.to_string_lossy(), err));
    }
    for entry in &entries {
        if as_json {
            let line = serde_json::to_string(entry)
                .map_err(|err| CommandError::failed("write event", err))?;
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
    Ok(merge(fetched.into_iter().flatten().collect()))
}

/// Fetches the events of one host, with gaps for what cannot be had.
async fn fetch_host(access: &FleetAccess, host: &HostAddress) -> Vec<TimelineEntry> {
    let mut entries: Vec<TimelineEntry> = Vec::new();
    let mut since = 0;
    loop {
        let path = format!("/events?since={since}");
        let page: EventPage = match access.ask(host, &path).await {
            Ok(page) => page,
            Err(message) => {
                entries.push(gap(&host.name, entries.last(), "no-answer", &message));
                return entries;
            }
        };
        if page.missed > 0 {
            let lost = format!("{} events are no longer kept", page.missed);
            let mut entry = gap(&page.host, entries.last(), "events-lost", &lost);
            entry.incarnation = page.incarnation;
            entries.push(entry);
        }
        let Some(last) = page.events.last() else {
            return entries;
        };
        since = last.sequence;
        entries.extend(page.events);
        if entries.len() >= EVENTS_MAX {
            return entries;
        }
    }
}

fn gap(host: &str, last: Option<&TimelineEntry>, cause: &str, detail: &str) -> TimelineEntry {
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

/// Orders events by stamp; equal stamps by wall clock and host.
///
/// An event that was caused by another has the larger stamp.
fn merge(mut entries: Vec<TimelineEntry>) -> Vec<TimelineEntry> {
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

/// Time of day in UTC, to the millisecond.
pub(crate) fn wall_text(wall_us: i64) -> String {
    const MS_A_DAY: i64 = 86_400_000;
    let ms = (wall_us / 1_000).rem_euclid(MS_A_DAY);
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        ms / 1_000 % 60,
        ms % 1_000
    )
}
