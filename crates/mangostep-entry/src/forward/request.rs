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
        refusal::{FrontAnswer, Refusal},
        sending::{self, Sending},
    },
    peers,
    prelude::*,
};

/// A request of a caller, with what is known of its caller.
pub(crate) struct ForwardRequest {
    pub(crate) request: CallerRequest,
    pub(crate) arrived: Instant,
    /// Set once the caller has left.
    pub(crate) is_abandoned: Rc<Cell<bool>>,
}

/// The way that the configuration sets out for a request.
pub(crate) struct PlannedRequest<'s> {
    pub(crate) route: &'s Route,
    pub(crate) service: &'s Service,
    pub(crate) workspace: Option<&'s str>,
    pub(crate) priority: u32,
    pub(crate) deadline: Instant,
}

/// How a request ended, for its log line.
#[derive(Default)]
pub(crate) struct RequestStory {
    pub(crate) sends: u32,
    pub(crate) servers: String,
    pub(crate) chance: f64,
    pub(crate) detail: &'static str,
    /// The host that denied a token, or `alone` where this one did.
    pub(crate) home: String,
}

impl RequestStory {
    /// Takes note of a send to a server.
    pub(crate) fn note_send(&mut self, server: &str) {
        self.sends += 1;
        if !self.servers.is_empty() {
            self.servers.push(' ');
        }
        self.servers.push_str(server);
    }
}

/// Answers one request of a caller.
pub(crate) async fn forward(context: &Rc<HostContext>, request: ForwardRequest) -> FrontAnswer {
    context.requests.borrow_mut().add(clock::now());
    let Some(snapshot) = context.snapshot().filter(|_| context.knows_enough()) else {
        return Refusal::NotReady.answer();
    };
    let mut story = RequestStory::default();
    let (answer, planned) = match plan(context, &snapshot, &request) {
        Ok(planned) => {
            let answer = run(context, &snapshot, &request, &planned, &mut story).await;
            (answer, Some(planned))
        }
        Err(refusal) => (Err(refusal), None),
    };
    log_end(
        context,
        &snapshot,
        &request,
        planned.as_ref(),
        &answer,
        &story,
    );
    answer.unwrap_or_else(Refusal::answer)
}

/// Finds route, workspace, service and deadline of a request.
fn plan<'s>(
    context: &HostContext,
    snapshot: &'s Snapshot,
    request: &ForwardRequest,
) -> Result<PlannedRequest<'s>, Refusal> {
    let head = &request.request.head;
    let host = head.text("host").unwrap_or_default();
    let route = snapshot.literal_route(host, head.path());
    let route = route.ok_or(Refusal::NoRoute)?;
    let workspace = match route.access {
        RouteAccess::Open => None,
        RouteAccess::Keyed => {
            let key = head.headers.get(header::AUTHORIZATION);
            let key = key.and_then(|value| bearer_token(value.as_bytes()));
            let name = key.and_then(|key| snapshot.workspace_of(key));
            Some(name.ok_or(Refusal::BadKey)?)
        }
    };
    if workspace.is_some_and(|name| !snapshot.may_use(route, name)) {
        return Err(Refusal::NotGranted);
    }
    let service = split_service(context, route);
    let service = snapshot.service(service).ok_or(Refusal::NoRoute)?;
    let told = head.text(&service.dialect.deadline_header);
    let told = told.and_then(|text| text.trim().parse().ok());
    let span = told.map_or(route.deadline, |millis| {
        Duration::from_millis(millis).min(route.deadline)
    });
    Ok(PlannedRequest {
        route,
        service,
        workspace,
        priority: snapshot.priority_of(route, workspace),
        deadline: request.arrived + span,
    })
}

/// The token of an `Authorization` value of the scheme `Bearer`.
fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked(7)?;
    let is_bearer = scheme.eq_ignore_ascii_case(b"bearer ");
    is_bearer.then(|| token.trim_ascii())
}

/// The service that takes the next request of a route.
fn split_service<'r>(context: &HostContext, route: &'r Route) -> &'r str {
    if route.split.is_empty() {
        return &route.service;
    }
    let mut splits = context.splits.borrow_mut();
    let turn = splits.entry(route.name.clone()).or_insert_with(|| {
        let start = context.random.borrow_mut().random_range(0.0..1.0);
        TrafficSplitter::open(start)
    });
    turn.pick(&route.split).unwrap_or(&route.service)
}

async fn run(
    context: &Rc<HostContext>,
    snapshot: &Snapshot,
    request: &ForwardRequest,
    planned: &PlannedRequest<'_>,
    story: &mut RequestStory,
) -> Result<FrontAnswer, Refusal> {
    let stop = context.stop.get();
    if stop.is_some_and(|stop| !stop.allows(planned.deadline)) {
        return Err(Refusal::Leaving);
    }
    let service = &planned.service.name;
    if let Some(name) = planned.workspace
        && let Some(limit) = snapshot.limit_of(name)
    {
        let answer = peers::ask_token(context, name, limit).await;
        if let TokenVerdict::Denied(after) = answer.verdict {
            story.home = answer.home.unwrap_or_else(|| "alone".to_owned());
            // Whoever counts what a service did not serve counts these too.
            let mut pool = context.pool.borrow_mut();
            pool.record_ended(service, false, 0.0, clock::now());
            return Err(Refusal::OverRate(after));
        }
    }
    context
        .allowance
        .borrow_mut()
        .record_request(service, clock::now());
    let answer = Sending::open(context, request, planned).run(story).await;
    let is_served = matches!(&answer, Ok(answer) if !answer.status.is_server_error());
    let mut pool = context.pool.borrow_mut();
    pool.record_ended(service, is_served, story.chance, clock::now());
    answer
}

fn log_end(
    context: &HostContext,
    snapshot: &Snapshot,
    request: &ForwardRequest,
    planned: Option<&PlannedRequest<'_>>,
    answer: &Result<FrontAnswer, Refusal>,
    story: &RequestStory,
) {
    let outcome = match answer {
        Ok(_) => "answered",
        Err(refusal) => refusal.as_str(),
    };
    let status = answer.as_ref().map_or_else(|r| r.status(), |a| a.status);
    if let Some(planned) = planned.filter(|_| answer.is_ok()) {
        let service = &planned.service.name;
        let latency = request.arrived.elapsed();
        context.counters.record_latency(service, latency);
    }
    context
        .counters
        .count("request-ended", &[("outcome", outcome)]);
    let head = &request.request.head;
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
        "id" => head.text(sending::ID_HEADER).unwrap_or_default().to_owned(),
        "route" => route.to_owned(),
        "workspace" => workspace.to_owned(),
        "kind" => kind,
        "version" => snapshot.version(),
        "outcome" => outcome,
        "status" => status.as_u16(),
        "detail" => story.detail,
        "sends" => story.sends,
        "servers" => story.servers.clone(),
        "home" => story.home.clone(),
        "chance" => (story.chance * 1000.0).round() / 1000.0,
        "ms" => request.arrived.elapsed().as_millis() as u64,
    );
    // Failures find room in the log before successes do.
    match status.is_success() {
        true => info!(context.log, "request ended"; values),
        false => warn!(context.log, "request ended"; values),
    }
}

/// Whether a request may run more than once.
pub(crate) fn is_idempotent(planned: &PlannedRequest<'_>) -> bool {
    planned.route.kind == RequestKind::Idempotent
}
