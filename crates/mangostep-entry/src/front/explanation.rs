//! Explains where a request would go now, without sending it.

use {
    http::StatusCode,
    mangostep_http::RequestHead,
    mangostep_objects::{RequestKind, Route, Service, Snapshot},
    mangostep_policy::{CandidateReport, CandidateState, ChoiceRequest, ServerChoice},
    percent_encoding::percent_decode_str,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use crate::{clock, front::pages::PageResponse, platform::FleetTable, prelude::*};

/// Path of the explanation, on the address that serves metrics.
pub const EXPLANATION_PATH: &str = "/where";

/// Maximum number of candidates that are listed for a service.
const CANDIDATES_MAX: usize = 20;

/// A request whose destination is to be explained. It names its workspace, so
/// that no key is needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct DestinationQuery {
    host: String,
    path: String,
    /// Absent for routes that are open to all.
    workspace: Option<String>,
}

/// Where a request would go, and why.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DestinationReport {
    /// The host that answers.
    pub asked_host: String,
    /// Availability zone of that host.
    pub zone: String,
    /// Version of the configuration in force; `None` before the first one.
    pub version: Option<u64>,
    /// Name of the route; `None` if none matches.
    pub route: Option<String>,
    /// Reason for which the request would be refused before a server is chosen.
    pub refusal: Option<String>,
    /// Whether the request may be sent more than once.
    pub is_idempotent: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Rate limit of the workspace over all hosts, in requests per second.
    pub limit_per_s: Option<f64>,
    /// Maximum time from the arrival of the request to the end of its response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Time since the entries of the servers were last known to be current.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "entries_age_ms")]
    pub entries_age: Option<Duration>,
    /// The services that the route sends to, with their weights.
    pub services: Vec<ServiceDestination>,
}

/// The servers of one service as candidates for a request.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDestination {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests that it gets, relative to the others.
    pub weight: f64,
    /// The server that would be chosen now. Another choice may differ, since it
    /// has a random part.
    pub choice: Option<String>,
    /// Reason for which no server would be chosen.
    pub refusal: Option<String>,
    /// `Retry-After` of that refusal.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
    /// Slots of the servers that can be chosen.
    pub usable_slots: u32,
    /// In-flight requests of all hosts at these servers, as far as known.
    pub in_flight: u32,
    /// Number of servers in each state.
    pub states: Vec<(CandidateState, usize)>,
    /// The candidates with the lowest costs.
    pub candidates: Vec<CandidateReport>,
}

/// Answers a query with a [`DestinationReport`] in JSON.
pub(crate) fn explanation_page(context: &HostContext, head: &RequestHead) -> PageResponse {
    let Some(query) = parse_query(&head.target) else {
        return PageResponse::empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&explain_destination(context, &query)) {
        Ok(body) => PageResponse {
            status: StatusCode::OK,
            media_type: "application/json",
            body,
        },
        Err(err) => {
            slog::warn!(context.log, "explanation not encoded"; "error" => err.to_string());
            PageResponse::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Decodes the query of a request target; `None` if a field is unknown.
fn parse_query(target: &str) -> Option<DestinationQuery> {
    let (_, pairs) = target.split_once('?')?;
    let mut query = DestinationQuery::default();
    for pair in pairs.split('&') {
        let (field, value) = pair.split_once('=')?;
        let value = value.replace('+', " ");
        let value = percent_decode_str(&value).decode_utf8().ok()?.into_owned();
        match field {
            "host" => query.host = value,
            "path" => query.path = value,
            "workspace" => query.workspace = Some(value),
            _ => return None,
        }
    }
    Some(query)
}

fn explain_destination(context: &HostContext, query: &DestinationQuery) -> DestinationReport {
    let now = clock::now();
    let entries = context.tables.borrow().of(FleetTable::Servers).confirmed;
    let mut report = DestinationReport {
        asked_host: context.settings.host.clone(),
        zone: context.settings.zone.clone(),
        entries_age: entries.map(|confirmed| now.since(confirmed)),
        ..Default::default()
    };
    let refuse = |mut report: DestinationReport, reason: &str| {
        report.refusal = Some(reason.to_owned());
        report
    };
    let Some(snapshot) = context.snapshot().filter(|_| context.is_initialized()) else {
        return refuse(report, "not-ready");
    };
    report.version = Some(snapshot.version());
    let Some(route) = snapshot.literal_route(&query.host, &query.path) else {
        return refuse(report, "no-route");
    };
    let workspace = query.workspace.as_deref();
    report.route = Some(route.name.clone());
    report.is_idempotent = route.kind == RequestKind::Idempotent;
    report.priority = snapshot.priority_of(route, workspace);
    report.deadline = route.deadline;
    let limit = workspace.and_then(|name| snapshot.workspace_limit(name));
    report.limit_per_s = limit.map(|limit| limit.rate_per_s);
    if snapshot.is_disabled(route, workspace) {
        return refuse(report, "misconfigured");
    }
    if workspace.is_some_and(|name| !snapshot.may_use(route, name)) {
        return refuse(report, "not-granted");
    }
    report.services = destinations(context, &snapshot, route, report.priority, now);
    report
}

fn destinations(
    context: &HostContext,
    snapshot: &Snapshot,
    route: &Route,
    priority: u32,
    now: MonotonicTime,
) -> Vec<ServiceDestination> {
    let parts: Vec<(&str, f64)> = match route.split.is_empty() {
        true => vec![(route.service.as_str(), 1.0)],
        false => {
            let split = route.split.iter();
            split
                .map(|part| (part.service.as_str(), part.weight))
                .collect()
        }
    };
    let known = parts
        .into_iter()
        .filter_map(|(name, weight)| Some((snapshot.service(name)?, weight)));
    known
        .map(|(service, weight)| ServiceDestination {
            weight,
            ..destination(context, route, service, priority, now)
        })
        .collect()
}

fn destination(
    context: &HostContext,
    route: &Route,
    service: &Service,
    priority: u32,
    now: MonotonicTime,
) -> ServiceDestination {
    let hosts = context.hosts.borrow();
    let mut allowance = context.allowance.borrow_mut();
    let request = ChoiceRequest {
        service: &service.name,
        kind: route.kind,
        zone: &context.settings.zone,
        tried: &[],
        priority,
        time_left: route.deadline,
        own_rate_per_s: allowance.request_rate(&service.name, now),
        sees_peer_traffic: hosts.sees_peer_traffic(now),
        may_retry: true,
    };
    let pool = context.pool.borrow();
    let is_connected = |key| context.connections.has(key, route.kind, now);
    let mut random = context.random.borrow_mut();
    let choice = pool.choose(
        request,
        service.cold_rate_per_s,
        is_connected,
        &mut *random,
        now,
    );
    let mut candidates =
        pool.explain_candidates(request, service.cold_rate_per_s, is_connected, now);
    let mut report = ServiceDestination {
        service: service.name.clone(),
        ..Default::default()
    };
    match choice {
        ServerChoice::Send(key) => report.choice = pool.entry(key).map(|entry| entry.id.clone()),
        ServerChoice::Refuse(reason, after) => {
            report.refusal = Some(reason.as_str().to_owned());
            report.retry_after = Some(after);
        }
    }
    for candidate in &candidates {
        match report
            .states
            .iter_mut()
            .find(|(state, _)| *state == candidate.state)
        {
            Some((_, count)) => *count += 1,
            None => report.states.push((candidate.state, 1)),
        }
        if candidate.state == CandidateState::Usable {
            report.usable_slots += candidate.slots;
            report.in_flight += candidate.in_flight;
        }
    }
    candidates.truncate(CANDIDATES_MAX);
    report.candidates = candidates;
    report
}
