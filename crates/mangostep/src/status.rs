use std::collections::BTreeMap;

use {
    futures::future::join_all,
    pico_args::Arguments,
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

use crate::{
    command::{CommandError, no_more_arguments, run_async},
    fleet_access::{FleetAccess, HostAddress},
};

pub(crate) const USAGE: &str = "\
Show hosts, their standing and versions, availability zones and ejections.

Usage: mangostep status [--json] [OPTIONS]

  --json             one JSON line a host

Which fleet:
  --settings FILE    JSON with comments: fleet, platform, hosts
  --fleet NAME       in place of the file's
  --platform URL     all three platform services at one address
  --host ADDRESS     operator address of a host to ask when the platform is
                     away; may be given several times

Exit code 1 means that at least one host gave no answer.
";

/// What a host tells of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HostStatus {
    host: String,
    incarnation: u64,
    zone: String,
    version: u64,
    holds: bool,
    fresh: bool,
    running: u64,
    sections: BTreeMap<String, Value>,
}

/// Shows the status of all hosts.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let access = FleetAccess::open(&mut arguments)?;
    no_more_arguments(arguments)?;
    run_async(show(&access, as_json))
}

async fn show(access: &FleetAccess, as_json: bool) -> Result<(), CommandError> {
    let hosts = access.operator_addresses().await?;
    let asks = hosts
        .iter()
        .map(|host| access.ask::<HostStatus>(host, "/status"));
    let answers = join_all(asks).await;
    let mut silent = 0;
    if !as_json {
        println!("{}", heading());
    }
    for (host, answer) in hosts.iter().zip(&answers) {
        silent += usize::from(answer.is_err());
        match (answer, as_json) {
            (Ok(status), true) => println!("{}", json_line(status)?),
            (Ok(status), false) => println!("{}", text_line(status)),
            (Err(message), true) => println!("{}", silent_json(host, message)),
            (Err(message), false) => println!("{:<20} no answer: {message}", host.name),
        }
    }
    if !as_json {
        let statuses: Vec<&HostStatus> = answers.iter().flatten().collect();
        show_sections(&statuses);
    }
    if silent > 0 {
        return Err(CommandError::Failed(format!(
            "{silent} hosts gave no answer"
        )));
    }
    Ok(())
}

fn json_line(status: &HostStatus) -> Result<String, CommandError> {
    serde_json::to_string(status).map_err(|err| CommandError::failed("write status", err))
}

fn silent_json(host: &HostAddress, message: &str) -> Value {
    serde_json::json!({ "host": host.name, "error": message })
}

fn heading() -> String {
    format!(
        "{:<20} {:<16} {:>8} {:<8} {:<6} {:>8}",
        "HOST", "ZONE", "VERSION", "STANDING", "FRESH", "RUNNING"
    )
}

fn text_line(status: &HostStatus) -> String {
    let lease = status.sections.get("lease");
    let standing = lease
        .and_then(|section| section.get("standing"))
        .and_then(Value::as_str)
        .map(|name| name.trim_start_matches("lease-"));
    let fallback = if status.holds { "acts" } else { "lapsed" };
    format!(
        "{:<20} {:<16} {:>8} {:<8} {:<6} {:>8}",
        status.host,
        status.zone,
        status.version,
        standing.unwrap_or(fallback),
        if status.fresh { "yes" } else { "no" },
        status.running,
    )
}

/// Shows what duties tell beside the table, one line an entry.
fn show_sections(statuses: &[&HostStatus]) {
    for status in statuses {
        for (section, value) in &status.sections {
            let entries: Vec<&Value> = match value {
                Value::Array(list) => list.iter().collect(),
                other => vec![other],
            };
            for entry in entries {
                println!("{} {section}: {}", status.host, entry_text(entry));
            }
        }
    }
}

fn entry_text(entry: &Value) -> String {
    match entry {
        Value::Object(fields) => {
            let parts = fields.iter().map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            });
            parts.collect::<Vec<_>>().join(" ")
        }
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
