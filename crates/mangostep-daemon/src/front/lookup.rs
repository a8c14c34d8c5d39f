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
    limits::home_hosts, prelude::*,
};

/// JSON answer to `GET /_mangostep/entry`.
#[derive(Debug, Serialize)]
struct EntryAnswer {
    /// IP addresses with ports, in order of preference.
    addresses: Vec<String>,
    /// Time for which callers may cache this answer, in milliseconds.
    keep_ms: u64,
}

/// Hosts with more than this multiple of the mean number of in-flight requests
/// are omitted.
const LOAD_FACTOR_MAX: u64 = 3;

/// Hosts with at most this number of in-flight requests are not omitted for
/// their load.
const LOADED_REQUESTS_MIN: u64 = 64;

/// Answers a look-up with the hosts that a caller should use.
///
/// Hosts with a limit home of the presented key's workspace come first, so
/// that tokens are taken without a message to another host; hosts in the
/// answering host's availability zone are next. Hosts that are leaving, have
/// missed renewals, are overloaded, or are in a zone out of service are
/// omitted.
pub(crate) fn answer_lookup(context: &HostContext, request: &Request<'_>) -> Response<'static> {
    let fleet = context.fleet.load();
    let snapshot = context.snapshot.load();
    let zone = &context.settings.zone;
    let running: u64 = fleet.hosts.iter().map(|host| host.running).sum();
    let mean = running / (fleet.hosts.len() as u64).max(1);
    let load_max = (mean * LOAD_FACTOR_MAX).max(LOADED_REQUESTS_MIN);
    let is_listed = |host: &&PeerHost| {
        !host.leaving
            && !host.silent
            && host.running <= load_max
            && !is_zone_out(&snapshot, &host.zone)
    };
    let mut hosts: Vec<&PeerHost> = fleet.hosts.iter().filter(is_listed).collect();
    // Hosts of equal preference are in random order, to spread the callers.
    hosts.shuffle(&mut rand::rng());
    let homes = workspace_home_hosts(context, request);
    hosts.sort_by_key(|host| {
        let is_home = homes.contains(&host.name);
        let is_own_zone = host.zone == *zone;
        (!is_home, !is_own_zone)
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

/// Returns the hosts of the limit homes of the workspace whose key was
/// presented; none without a valid key.
fn workspace_home_hosts(context: &HostContext, request: &Request<'_>) -> Vec<String> {
    let snapshot = context.snapshot.load();
    let workspace =
        presented_key(request).and_then(|key| snapshot.workspace_for_key(key.as_bytes()));
    workspace.map_or_else(Vec::new, |workspace| home_hosts(context, workspace))
}
