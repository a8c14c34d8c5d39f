//! Asks the limit homes for tokens and allowances of workspaces.

use std::net::SocketAddr;

use {
    mangostep_objects::Limit,
    mangostep_policy::{PeerKey, ShareAdmission, ShareEntry, ShareLimit, TokenVerdict},
    tokio::time::timeout,
};

use crate::{
    clock,
    peers::{
        messages::{PeerMessage, ShareRequest, encode},
        share_state::{EntryPurpose, HomeVerdict, LimitShares, ShareState},
        tokens::TokenDecision,
    },
    platform::FleetTable,
    prelude::*,
};

/// Ranks of the homes that are asked for a token, and how long to wait for
/// their responses before the next step. Callers wait 50 ms at most.
const ASK_STEPS: [(&[usize], Duration); 3] = [
    (&[0], Duration::from_millis(15)),
    (&[1], Duration::from_millis(15)),
    (&[0, 2], Duration::from_millis(20)),
];

/// Maximum number of homes that are asked for one token.
const HOMES_MAX: usize = 3;

/// Time without a response from a home after which its standby is asked at
/// once.
pub(super) const HOME_SILENT_TIME: Duration = Duration::from_millis(200);

/// A limit home of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HomeAddress {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// A token request that was sent to a home, to be repeated.
pub(super) struct SentRequest {
    bytes: Vec<u8>,
    address: SocketAddr,
}

/// Acquires a token of a workspace within 50 ms.
pub(super) async fn acquire_share(
    context: &HostContext,
    shares: &LimitShares,
    workspace: &str,
    limit: &Limit,
) -> TokenDecision {
    let started = clock::now();
    let limit = ShareLimit {
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
    };
    // Peers that ask this host must not wait for its callers' requests.
    shares.receive_arrived();
    let admission = shares.state().spender.admit(workspace, limit, started);
    if admission == ShareAdmission::Admitted {
        return decide(context, shares, TokenVerdict::Granted, "allowance", None);
    }
    if let Some(response) = ask_homes(context, shares, workspace, started).await {
        return decide_by_home(context, shares, response, started);
    }
    let now = clock::now();
    let waited = now.since(started);
    context.counters.record_token_wait("remote", waited);
    let hosts = context.hosts.borrow().rows().count();
    let verdict = {
        let mut state = shares.state();
        state.spender.spend_unheard(workspace, hosts, now)
    };
    decide(context, shares, verdict, "unheard", None)
}

/// Asks the homes of a workspace in turn. `None` if none responds in time.
async fn ask_homes(
    context: &HostContext,
    shares: &LimitShares,
    workspace: &str,
    started: MonotonicTime,
) -> Option<HomeVerdict> {
    let homes = homes_of(context, workspace, started);
    let first = homes.first()?;
    let (waiter, mut receiver) = shares.state().add_waiter();
    let waiting = WaitingRequest { shares, waiter };
    let mut sent: [Option<SentRequest>; HOMES_MAX] = [const { None }; HOMES_MAX];
    let mut ask = |rank: usize| {
        if let Some(request) = &sent[rank] {
            context.peers.send(&request.bytes, request.address);
        } else if let Some(home) = homes.get(rank) {
            sent[rank] = ask_home(context, shares, workspace, home, rank, waiter);
        }
    };
    let unanswered_since = shares.state().unanswered.get(&first.name).copied();
    if unanswered_since.is_some_and(|since| started.since(since) >= HOME_SILENT_TIME) {
        ask(1);
    }
    for (ranks, wait) in ASK_STEPS {
        ranks.iter().copied().for_each(&mut ask);
        if let Ok(response) = timeout(wait, &mut receiver).await {
            return response.ok();
        }
        shares.receive_arrived();
        if let Ok(response) = receiver.try_recv() {
            return Some(response);
        }
    }
    drop(waiting);
    receiver.try_recv().ok()
}

fn decide_by_home(
    context: &HostContext,
    shares: &LimitShares,
    response: HomeVerdict,
    started: MonotonicTime,
) -> TokenDecision {
    let place = match response.home == context.settings.host {
        true => "local",
        false => "remote",
    };
    let waited = clock::now().since(started);
    context.counters.record_token_wait(place, waited);
    let home = Some(response.home);
    decide(context, shares, response.verdict, "home", home)
}

/// Counts a decision by what it was based on.
fn decide(
    context: &HostContext,
    shares: &LimitShares,
    verdict: TokenVerdict,
    source: &'static str,
    home: Option<String>,
) -> TokenDecision {
    let answer_age = shares.state().spender.answer_age(clock::now());
    if let Some(age) = answer_age {
        context.counters.record_limit_answer_age(age);
    }
    let kind = match verdict {
        TokenVerdict::Granted => "token-granted",
        TokenVerdict::Denied(_) => "token-denied",
    };
    context.counters.count(kind, &[("source", source)]);
    TokenDecision {
        verdict,
        home,
        source,
        answer_age,
    }
}

/// A caller's request that waits for a token, until it is dropped.
struct WaitingRequest<'a> {
    shares: &'a LimitShares,
    waiter: u64,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.shares.state().remove_waiter(self.waiter);
    }
}

/// Returns the homes of a workspace by rank. Empty until the hosts of the fleet
/// are known.
pub(super) fn homes_of(
    context: &HostContext,
    workspace: &str,
    now: MonotonicTime,
) -> Vec<HomeAddress> {
    if !context.tables.borrow().of(FleetTable::Hosts).is_known {
        return Vec::new();
    }
    let hosts = context.hosts.borrow();
    let homes = hosts.token_homes(workspace, now).into_iter();
    let homes = homes.take(HOMES_MAX).map(|row| HomeAddress {
        name: row.name.clone(),
        address: row.peer,
    });
    homes.collect()
}

/// Asks the home with the given rank for a token. Returns what was sent.
fn ask_home(
    context: &HostContext,
    shares: &LimitShares,
    workspace: &str,
    home: &HomeAddress,
    rank: usize,
    waiter: u64,
) -> Option<SentRequest> {
    let mut state = shares.state();
    let rank = u8::try_from(rank).unwrap_or(u8::MAX);
    let spender = &mut state.spender;
    let entry = spender.entry(workspace, &home.name, rank, true, clock::now())?;
    let purpose = EntryPurpose::Token { waiter };
    send_entries(context, &mut state, home, vec![entry], purpose)
}

/// Sends entries to a home, or hands them to this host's own. Returns what was
/// sent.
pub(super) fn send_entries(
    context: &HostContext,
    state: &mut ShareState,
    home: &HomeAddress,
    entries: Vec<ShareEntry<'_>>,
    purpose: EntryPurpose,
) -> Option<SentRequest> {
    let request_id = state.register(&home.name, &entries, purpose);
    if home.name == context.settings.host {
        let own = PeerKey(context.incarnation);
        let grants = state
            .home
            .respond(own, request_id, &entries, clock::now())?;
        state.record_response(request_id, &grants);
        return None;
    }
    let message = PeerMessage::ShareRequest(ShareRequest {
        incarnation: context.incarnation,
        request_id,
        entries,
    });
    let bytes = encode(&message);
    let address = home.address;
    context.peers.send(&bytes, address);
    Some(SentRequest { bytes, address })
}
