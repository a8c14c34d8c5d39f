use std::time::Duration;

use slotmap::new_key_type;

use crate::{
    MonotonicTime,
    limits::{home::TokenGrant, placement::HomeKey},
};

new_key_type! {
    /// Names an ask that is under way.
    pub struct TokenRequestId;
}

/// Names a waiting request; the caller chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// Times of a [`TokenRequester`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequesterSettings {
    /// Time between two asks of one home; requests that come between wait
    /// for the next one together.
    pub batch_interval: Duration,
    /// Time after which the next home is asked.
    pub request_timeout: Duration,
    /// Time from the asking in which tokens may be used.
    pub grant_validity: Duration,
    /// Time for which a home that did not answer is asked last.
    pub home_backoff: Duration,
    /// Longest time for which a name is refused without asking the homes.
    pub refusal_cache_max: Duration,
}

impl Default for RequesterSettings {
    fn default() -> Self {
        RequesterSettings {
            batch_interval: Duration::from_millis(1),
            request_timeout: Duration::from_millis(100),
            grant_validity: Duration::from_millis(250),
            home_backoff: Duration::from_secs(1),
            refusal_cache_max: Duration::from_secs(1),
        }
    }
}

/// A home and how it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeRoute {
    /// The home.
    pub home: HomeKey,
    /// Whether this host is the home, so that asks need no message.
    pub is_local: bool,
}

/// A request that waits for a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The caller's name for it.
    pub id: WaiterId,
    /// Name that the limit holds for.
    pub name: String,
    /// Time after which a token is of no use.
    pub deadline: MonotonicTime,
    /// The homes of the name, the one to ask first in front.
    pub homes: Vec<HomeRoute>,
}

/// What happens to a [`TokenRequester`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterEvent {
    /// A request waits.
    Arrived(WaitingRequest),
    /// A home answered: a grant for each of the ask's entries, in order.
    Answered(TokenRequestId, Vec<TokenGrant>),
    /// A home could not be reached, or is no home.
    Failed(TokenRequestId),
    /// Time went on.
    Tick,
}

/// What the caller of a [`TokenRequester`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterAction {
    /// Ask a home.
    Send(TokenRequest),
    /// Let a request run.
    Admit(WaiterId),
    /// Refuse a request.
    Refuse(WaiterId, TokenRefusal),
}

/// One message to a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Names the ask in its answer.
    pub id: TokenRequestId,
    /// The home that is asked.
    pub home: HomeKey,
    /// What is asked for.
    pub entries: Vec<TokenRequestEntry>,
}

/// Tokens asked for one name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequestEntry {
    /// Name that the limit holds for.
    pub name: String,
    /// Tokens, one for each request that waits now.
    pub tokens: u32,
    /// Whether all other homes were asked, so that this one should gather
    /// their fractions.
    pub is_last: bool,
}

/// Why a request got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRefusal {
    /// Every home that answered was out of tokens; a token comes back after
    /// the given time.
    Exhausted(Duration),
    /// No home answered.
    Unreachable,
    /// The deadline passed.
    DeadlinePassed,
}
