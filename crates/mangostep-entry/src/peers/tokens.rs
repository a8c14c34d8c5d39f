use std::{borrow::Cow, net::SocketAddr};

use {
    mangostep_objects::Limit,
    mangostep_policy::{
        HomeReply, HomeRequest, LedgerRequest, ServerEntry, StatedLimit, TokenReceipts,
        TokenVerdict,
    },
    slog::{info, warn},
    tokio::{sync::oneshot, time::timeout},
};

use crate::{
    clock,
    peers::{
        messages::{PeerMessage, TokenRequest, encode},
        receiving::receive_arrived,
        shares::acquire_share,
    },
    platform::FleetTable,
    prelude::*,
};

/// Timeouts for the response to a token request, one for each time it is sent.
///
/// A response takes a few milliseconds, but it may wait behind a response of
/// several hundred kilobytes on a link of 10 Mbit/s. A wait costs less than a
/// second home that grants tokens at the same time.
const RESPONSE_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(70),
    Duration::from_millis(200),
];

/// Timeouts for the response to a request for a server's token. Without a
/// response, another server takes the caller's request.
const SERVER_RESPONSE_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(30), Duration::from_millis(70)];

/// Maximum number of limit homes that are tried for one token before the host
/// decides alone.
const HOMES_MAX: usize = 2;

/// Time for which a limit home that did not respond is skipped. Within two
/// seconds a failed home is removed from the lists of hosts.
const HOME_SKIP_TIME: Duration = Duration::from_millis(500);

/// Idle time after which the bucket of a server is discarded. The server may
/// have left.
const BUCKET_IDLE_TIME: Duration = Duration::from_secs(60);

/// Minimum number of hosts among which a limit is split while no limit home
/// responds, since this host may know only few of them.
const SPLIT_HOSTS_MIN: usize = 8;

/// Least change of the share of the limits that is logged.
const LOGGED_SHARE_STEP: f64 = 0.1;

/// A token bucket that all hosts share, and how long to wait for its home.
struct SharedBucket<'a> {
    name: &'a str,
    rate_per_s: f64,
    burst: f64,
    homes_max: usize,
    response_timeouts: &'static [Duration],
}

/// The decision on a token, and the limit home that made it.
pub(crate) struct TokenDecision {
    pub(crate) verdict: TokenVerdict,
    /// The limit home of the bucket. `None` if this host decided alone, on
    /// its own part of the limit.
    pub(crate) home: Option<String>,
    /// What the decision is based on: `home`, `allowance`, or `unheard` if no
    /// home responded.
    pub(crate) source: &'static str,
    /// Time since a limit home last responded to this host, if it keeps shares.
    pub(crate) answer_age: Option<Duration>,
}

/// Acquires a token of a workspace from its limit home.
///
/// While no home responds, this host grants tokens from its own part of the
/// limit.
pub(crate) async fn acquire_workspace_token(
    context: &HostContext,
    workspace: &str,
    limit: &Limit,
) -> TokenDecision {
    if let Some(shares) = &context.peers.shares {
        return acquire_share(context, shares, workspace, limit).await;
    }
    let bucket = SharedBucket {
        name: workspace,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        homes_max: HOMES_MAX,
        response_timeouts: &RESPONSE_TIMEOUTS,
    };
    acquire_token(context, &bucket).await
}

/// Acquires a token of a backend server that states a rate limit, from the
/// limit home of the server. A denial without a response from the home lasts
/// until another home is tried.
pub(crate) async fn acquire_server_token(
    context: &HostContext,
    server: &ServerEntry,
    limit: StatedLimit,
) -> TokenVerdict {
    // No name of a workspace contains a control character.
    let name = format!("\u{1}{} {}", server.id, server.started_ms);
    let bucket = SharedBucket {
        name: &name,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        homes_max: 1,
        response_timeouts: &SERVER_RESPONSE_TIMEOUTS,
    };
    let decision = acquire_token(context, &bucket).await;
    match decision.verdict {
        TokenVerdict::Denied(after) if decision.home.is_none() => {
            TokenVerdict::Denied(after.min(HOME_SKIP_TIME))
        }
        verdict => verdict,
    }
}

async fn acquire_token(context: &HostContext, bucket: &SharedBucket<'_>) -> TokenDecision {
    let (homes, mut skipped) = homes_to_ask(context, bucket);
    for home in homes {
        if let Some(decision) = ask_home(context, bucket, &home, &skipped).await {
            return decision;
        }
        skipped.push(home.name);
    }
    context.counters.count("token-asked-alone", &[]);
    // Any number of hosts may be partitioned from the homes.
    let hosts = context.hosts.borrow().rows().count().max(SPLIT_HOSTS_MIN) as f64;
    let local_bucket = format!("{} alone", bucket.name);
    let id = (context.incarnation, next_request_id(context));
    let request = LedgerRequest {
        is_alone: true,
        ..LedgerRequest::open(id, &local_bucket, bucket.rate_per_s / hosts, 1.0)
    };
    TokenDecision {
        verdict: context.ledger.borrow_mut().acquire(request, clock::now()),
        home: None,
        source: "unheard",
        answer_age: None,
    }
}

/// A limit home of a bucket.
#[derive(Clone, Debug)]
struct HomeAddress {
    name: String,
    address: SocketAddr,
}

/// Asks a home, and the one to which it refers, for a token. `None` if one of
/// them does not respond.
async fn ask_home(
    context: &HostContext,
    bucket: &SharedBucket<'_>,
    home: &HomeAddress,
    skipped: &[String],
) -> Option<TokenDecision> {
    let mut home = home.clone();
    for is_redirected in [false, true] {
        let reply = match home.name == context.settings.host {
            true => Some(acquire_locally(context, bucket, skipped, is_redirected)),
            false => {
                let started = clock::now();
                let asked = AskedHome {
                    home: &home,
                    skipped,
                    is_redirected,
                };
                let reply = request_from_home(context, bucket, &asked).await;
                let waited = clock::now().since(started);
                context.counters.record_token_wait("remote", waited);
                reply
            }
        };
        match reply {
            Some(HomeReply::Decided(verdict)) => {
                record_response(context, bucket.name, &home.name, verdict);
                return Some(TokenDecision {
                    verdict,
                    home: Some(home.name),
                    source: "home",
                    answer_age: None,
                });
            }
            Some(HomeReply::Moved(name)) => {
                context.counters.count("token-home-moved", &[]);
                let hosts = context.hosts.borrow();
                let row = hosts.row(&name)?;
                home = HomeAddress {
                    name,
                    address: row.peer,
                };
            }
            None => {
                record_silence(context, bucket, &home.name);
                return None;
            }
        }
    }
    None
}

fn record_silence(context: &HostContext, bucket: &SharedBucket<'_>, home: &str) {
    warn!(context.log, "token home silent"; "home" => home,
        "bucket" => bucket.name.trim_start_matches('\u{1}'));
    if !has_responded_recently(context, home) {
        let until = clock::now() + HOME_SKIP_TIME;
        let mut unresponsive = context.peers.unresponsive_homes.borrow_mut();
        unresponsive.insert(home.to_owned(), until);
    }
}

/// Responds to a request for a token as a limit home. Logs when the share of
/// the limits that it may grant changes.
pub(super) fn respond_as_home(context: &HostContext, request: HomeRequest<'_>) -> HomeReply {
    let now = clock::now();
    let mut hosts = context.hosts.borrow_mut();
    let share = hosts.contact_share(None, now);
    let reply = context
        .ledger
        .borrow_mut()
        .respond(&mut hosts, request, now);
    let granted = &context.peers.granted_share;
    if (share - granted.get()).abs() >= LOGGED_SHARE_STEP {
        granted.set(share);
        info!(context.log, "share of limits changed"; "share" => share);
    }
    reply
}

/// Returns the limit homes to ask, and the names of those that rank higher and
/// are not reached: they did not respond recently, or their zone is out of
/// contact.
fn homes_to_ask(
    context: &HostContext,
    bucket: &SharedBucket<'_>,
) -> (Vec<HomeAddress>, Vec<String>) {
    let now = clock::now();
    let mut unresponsive = context.peers.unresponsive_homes.borrow_mut();
    unresponsive.retain(|_, until| *until > now);
    let tables = context.tables.borrow();
    if !tables.of(FleetTable::Hosts).is_known {
        return Default::default();
    }
    let hosts = context.hosts.borrow();
    let (mut homes, mut skipped) = (Vec::new(), Vec::new());
    for row in hosts.token_homes(bucket.name, now) {
        if homes.len() == bucket.homes_max {
            break;
        }
        let is_reached =
            !unresponsive.contains_key(&row.name) && hosts.is_zone_heard(&row.zone, now);
        match is_reached {
            true => homes.push(HomeAddress {
                name: row.name.clone(),
                address: row.peer,
            }),
            false if homes.is_empty() => skipped.push(row.name.clone()),
            false => {}
        }
    }
    (homes, skipped)
}

/// Whether another home responded for the bucket within the window in which its
/// requests are counted.
fn has_moved(context: &HostContext, bucket: &str, home: &str) -> bool {
    let window = context.settings.bounds.limit_window_s;
    let receipts = context.peers.receipts.borrow();
    receipts.get(bucket).is_some_and(|receipts| {
        let (name, at) = receipts.last_response();
        name != home && clock::now().since(at) < window
    })
}

/// Number of tokens of the bucket that this host got from other homes.
fn granted_elsewhere(context: &HostContext, bucket: &str, home: &str) -> u64 {
    let receipts = context.peers.receipts.borrow();
    let receipts = receipts.get(bucket);
    receipts.map_or(0, |receipts| receipts.granted_elsewhere(home))
}

/// Discards what is known of buckets that have not been used for so long that
/// it no longer matters.
pub(crate) fn discard_idle_buckets(context: &HostContext) {
    let now = clock::now();
    if let Some(shares) = &context.peers.shares {
        shares.state().discard_idle(now);
    }
    let window = context.settings.bounds.limit_window_s;
    let mut receipts = context.peers.receipts.borrow_mut();
    receipts.retain(|_, receipts| now.since(receipts.last_response().1) < window);
    context
        .ledger
        .borrow_mut()
        .discard_idle(BUCKET_IDLE_TIME, now);
}

/// Whether a home responded to another request of this host while one was
/// lost.
fn has_responded_recently(context: &HostContext, home: &str) -> bool {
    let now = clock::now();
    let receipts = context.peers.receipts.borrow();
    let mut responses = receipts.values().map(TokenReceipts::last_response);
    responses.any(|(name, at)| name == home && now.since(at) < HOME_SKIP_TIME)
}

fn record_response(context: &HostContext, bucket: &str, home: &str, verdict: TokenVerdict) {
    let now = clock::now();
    let is_granted = verdict == TokenVerdict::Granted;
    let mut receipts = context.peers.receipts.borrow_mut();
    match receipts.get_mut(bucket) {
        Some(receipts) => receipts.record(home, is_granted, now),
        None => {
            let mut opened = TokenReceipts::open(home, now);
            opened.record(home, is_granted, now);
            receipts.insert(bucket.to_owned(), opened);
        }
    }
}

fn acquire_locally(
    context: &HostContext,
    bucket: &SharedBucket<'_>,
    skipped: &[String],
    is_redirected: bool,
) -> HomeReply {
    let id = (context.incarnation, next_request_id(context));
    let own = &context.settings.host;
    let skipped: Vec<&str> = skipped.iter().map(String::as_str).collect();
    let request = HomeRequest {
        token: LedgerRequest {
            has_moved: has_moved(context, bucket.name, own),
            granted_elsewhere: granted_elsewhere(context, bucket.name, own),
            ..LedgerRequest::open(id, bucket.name, bucket.rate_per_s, bucket.burst)
        },
        zone: &context.settings.zone,
        skipped: &skipped,
        is_redirected,
    };
    respond_as_home(context, request)
}

fn next_request_id(context: &HostContext) -> u64 {
    let id = context.peers.next_request_id.get();
    context.peers.next_request_id.set(id + 1);
    id
}

/// A home that is asked, and why it is.
struct AskedHome<'a> {
    home: &'a HomeAddress,
    skipped: &'a [String],
    is_redirected: bool,
}

async fn request_from_home(
    context: &HostContext,
    bucket: &SharedBucket<'_>,
    asked: &AskedHome<'_>,
) -> Option<HomeReply> {
    let HomeAddress { name, address } = asked.home;
    let request_id = next_request_id(context);
    let (sender, mut receiver) = oneshot::channel();
    context
        .peers
        .pending_requests
        .borrow_mut()
        .insert(request_id, sender);
    let pending = PendingRequest {
        context,
        request_id,
    };
    let message = PeerMessage::TokenRequest(TokenRequest {
        incarnation: context.incarnation,
        request_id,
        bucket: Cow::Borrowed(bucket.name),
        rate_per_s: bucket.rate_per_s,
        burst: bucket.burst,
        has_moved: has_moved(context, bucket.name, name),
        granted_elsewhere: granted_elsewhere(context, bucket.name, name),
        zone: Cow::Borrowed(&context.settings.zone),
        skipped: asked.skipped.iter().map(String::as_str).collect(),
        is_redirected: asked.is_redirected,
    });
    let bytes = encode(&message);
    for response_timeout in bucket.response_timeouts.iter().copied() {
        context.peers.send(&bytes, *address);
        if let Ok(response) = timeout(response_timeout, &mut receiver).await {
            return response.ok();
        }
        receive_arrived(context);
        if let Ok(reply) = receiver.try_recv() {
            return Some(reply);
        }
    }
    drop(pending);
    None
}

/// A token request without a response. It is discarded when dropped.
struct PendingRequest<'a> {
    context: &'a HostContext,
    request_id: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.context
            .peers
            .pending_requests
            .borrow_mut()
            .remove(&self.request_id);
    }
}
