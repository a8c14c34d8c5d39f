use std::collections::BTreeMap;

use {
    futures::future::join_all,
    pico_args::Arguments,
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

use crate::{
    command::{CommandError, expect_no_arguments, run_async},
    fleet_access::{FleetAccess, HostAddress},
};

pub(crate) const USAGE: &str = "\
Show the standing, zone and configuration version of each host, and the server
ejections that it reports.

Usage: mangostep status [--json] [OPTIONS]

  --json             print one JSON line for each host

Fleet options:
  --settings FILE    JSON file with comments: fleet, platform, hosts
  --fleet NAME       name of the fleet; overrides the file
  --platform URL     address that serves all three platform services
  --host ADDRESS     operator address of a host, queried when the platform is
                     unreachable; can be repeated

Exit code 1 means that at least one host did not answer.
";

/// Status document that a host serves to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HostStatus {
    host: String,
    incarnation: u64,
    zone: String,
    /// Version of the configuration in force.
    version: u64,
    /// Whether the host may act as a holder.
    holds: bool,
    /// Whether the keys and the configuration of the host are fresh.
    fresh: bool,
    /// Number of in-flight requests.
    running: u64,
    /// Further information by topic, such as the lease.
    sections: BTreeMap<String, Value>,
}

/// Prints the status of all hosts.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let access = FleetAccess::open(&mut arguments)?;
    expect_no_arguments(arguments)?;
    run_async(print_status(&access, as_json))
}

async fn print_status(access: &FleetAccess, as_json: bool) -> Result<(), CommandError> {
    let hosts = access.operator_addresses().await?;
    let requests = hosts
        .iter()
        .map(|host| access.fetch_json::<HostStatus>(host, "/status"));
    let answers = join_all(requests).await;
    let mut unanswered = 0;
    if !as_json {
        println!("{}", table_heading());
    }
    for (host, answer) in hosts.iter().zip(&answers) {
        unanswered += usize::from(answer.is_err());
        match (answer, as_json) {
            (Ok(status), true) => println!("{}", json_line(status)?),
            (Ok(status), false) => println!("{}", table_line(status)),
            (Err(message), true) => println!("{}", unanswered_json(host, message)),
            (Err(message), false) => println!("{:<20} no answer: {message}", host.name),
        }
    }
    if !as_json {
        let statuses: Vec<&HostStatus> = answers.iter().flatten().collect();
        print_sections(&statuses);
    }
    if unanswered > 0 {
        return Err(CommandError::Failed(format!(
            "{unanswered} of {} hosts did not answer",
            hosts.len()
        )));
    }
    Ok(())
}

fn json_line(status: &HostStatus) -> Result<String, CommandError> {
    serde_json::to_string(status).map_err(|err| CommandError::failed("serialize status", err))
}

fn unanswered_json(host: &HostAddress, message: &str) -> Value {
    serde_json::json!({ "host": host.name, "error": message })
}

fn table_heading() -> String {
    format!(
        "{:<20} {:<16} {:>8} {:<8} {:<6} {:>8}",
        "HOST", "ZONE", "VERSION", "STANDING", "FRESH", "RUNNING"
    )
}

fn table_line(status: &HostStatus) -> String {
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

/// Prints the sections of each status, one line for each entry.
fn print_sections(statuses: &[&HostStatus]) {
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
