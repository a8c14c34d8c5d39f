use std::sync::atomic::Ordering;

use {
    mangostep_objects::{NormalPath, RouteAccess, Snapshot},
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
    },
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

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<HostContext>);

impl RunningGuard {
    fn open(context: &Arc<HostContext>) -> Self {
        context.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard(context.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
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
        data: Data<'r>,
    ) -> Result<Response<'r>, Refusal> {
        let _running = RunningGuard::open(&self.context);
        let arrival = self.context.clock.now();
        if header_bytes(request) > self.context.settings.header_bytes {
            return Err(Refusal::not_run(431, "headers-too-large"));
        }
        let raw_path = request.uri().path().as_str();
        if raw_path == "/_mangostep/entry" {
            return Ok(answer_lookup(&self.context, request));
        }
        if self.context.leaving.load(Ordering::Acquire) {
            return Err(Refusal::not_run(503, "host-leaving"));
        }
        let path = NormalPath::parse(raw_path).ok_or(Refusal::not_run(400, "path-unclear"))?;
        let snapshot = self.context.snapshot.load_full();
        if snapshot.version() == 0 {
            return Err(Refusal::not_run(503, "no-configuration"));
        }
        let host = request.headers().get_one("host").unwrap_or_default();
        let target = snapshot
            .route(host, &path, request.method().as_str())
            .ok_or(Refusal::not_run(404, "no-route"))?;
        let workspace = match target.route.access {
            RouteAccess::Open => None,
            RouteAccess::Keyed => Some(self.workspace(&snapshot, request)?),
        };
        if workspace.is_some_and(|name| !snapshot.may_use(target.route, name)) {
            return Err(Refusal::not_run(403, "route-not-granted"));
        }
        let deadline = arrival + target.route.deadline;
        let declared = request.headers().get_one("content-length");
        let declared = match declared {
            Some(text) => Some(
                text.parse()
                    .map_err(|_| Refusal::not_run(400, "bad-length"))?,
            ),
            None if request.headers().contains("transfer-encoding") => None,
            None => Some(0),
        };
        let body = CallerBody::take(data, declared, &self.context).await?;
        if let Some(workspace) = workspace {
            self.peer.admit(workspace, deadline).await?;
        }
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
        forward(self, job, body).await
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
            .workspace_of(key.as_bytes())
            .ok_or(Refusal::not_run(401, "unknown-key"))
    }
}

#[rocket::async_trait]
impl Handler for EntryHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.serve(request, data).await {
            Ok(response) => Outcome::Success(response),
            Err(refusal) => Outcome::Success(refusal.into_response()),
        }
    }
}
