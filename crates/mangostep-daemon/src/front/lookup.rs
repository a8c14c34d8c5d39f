use std::sync::atomic::Ordering;

use {
    rocket::{
        Request, Response,
        http::{Header, Status},
    },
    serde::Serialize,
};

use crate::{front::headers::presented_key, limits::homes_of, prelude::*};

/// The answer to `GET /_mangostep/entry`.
#[derive(Debug, Serialize)]
struct EntryAnswer {
    /// IP numbers and ports, best first.
    addresses: Vec<String>,
    /// How long to keep this answer, in milliseconds.
    keep_ms: u64,
}

/// Names the hosts that a caller should use.
///
/// The homes of the limit of a presented key's workspace come first, so that
/// tokens are taken without a message; then hosts of the asked host's own
/// availability zone. Hosts that leave or whose lease lapsed are left out.
pub(crate) fn answer_lookup(context: &HostContext, request: &Request<'_>) -> Response<'static> {
    let fleet = context.fleet.load();
    let zone = &context.settings.zone;
    let mut hosts: Vec<_> = fleet.hosts.iter().filter(|host| !host.leaving).collect();
    let homes = homes_for(context, request);
    hosts.sort_by_key(|host| {
        let is_home = homes.contains(&host.name);
        let is_near = host.zone == *zone;
        (!is_home, !is_near, host.name != context.settings.host)
    });
    let mut addresses: Vec<String> = hosts.iter().map(|host| host.front.to_string()).collect();
    if addresses.is_empty()
        && !context.leaving.load(Ordering::Acquire)
        && let Some(own) = context.addresses.get()
    {
        addresses.push(own.front.to_string());
    }
    let keep_ms = u64::try_from(context.settings.lookup_keep.as_millis()).unwrap_or(u64::MAX);
    let body = serde_json::to_string(&EntryAnswer { addresses, keep_ms }).unwrap_or_default();
    Response::build()
        .status(Status::Ok)
        .header(Header::new("content-type", "application/json"))
        .header(Header::new("cache-control", "no-store"))
        .sized_body(body.len(), std::io::Cursor::new(body))
        .finalize()
}

/// The homes of the workspace whose key came with a look-up.
fn homes_for(context: &HostContext, request: &Request<'_>) -> Vec<String> {
    let snapshot = context.snapshot.load();
    let workspace = presented_key(request).and_then(|key| snapshot.workspace_of(key.as_bytes()));
    workspace.map_or_else(Vec::new, |workspace| homes_of(context, workspace))
}
