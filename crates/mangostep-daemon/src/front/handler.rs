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
    back::BackRing,
    front::{
        body::CallerBody,
        forward::{ForwardJob, forward},
        headers::{header_bytes, presented_key},
        lookup::answer_lookup,
        running::RunningGuard,
    },
    limits::LimitName,
    peer::PeerRing,
    prelude::*,
    refusal::Refusal,
};

/// Everything that Rocket asks of the entry host.
#[derive(Clone, Debug)]
pub(crate) struct EntryHandler {
    pub(crate) context: Arc<HostContext>,
    pub(crate) peer: PeerRing,
    pub(crate) back: BackRing,
}

impl EntryHandler {
    pub(crate) fn new(context: Arc<HostContext>, peer: PeerRing, back: BackRing) -> Self {
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
        // Counted before the check, so that a stop that sees no running
        // request after it began to drain misses none.
        let running = RunningGuard::open(&self.context);
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
        let left = deadline.since(self.context.clock.now());
        let taking = CallerBody::take(data, declared, &self.context);
        let body = tokio::time::timeout(left, taking)
            .await
            .map_err(|_| Refusal::not_run(408, "body-late"))??;
        if let Some(workspace) = workspace {
            self.check_again(&snapshot, request, workspace)?;
        }
        let counted = match workspace {
            Some(workspace) => Some(LimitName::of_workspace(workspace)),
            None => open_limit(target.route),
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
        forward(self, job, counted, body, running).await
    }

    /// Checks the key anew when the configuration changed while the body
    /// came, so that a withdrawn key is dead for slow callers too.
    fn check_again(
        &self,
        before: &Snapshot,
        request: &Request<'_>,
        workspace: &str,
    ) -> Result<(), Refusal> {
        let present = self.context.snapshot.load();
        if present.version() == before.version() {
            return Ok(());
        }
        match self.workspace(&present, request)? {
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

/// What requests are counted by.
#[derive(Debug, Default)]
struct RequestLabels {
    /// Empty when no route took the request.
    service: String,
    /// Name of the workspace's limit, which stands for a group of workspaces.
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

/// What the limit of an open route is counted for, when it names one.
fn open_limit(route: &Route) -> Option<LimitName> {
    let is_limited = route.access == RouteAccess::Open && route.limit.is_some();
    is_limited.then(|| LimitName::of_route(&route.name))
}

/// Refuses forms by which Rocket has changed the request's method.
///
/// Rocket takes a POST whose form begins with `_method` for a request of that
/// method, so that it would take another route and could be sent again.
async fn refuse_overridden_method(
    request: &Request<'_>,
    data: &mut Data<'_>,
) -> Result<(), Refusal> {
    /// As much as Rocket looks at.
    const PEEKED_BYTES: usize = "_method=delete".len();
    if !request.content_type().is_some_and(|kind| kind.is_form()) {
        return Ok(());
    }
    // Rocket passes over empty fields.
    let peeked = data.peek(PEEKED_BYTES).await;
    let first = peeked.iter().position(|byte| *byte != b'&');
    let form = &peeked[first.unwrap_or(peeked.len())..];
    match form.starts_with(b"_method") {
        true => Err(Refusal::not_run(400, "method-override")),
        false => Ok(()),
    }
}

/// The length of a request's body, when the caller declares it.
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
