use std::sync::atomic::Ordering;

use {
    rand::seq::SliceRandom,
    rocket::{
        Request, Response,
        http::{Header, Status},
    },
    serde::Serialize,
};

use crate::{
    context::PeerHost, front::headers::presented_key, front::zone_gate::is_zone_out,
    limits::homes_of, prelude::*,
};

/// The answer to `GET /_mangostep/entry`.
#[derive(Debug, Serialize)]
struct EntryAnswer {
    /// IP numbers and ports, best first.
    addresses: Vec<String>,
    /// How long to keep this answer, in milliseconds.
    keep_ms: u64,
}

/// A host that runs more than so many times the mean is left out.
const LOAD_FACTOR_MAX: u64 = 3;
/// A host that runs fewer requests is never left out for its load.
const LOADED_REQUESTS_MIN: u64 = 64;

/// Names the hosts that a caller should use.
///
/// The homes of the limit of a presented key's workspace come first, so that
/// tokens are taken without a message; then hosts of the asked host's own
/// availability zone. Hosts that leave, have not renewed lately, are loaded,
/// or stand in an availability zone that is out, are left out.
pub(crate) fn answer_lookup(context: &HostContext, request: &Request<'_>) -> Response<'static> {
    let fleet = context.fleet.load();
    let snapshot = context.snapshot.load();
    let zone = &context.settings.zone;
    let running: u64 = fleet.hosts.iter().map(|host| host.running).sum();
    let mean = running / (fleet.hosts.len() as u64).max(1);
    let load_max = (mean * LOAD_FACTOR_MAX).max(LOADED_REQUESTS_MIN);
    let is_named = |host: &&PeerHost| {
        !host.leaving
            && !host.silent
            && host.running <= load_max
            && !is_zone_out(&snapshot, &host.zone)
    };
    let mut hosts: Vec<&PeerHost> = fleet.hosts.iter().filter(is_named).collect();
    // Equals come in any order, so that callers spread over them.
    hosts.shuffle(&mut rand::rng());
    let homes = homes_for(context, request);
    hosts.sort_by_key(|host| {
        let is_home = homes.contains(&host.name);
        let is_near = host.zone == *zone;
        (!is_home, !is_near)
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
    let workspace =
        presented_key(request).and_then(|key| snapshot.workspace_for_key(key.as_bytes()));
    workspace.map_or_else(Vec::new, |workspace| homes_of(context, workspace))
}
