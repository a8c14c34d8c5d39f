use std::{borrow::Cow, net::SocketAddr};

use {
    mangostep_objects::Limit,
    mangostep_policy::{LedgerAsk, TokenVerdict},
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

/// Time for which a home that did not answer is passed over.
const SILENCE_SPAN: Duration = Duration::from_secs(2);

/// Hosts among which a limit is split while no home answers and few hosts
/// are known.
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
        if name == context.settings.host {
            let verdict = ask_here(context, workspace, limit.rate_per_s, limit.burst);
            let home = Some(name);
            return TokenAnswer { verdict, home };
        }
        let asked = clock::now();
        let answer = ask_home(context, workspace, limit, address).await;
        let waited = clock::now().since(asked);
        context.counters.record_token_wait("remote", waited);
        if let Some(verdict) = answer {
            let home = Some(name);
            return TokenAnswer { verdict, home };
        }
        warn!(context.log, "token home silent"; "home" => &name, "workspace" => workspace);
        let until = clock::now() + SILENCE_SPAN;
        context.peers.silent_homes.borrow_mut().insert(name, until);
    }
    context.counters.count("token-granted-alone", &[]);
    let hosts = context.hosts.borrow().active(clock::now()).max(SPLIT_MIN) as f64;
    let own = format!("{workspace} alone");
    let burst = (limit.burst / hosts / 2.0).max(1.0);
    TokenAnswer {
        verdict: ask_here(context, &own, limit.rate_per_s / hosts, burst),
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
    let homes = hosts.token_homes(workspace).into_iter();
    let asked = homes.filter(|row| is_known && !silent.contains_key(&row.name));
    asked
        .take(HOMES_ASKED)
        .map(|row| (row.name.clone(), row.peer))
        .collect()
}

fn ask_here(context: &HostContext, workspace: &str, rate_per_s: f64, burst: f64) -> TokenVerdict {
    let number = next_ask(context);
    let ask = LedgerAsk {
        asker: (context.incarnation, number),
        workspace,
        rate_per_s,
        burst,
    };
    context.ledger.borrow_mut().ask(ask, clock::now())
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
