use std::sync::atomic::Ordering;

use {
    mangostep_objects::{NormalPath, Route, RouteAccess, Snapshot},
    mangostep_telemetry::HostCounters,
    rocket::{
        Data, Request, Response,
        route::{Handler, Outcome},
    },
};

use crate::{
    back::BackSender,
    front::{
        body::CallerBody,
        forward::{ForwardJob, forward},
        headers::{header_bytes, presented_key},
        in_flight::InFlightGuard,
        lookup::answer_lookup,
    },
    limits::LimitName,
    peer::PeerRing,
    prelude::*,
    refusal::Refusal,
};

/// Rocket handler for all requests of callers.
#[derive(Clone, Debug)]
pub(crate) struct EntryHandler {
    pub(crate) context: Arc<HostContext>,
    pub(crate) peer: PeerRing,
    pub(crate) back: BackSender,
}

impl EntryHandler {
    pub(crate) fn new(context: Arc<HostContext>, peer: PeerRing, back: BackSender) -> Self {
        EntryHandler {
            context,
            peer,
            back,
        }
    }

    async fn serve<'r>(
        &self,
        request: &'r Request<'_>,
        mut data: Data<'r>,
        arrival: MonotonicTime,
        labels: &mut RequestLabels,
    ) -> Result<Response<'r>, Refusal> {
        if header_bytes(request) > self.context.settings.header_bytes {
            return Err(Refusal::not_run(431, "headers-too-large"));
        }
        let raw_path = request.uri().path().as_str();
        if raw_path == "/_mangostep/entry" {
            return Ok(answer_lookup(&self.context, request));
        }
        // Counted before the check of `draining`: once a graceful shutdown has
        // set it and sees a count of zero, no further request is admitted.
        let in_flight = InFlightGuard::open(&self.context);
        if self.context.draining.load(Ordering::Acquire) {
            return Err(Refusal::not_run(503, "host-leaving"));
        }
        if self.context.zone_closed.load(Ordering::Acquire) {
            return Err(Refusal::not_run(503, "zone-out"));
        }
        refuse_overridden_method(request, &mut data).await?;
        let path = NormalPath::parse(raw_path).ok_or(Refusal::not_run(400, "path-unclear"))?;
        let snapshot = self.context.snapshot.load_full();
        if snapshot.version() == 0 {
            return Err(Refusal::not_run(503, "no-configuration"));
        }
        let host = request.headers().get_one("host").unwrap_or_default();
        let target = snapshot
            .route(host, &path, request.method().as_str())
            .ok_or(Refusal::not_run(404, "no-route"))?;
        labels.service.clone_from(&target.service.name);
        let workspace = match target.route.access {
            RouteAccess::Open => None,
            RouteAccess::Keyed => Some(self.workspace(&snapshot, request)?),
        };
        if workspace.is_some_and(|name| !snapshot.may_use(target.route, name)) {
            return Err(Refusal::not_run(403, "route-not-granted"));
        }
        let limit = workspace.and_then(|name| snapshot.workspace_limit(name));
        labels.limit = limit.map(|limit| limit.name.clone()).unwrap_or_default();
        let deadline = arrival + target.route.deadline;
        let declared = declared_length(request)?;
        let time_left = deadline.since(self.context.clock.now());
        let receiving = CallerBody::receive(data, declared, &self.context);
        let body = tokio::time::timeout(time_left, receiving)
            .await
            .map_err(|_| Refusal::not_run(408, "body-late"))??;
        if let Some(workspace) = workspace {
            self.recheck_key(&snapshot, request, workspace)?;
        }
        let limit_name = match workspace {
            Some(workspace) => Some(LimitName::of_workspace(workspace)),
            None => open_route_limit(target.route),
        };
        let request_id = format!(
            "{:016x}{:016x}",
            self.context.incarnation,
            rand::random::<u64>()
        );
        let job = ForwardJob {
            request,
            path: &path,
            target,
            workspace,
            deadline,
            request_id: &request_id,
        };
        forward(self, job, limit_name, body, in_flight).await
    }

    /// Checks the key again if the configuration changed while the body was
    /// received, so that a withdrawn key is refused for slow callers too.
    fn recheck_key(
        &self,
        checked: &Snapshot,
        request: &Request<'_>,
        workspace: &str,
    ) -> Result<(), Refusal> {
        let current = self.context.snapshot.load();
        if current.version() == checked.version() {
            return Ok(());
        }
        match self.workspace(&current, request)? {
            same if same == workspace => Ok(()),
            _ => Err(Refusal::not_run(401, "unknown-key")),
        }
    }

    fn workspace<'s>(
        &self,
        snapshot: &'s Snapshot,
        request: &Request<'_>,
    ) -> Result<&'s str, Refusal> {
        let key = presented_key(request).ok_or(Refusal::not_run(401, "no-key"))?;
        if !self.context.standing.is_fresh(self.context.clock.now()) {
            return Err(Refusal::not_run(503, "host-not-fresh"));
        }
        snapshot
            .workspace_for_key(key.as_bytes())
            .ok_or(Refusal::not_run(401, "unknown-key"))
    }
}

#[rocket::async_trait]
impl Handler for EntryHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let arrival = self.context.clock.now();
        let mut labels = RequestLabels::default();
        let result = self.serve(request, data, arrival, &mut labels).await;
        let latency = self.context.clock.now().since(arrival);
        labels.count(&self.context.counters, &result, latency);
        match result {
            Ok(response) => Outcome::Success(response),
            Err(refusal) => Outcome::Success(refusal.into_response()),
        }
    }
}

/// Labels under which requests are counted.
#[derive(Debug, Default)]
struct RequestLabels {
    /// Empty if no route matched the request.
    service: String,
    /// Name of the workspace's limit, which a group of workspaces may share.
    limit: String,
}

impl RequestLabels {
    fn count(
        &self,
        counters: &HostCounters,
        result: &Result<Response<'_>, Refusal>,
        latency: Duration,
    ) {
        let (outcome, reason) = match result {
            Ok(response) if response.status().code >= 500 => ("answered", "server-error"),
            Ok(_) => ("answered", "whole"),
            Err(refusal) => (refusal.run.as_str(), refusal.reason),
        };
        counters.count_request(&[
            ("service", &self.service),
            ("limit", &self.limit),
            ("outcome", outcome),
            ("reason", reason),
        ]);
        if result.is_ok() {
            counters.record_latency(&self.service, latency);
        }
    }
}

/// Returns the limit name of an open route, if it has a limit.
fn open_route_limit(route: &Route) -> Option<LimitName> {
    let is_limited = route.access == RouteAccess::Open && route.limit.is_some();
    is_limited.then(|| LimitName::of_route(&route.name))
}

/// Refuses forms by which Rocket overrides the request's method.
///
/// Rocket treats a POST whose form begins with `_method` as a request of that
/// method, so that it would match another route and could be retried.
async fn refuse_overridden_method(
    request: &Request<'_>,
    data: &mut Data<'_>,
) -> Result<(), Refusal> {
    /// Number of bytes that Rocket inspects.
    const PEEKED_BYTES_MAX: usize = "_method=delete".len();
    if !request.content_type().is_some_and(|kind| kind.is_form()) {
        return Ok(());
    }
    // Rocket skips empty fields.
    let peeked = data.peek(PEEKED_BYTES_MAX).await;
    let first = peeked.iter().position(|byte| *byte != b'&');
    let form = &peeked[first.unwrap_or(peeked.len())..];
    match form.starts_with(b"_method") {
        true => Err(Refusal::not_run(400, "method-override")),
        false => Ok(()),
    }
}

/// Returns the length of a request's body if the caller declares it; 0 if the
/// request has no body.
fn declared_length(request: &Request<'_>) -> Result<Option<u64>, Refusal> {
    if request.headers().contains("transfer-encoding") {
        return Ok(None);
    }
    let Some(text) = request.headers().get_one("content-length") else {
        return Ok(Some(0));
    };
    let length = text
        .parse()
        .map_err(|_| Refusal::not_run(400, "bad-length"))?;
    Ok(Some(length))
}
