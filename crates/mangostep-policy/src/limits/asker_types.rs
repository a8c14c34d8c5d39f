use std::time::Duration;

use slotmap::new_key_type;

use crate::{
    MonotonicTime,
    limits::{home::TokenGrant, placement::HomeKey},
};

new_key_type! {
    /// Names an ask that is under way.
    pub struct AskId;
}

/// Names a waiting request; the caller chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// Times of a [`TokenAsker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskerSettings {
    /// Time between two asks of one home; requests that come between wait
    /// for the next one together.
    pub batch: Duration,
    /// Time after which the next home is asked.
    pub ask_timeout: Duration,
    /// Time from the asking in which tokens may be used.
    pub validity: Duration,
    /// Time for which a home that did not answer is asked last.
    pub home_rest: Duration,
    /// Longest time for which a name is refused without asking the homes.
    pub dry_memory: Duration,
}

impl Default for AskerSettings {
    fn default() -> Self {
        AskerSettings {
            batch: Duration::from_millis(1),
            ask_timeout: Duration::from_millis(100),
            validity: Duration::from_millis(250),
            home_rest: Duration::from_secs(1),
            dry_memory: Duration::from_secs(1),
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

/// What happens to a [`TokenAsker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskerEvent {
    /// A request waits.
    Arrived(WaitingRequest),
    /// A home answered: a grant for each of the ask's entries, in order.
    Answered(AskId, Vec<TokenGrant>),
    /// A home could not be reached, or is no home.
    Failed(AskId),
    /// Time went on.
    Tick,
}

/// What the caller of a [`TokenAsker`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskerAction {
    /// Ask a home.
    Ask(TokenAsk),
    /// Let a request run.
    Admit(WaiterId),
    /// Refuse a request.
    Refuse(WaiterId, AskRefusal),
}

/// One message to a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenAsk {
    /// Names the ask in its answer.
    pub id: AskId,
    /// The home that is asked.
    pub home: HomeKey,
    /// What is asked for.
    pub entries: Vec<AskEntry>,
}

/// Tokens asked for one name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskEntry {
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
pub enum AskRefusal {
    /// Every home that answered was out of tokens; a token comes back after
    /// the given time.
    Dry(Duration),
    /// No home answered.
    Unreachable,
    /// The deadline passed.
    Late,
}
