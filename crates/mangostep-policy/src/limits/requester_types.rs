use std::time::Duration;

use slotmap::new_key_type;

use crate::{
    MonotonicTime,
    limits::{home::TokenGrant, placement::HomeKey},
};

new_key_type! {
    /// Identifies a pending token request; unique within one
    /// [`TokenRequester`](crate::TokenRequester).
    pub struct TokenRequestId;
}

/// Identifies a waiting HTTP request; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// Timing of a [`TokenRequester`](crate::TokenRequester).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequesterSettings {
    /// Minimum interval between two messages to one remote home; requests
    /// that arrive in between are batched into the next message.
    pub batch_interval: Duration,
    /// Time without an answer after which the next home is tried.
    pub request_timeout: Duration,
    /// Time from sending a token request in which its grant may be used.
    pub grant_validity: Duration,
    /// Time for which a home that did not answer is tried last.
    pub home_backoff: Duration,
    /// Longest time for which a name is refused from memory, without a
    /// message to its homes.
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

/// A limit home and how this host reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeRoute {
    /// Shard and index of the home.
    pub home: HomeKey,
    /// Whether this host is the home, so that token requests need no network
    /// message.
    pub is_local: bool,
}

/// An HTTP request that waits for a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifier chosen by the caller.
    pub id: WaiterId,
    /// Name that the limit applies to, such as `w:repairs`.
    pub name: String,
    /// Time at which the request is refused if it has no token by then.
    pub deadline: MonotonicTime,
    /// Homes of the name, in the order in which they are tried.
    pub homes: Vec<HomeRoute>,
}

/// Input of a [`TokenRequester`](crate::TokenRequester).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterEvent {
    /// An HTTP request needs a token.
    Arrived(WaitingRequest),
    /// A home answered with one grant for each entry of the token request, in
    /// the same order.
    Answered(TokenRequestId, Vec<TokenGrant>),
    /// The host could not be reached, or does not hold the home.
    Failed(TokenRequestId),
    /// Time has passed; handles timeouts and due messages.
    Tick,
}

/// Output of a [`TokenRequester`](crate::TokenRequester), carried out by its
/// caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterAction {
    /// Send a token request to a home.
    Send(TokenRequest),
    /// Admit a waiting request.
    Admit(WaiterId),
    /// Refuse a waiting request.
    Refuse(WaiterId, TokenRefusal),
}

/// One message to a limit home that requests tokens for several names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Identifier that the answer or failure refers to.
    pub id: TokenRequestId,
    /// Home that the message is for.
    pub home: HomeKey,
    /// Tokens requested, one entry per name and value of `is_last`.
    pub entries: Vec<TokenRequestEntry>,
}

/// Tokens requested for one name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequestEntry {
    /// Name that the limit applies to, such as `w:repairs`.
    pub name: String,
    /// Number of tokens, one for each waiting HTTP request.
    pub tokens: u32,
    /// Whether all other homes of the name were tried before, so that this one
    /// should collect their fractions of a token.
    pub is_last: bool,
}

/// Why a request got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRefusal {
    /// No home that answered had a token; the next one is due after the given
    /// time.
    Exhausted(Duration),
    /// No home answered.
    Unreachable,
    /// The request's deadline passed before a token was granted.
    DeadlinePassed,
}
