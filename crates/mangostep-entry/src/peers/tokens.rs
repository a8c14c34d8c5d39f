use std::{borrow::Cow, net::SocketAddr};

use {
    mangostep_objects::Limit,
    mangostep_policy::{LedgerRequest, TokenVerdict},
    slog::warn,
    tokio::{sync::oneshot, time::timeout},
};

use crate::{
    clock,
    peers::messages::{PeerMessage, TokenQuestion, encode},
    prelude::*,
};

/// Waits for the answer to an ask, one for each time it is sent. An answer
/// takes a few milliseconds; a busy host of a tenth of a core some tens.
const ANSWER_WAITS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(70)];

/// Homes that are asked for one token before the host decides by itself.
const HOMES_ASKED: usize = 2;

/// Time for which a home that did not answer is passed over. While it is, this
/// host and others may ask different homes, which doubles the limit; the lists
/// of hosts drop a home that is gone within two seconds.
const SILENCE_SPAN: Duration = Duration::from_millis(500);

/// Hosts among which a limit is split at least while no home answers, for few
/// may be known.
const SPLIT_MIN: usize = 8;

/// The answer to an ask for a token, and who gave it.
pub(crate) struct TokenAnswer {
    pub(crate) verdict: TokenVerdict,
    /// The host that counts the workspace's tokens; none where this host
    /// granted a part of the limit alone.
    pub(crate) home: Option<String>,
}

/// Takes a token of a workspace from its home.
///
/// While no home answers, the host grants its own part of the limit.
pub(crate) async fn ask_token(
    context: &HostContext,
    workspace: &str,
    limit: &Limit,
) -> TokenAnswer {
    let homes = homes_of(context, workspace);
    for (name, address) in homes {
        let has_moved = has_moved(context, workspace, &name);
        let answer = match name == context.settings.host {
            true => Some(ask_here(context, workspace, limit, has_moved)),
            false => {
                let asked = clock::now();
                let answer = ask_home(context, workspace, limit, has_moved, address).await;
                let waited = clock::now().since(asked);
                context.counters.record_token_wait("remote", waited);
                answer
            }
        };
        if let Some(verdict) = answer {
            note_home(context, workspace, &name);
            let home = Some(name);
            return TokenAnswer { verdict, home };
        }
        warn!(context.log, "token home silent"; "home" => &name, "workspace" => workspace);
        let until = clock::now() + SILENCE_SPAN;
        context.peers.silent_homes.borrow_mut().insert(name, until);
    }
    context.counters.count("token-asked-alone", &[]);
    // Any number of hosts may be cut off from the homes.
    let hosts = context.hosts.borrow().rows().count().max(SPLIT_MIN) as f64;
    let own = format!("{workspace} alone");
    let ask = LedgerRequest {
        id: (context.incarnation, next_ask(context)),
        workspace: &own,
        rate_per_s: limit.rate_per_s / hosts,
        burst: 1.0,
        is_alone: true,
        has_moved: false,
    };
    TokenAnswer {
        verdict: context.ledger.borrow_mut().acquire(ask, clock::now()),
        home: None,
    }
}

/// The homes to ask, without those that did not answer a moment ago.
fn homes_of(context: &HostContext, workspace: &str) -> Vec<(String, SocketAddr)> {
    let now = clock::now();
    let mut silent = context.peers.silent_homes.borrow_mut();
    silent.retain(|_, until| *until > now);
    let is_known = context
        .tables
        .borrow()
        .of(crate::platform::FleetTable::Hosts)
        .is_known;
    let hosts = context.hosts.borrow();
    let homes = hosts.token_homes(workspace, now).into_iter();
    let asked = homes.filter(|row| is_known && !silent.contains_key(&row.name));
    asked
        .take(HOMES_ASKED)
        .map(|row| (row.name.clone(), row.peer))
        .collect()
}

/// Whether another home answered for the workspace within the window in which
/// its requests are counted.
fn has_moved(context: &HostContext, workspace: &str, home: &str) -> bool {
    let window = context.settings.bounds.limit_window_s;
    let last = context.peers.last_homes.borrow();
    last.get(workspace)
        .is_some_and(|(name, at)| name != home && clock::now().since(*at) < window)
}

fn note_home(context: &HostContext, workspace: &str, home: &str) {
    let mut last = context.peers.last_homes.borrow_mut();
    match last.get_mut(workspace) {
        Some((name, at)) => {
            if name != home {
                home.clone_into(name);
            }
            *at = clock::now();
        }
        None => {
            let entry = (home.to_owned(), clock::now());
            last.insert(workspace.to_owned(), entry);
        }
    }
}

fn ask_here(
    context: &HostContext,
    workspace: &str,
    limit: &Limit,
    has_moved: bool,
) -> TokenVerdict {
    let ask = LedgerRequest {
        id: (context.incarnation, next_ask(context)),
        workspace,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        is_alone: false,
        has_moved,
    };
    context.ledger.borrow_mut().acquire(ask, clock::now())
}

fn next_ask(context: &HostContext) -> u64 {
    let number = context.peers.next_ask.get();
    context.peers.next_ask.set(number + 1);
    number
}

async fn ask_home(
    context: &HostContext,
    workspace: &str,
    limit: &Limit,
    has_moved: bool,
    address: SocketAddr,
) -> Option<TokenVerdict> {
    let number = next_ask(context);
    let (sender, mut receiver) = oneshot::channel();
    context.peers.asks.borrow_mut().insert(number, sender);
    let waiting = WaitingAsk { context, number };
    let question = PeerMessage::Ask(TokenQuestion {
        incarnation: context.incarnation,
        ask: number,
        workspace: Cow::Borrowed(workspace),
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        has_moved,
    });
    let bytes = encode(&question);
    for wait in ANSWER_WAITS {
        context.peers.send(&bytes, address);
        if let Ok(answer) = timeout(wait, &mut receiver).await {
            return answer.ok();
        }
    }
    drop(waiting);
    None
}

/// An ask without an answer, forgotten when its request ends.
struct WaitingAsk<'a> {
    context: &'a HostContext,
    number: u64,
}

impl Drop for WaitingAsk<'_> {
    fn drop(&mut self) {
        self.context.peers.asks.borrow_mut().remove(&self.number);
    }
}
