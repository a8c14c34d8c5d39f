use std::cell::Cell;

use {
    http::header,
    mangostep_http::CallerRequest,
    mangostep_objects::{RequestKind, Route, RouteAccess, Service, Snapshot},
    mangostep_policy::{TokenVerdict, TrafficSplitter},
    rand::RngExt,
    slog::{info, warn},
    tokio::time::Instant,
};

use crate::{
    clock,
    forward::{
        MEMORY_RETRY_AFTER, ResponseReservation,
        refusal::{FrontResponse, Refusal},
        sender::{self, RequestSender},
        waiting::RequestAdmission,
    },
    peers,
    prelude::*,
};

/// A caller's request and the state of its connection.
pub(crate) struct ForwardRequest {
    pub(crate) caller_request: CallerRequest,
    pub(crate) arrived: Instant,
    /// Set when the caller disconnects.
    pub(crate) is_abandoned: Rc<Cell<bool>>,
}

/// Route, service, workspace and deadline of a request according to the
/// configuration.
pub(crate) struct PlannedRequest<'s> {
    pub(crate) route: &'s Route,
    pub(crate) service: &'s Service,
    pub(crate) workspace: Option<&'s str>,
    pub(crate) priority: u32,
    pub(crate) deadline: Instant,
}

/// Sends and outcome of a request, collected for its log line.
#[derive(Default)]
pub(crate) struct RequestTrace {
    pub(crate) sends: u32,
    pub(crate) servers: String,
    pub(crate) chance: f64,
    pub(crate) detail: &'static str,
    /// Servers that were passed over because the rate limit that they state
    /// was reached.
    pub(crate) limited: String,
    /// The limit home that denied a token, or `alone` if this host denied it
    /// without a limit home.
    pub(crate) home: String,
    /// What the denial of a token is based on.
    pub(crate) limit_source: &'static str,
    /// Time since a limit home last responded, at the denial.
    pub(crate) limit_age: Option<Duration>,
    /// Number of sends to servers that this host knew to be in cold start.
    pub(crate) cold_sends: u32,
    /// Time since the backend servers' entries were last known to be current,
    /// at the last send.
    pub(crate) entries_age: Option<Duration>,
}

impl RequestTrace {
    pub(crate) fn record_send(&mut self, server: &str) {
        self.sends += 1;
        push_word(&mut self.servers, server);
    }

    /// Records that a server was passed over because of its rate limit.
    pub(crate) fn record_limited(&mut self, server: &str) {
        push_word(&mut self.limited, server);
    }
}

fn push_word(list: &mut String, word: &str) {
    if !list.is_empty() {
        list.push(' ');
    }
    list.push_str(word);
}

/// Forwards a caller's request and logs the outcome.
pub(crate) async fn forward(context: &Rc<HostContext>, request: ForwardRequest) -> FrontResponse {
    context.request_counter.borrow_mut().add(clock::now());
    let Some(snapshot) = context.snapshot().filter(|_| context.is_initialized()) else {
        return Refusal::NotReady.response();
    };
    let mut trace = RequestTrace::default();
    let (result, planned) = match plan(context, &snapshot, &request) {
        Ok(planned) => {
            let result = admit_and_send(context, &snapshot, &request, &planned, &mut trace).await;
            (result, Some(planned))
        }
        Err(refusal) => (Err(refusal), None),
    };
    log_end(
        context,
        &snapshot,
        &request,
        planned.as_ref(),
        &result,
        &trace,
    );
    result.unwrap_or_else(Refusal::response)
}

/// Determines the route, workspace, service and deadline of a request.
fn plan<'s>(
    context: &HostContext,
    snapshot: &'s Snapshot,
    request: &ForwardRequest,
) -> Result<PlannedRequest<'s>, Refusal> {
    let head = &request.caller_request.head;
    let host = head.header("host").unwrap_or_default();
    let route = snapshot.literal_route(host, head.path());
    let route = route.ok_or(Refusal::NoRoute)?;
    if snapshot.is_disabled(route, None) {
        return Err(Refusal::Misconfigured);
    }
    let workspace = match route.access {
        RouteAccess::Open => None,
        RouteAccess::Keyed => {
            let key = head.headers.get(header::AUTHORIZATION);
            let key = key.and_then(|value| bearer_token(value.as_bytes()));
            let name = key.and_then(|key| snapshot.workspace_for_key(key));
            Some(name.ok_or(Refusal::BadKey)?)
        }
    };
    if snapshot.is_disabled(route, workspace) {
        return Err(Refusal::Misconfigured);
    }
    if workspace.is_some_and(|name| !snapshot.may_use(route, name)) {
        return Err(Refusal::NotGranted);
    }
    let service = split_service(context, route);
    let service = snapshot.service(service).ok_or(Refusal::Misconfigured)?;
    let requested = head.header(&service.dialect.deadline_header);
    let requested = requested.and_then(|text| text.trim().parse().ok());
    let timeout = requested.map_or(route.deadline, |millis| {
        Duration::from_millis(millis).min(route.deadline)
    });
    Ok(PlannedRequest {
        route,
        service,
        workspace,
        priority: snapshot.priority_of(route, workspace),
        deadline: request.arrived + timeout,
    })
}

/// Returns the token of an `Authorization` value with the `Bearer` scheme.
fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked(7)?;
    let is_bearer = scheme.eq_ignore_ascii_case(b"bearer ");
    is_bearer.then(|| token.trim_ascii())
}

/// Returns the service for the next request of a route, according to the
/// traffic split.
fn split_service<'r>(context: &HostContext, route: &'r Route) -> &'r str {
    if route.split.is_empty() {
        return &route.service;
    }
    let mut splitters = context.splitters.borrow_mut();
    let splitter = splitters.entry(route.name.clone()).or_insert_with(|| {
        let start = context.random.borrow_mut().random_range(0.0..1.0);
        TrafficSplitter::open(start)
    });
    splitter.pick(&route.split).unwrap_or(&route.service)
}

async fn admit_and_send(
    context: &Rc<HostContext>,
    snapshot: &Snapshot,
    request: &ForwardRequest,
    planned: &PlannedRequest<'_>,
    trace: &mut RequestTrace,
) -> Result<FrontResponse, Refusal> {
    let shutdown = context.shutdown.get();
    if shutdown.is_some_and(|shutdown| !shutdown.allows(planned.deadline)) {
        return Err(Refusal::Stopping);
    }
    let service = &planned.service.name;
    let expected = context.response_sizes.borrow().expected(service);
    let Some(mut reservation) = ResponseReservation::open(context, expected) else {
        context.counters.count("response-refused", &[]);
        trace.detail = "no memory for the answer";
        return Err(Refusal::NoCapacity(MEMORY_RETRY_AFTER));
    };
    if let Some(name) = planned.workspace
        && let Some(limit) = snapshot.workspace_limit(name)
    {
        let decision = peers::acquire_workspace_token(context, name, limit).await;
        if let TokenVerdict::Denied(after) = decision.verdict {
            trace.limit_source = decision.source;
            trace.limit_age = decision.answer_age;
            trace.home = decision.home.unwrap_or_else(|| "alone".to_owned());
            // Requests over the rate limit count among those that the service
            // did not serve.
            let mut pool = context.pool.borrow_mut();
            pool.record_ended(service, false, 0.0, clock::now());
            return Err(Refusal::OverRate(after));
        }
    }
    context
        .allowance
        .borrow_mut()
        .record_request(service, clock::now());
    let mut result = match RequestAdmission::open(context, request, planned) {
        Ok(admission) => {
            RequestSender::open(context, request, planned, admission)
                .run(trace)
                .await
        }
        Err(after) => {
            trace.detail = "beyond share";
            Err(Refusal::NoCapacity(after))
        }
    };
    if let Ok(response) = &mut result {
        let bytes = response.body.len() as u64;
        let mut sizes = context.response_sizes.borrow_mut();
        sizes.record(service, bytes);
        reservation.resize(bytes);
        response.reservation = Some(reservation);
    }
    let is_served = matches!(&result, Ok(response) if !response.status.is_server_error());
    let mut pool = context.pool.borrow_mut();
    pool.record_ended(service, is_served, trace.chance, clock::now());
    result
}

fn log_end(
    context: &HostContext,
    snapshot: &Snapshot,
    request: &ForwardRequest,
    planned: Option<&PlannedRequest<'_>>,
    result: &Result<FrontResponse, Refusal>,
    trace: &RequestTrace,
) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(refusal) => refusal.as_str(),
    };
    let status = result
        .as_ref()
        .map_or_else(|refusal| refusal.status(), |response| response.status);
    if let Some(planned) = planned.filter(|_| result.is_ok()) {
        let service = &planned.service.name;
        let latency = request.arrived.elapsed();
        context.counters.record_latency(service, latency);
    }
    context
        .counters
        .count("request-ended", &[("outcome", outcome)]);
    let head = &request.caller_request.head;
    let route = planned.map_or("", |planned| planned.route.name.as_str());
    let workspace = planned
        .and_then(|planned| planned.workspace)
        .unwrap_or_default();
    let kind = match planned.map(|planned| planned.route.kind) {
        Some(RequestKind::Idempotent) => "idempotent",
        Some(RequestKind::NonIdempotent) => "non-idempotent",
        None => "",
    };
    let values = slog::o!(
        "id" => head.header(sender::ID_HEADER).unwrap_or_default().to_owned(),
        "route" => route.to_owned(),
        "workspace" => workspace.to_owned(),
        "kind" => kind,
        "version" => snapshot.version(),
        "outcome" => outcome,
        "status" => status.as_u16(),
        "detail" => trace.detail,
        "sends" => trace.sends,
        "servers" => trace.servers.clone(),
        "limited" => trace.limited.clone(),
        "home" => trace.home.clone(),
        "limit_source" => trace.limit_source,
        "limit_age_ms" => trace.limit_age.map(|age| age.as_millis() as u64),
        "chance" => (trace.chance * 1000.0).round() / 1000.0,
        "cold_sends" => trace.cold_sends,
        "entries_age_ms" => trace.entries_age.map(|age| age.as_millis() as u64),
        "ms" => request.arrived.elapsed().as_millis() as u64,
    );
    // The line budget of the log reserves a share for warnings.
    match status.is_success() {
        true => info!(context.log, "request ended"; values),
        false => warn!(context.log, "request ended"; values),
    }
}

/// Whether a request may run more than once.
pub(crate) fn is_idempotent(planned: &PlannedRequest<'_>) -> bool {
    planned.route.kind == RequestKind::Idempotent
}
