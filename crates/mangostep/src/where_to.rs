use std::{net::SocketAddr, time::Duration};

use {
    mangostep_entry::{DestinationReport, EXPLANATION_PATH, ServiceDestination},
    pico_args::Arguments,
};

use crate::command::{CommandError, expect_no_arguments, run_async};

pub(crate) const USAGE: &str = "\
Explain where a request would go now, and why, without sending it.

Usage: mangostep where --ask ADDRESS --host NAME --path PATH [OPTIONS]

  --ask ADDRESS      address at which the entry host serves metrics
  --host NAME        host name of the request
  --path PATH        path of the request
  --workspace NAME   workspace of the caller, for routes that need a key
  --json             print the answer as one JSON line

The answer is that of one host: its configuration, what it knows of the backend
servers and how old that is. Keys are neither asked for nor shown. Exit code 1
means that the host did not answer.
";

/// Timeout of the call to the host.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints where one host would send a request.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let address: SocketAddr = arguments.value_from_str("--ask")?;
    let host: String = arguments.value_from_str("--host")?;
    let path: String = arguments.value_from_str("--path")?;
    let workspace: Option<String> = arguments.opt_value_from_str("--workspace")?;
    expect_no_arguments(arguments)?;
    let mut query = vec![("host", host), ("path", path)];
    query.extend(workspace.map(|name| ("workspace", name)));
    let report = run_async(fetch_report(address, query))?;
    match as_json {
        true => {
            let line = serde_json::to_string(&report);
            println!(
                "{}",
                line.map_err(|err| CommandError::failed("encode answer", err))?
            );
        }
        false => print!("{}", format_report(&report)),
    }
    Ok(())
}

async fn fetch_report(
    address: SocketAddr,
    query: Vec<(&str, String)>,
) -> Result<DestinationReport, CommandError> {
    let step = format!("ask host at {address}");
    let failed = |err: reqwest::Error| CommandError::failed(&step, err.without_url());
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(failed)?;
    let request = client.get(format!("http://{address}{EXPLANATION_PATH}"));
    let response = request.query(&query).send().await.map_err(failed)?;
    let response = response.error_for_status().map_err(failed)?;
    response.json().await.map_err(failed)
}

fn format_report(report: &DestinationReport) -> String {
    let age = report.entries_age;
    let mut lines = vec![
        format!("host       {} ({})", report.asked_host, report.zone),
        format!("version    {}", or_none(report.version)),
        format!("route      {}", or_none(report.route.as_deref())),
        format!(
            "entries    {} ms old",
            or_none(age.map(|age| age.as_millis()))
        ),
    ];
    if let Some(reason) = &report.refusal {
        lines.push(format!("refused    {reason}"));
        return lines.join("\n") + "\n";
    }
    let kind = match report.is_idempotent {
        true => "idempotent",
        false => "non-idempotent",
    };
    let limit = report.limit_per_s;
    lines.push(format!("kind       {kind}, priority {}", report.priority));
    lines.push(format!("limit      {} requests/s", or_none(limit)));
    lines.push(format!("deadline   {} ms", report.deadline.as_millis()));
    for service in &report.services {
        lines.extend(format_service(service));
    }
    lines.join("\n") + "\n"
}

fn format_service(service: &ServiceDestination) -> Vec<String> {
    let mut lines = vec![format!(
        "service    {} (weight {}): {} in flight on {} usable slots",
        service.service, service.weight, service.in_flight, service.usable_slots
    )];
    let states = service.states.iter();
    let states: Vec<String> = states
        .map(|(state, count)| format!("{count} {}", state.as_str()))
        .collect();
    lines.push(format!("  servers  {}", states.join(", ")));
    match (&service.choice, &service.refusal) {
        (Some(server), _) => lines.push(format!("  choice   {server}")),
        (None, reason) => lines.push(format!(
            "  refused  {}, Retry-After {} ms",
            or_none(reason.as_deref()),
            or_none(service.retry_after.map(|after| after.as_millis()))
        )),
    }
    for candidate in &service.candidates {
        let outcome_age = candidate.outcome_age;
        lines.push(format!(
            "  {:24} {:10} {:14} cost {:.3} s, wait {} ms, fails {:.3}, in flight {}/{}, {}, outcome {} ms old",
            candidate.server,
            candidate.zone,
            candidate.state.as_str(),
            candidate.cost_s,
            candidate.wait.as_millis(),
            candidate.failure_chance,
            candidate.in_flight,
            candidate.slots,
            if candidate.is_connected { "connected" } else { "not connected" },
            or_none(outcome_age.map(|age| age.as_millis())),
        ));
    }
    lines
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
