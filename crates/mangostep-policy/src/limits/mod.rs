//! Limits that hold over all hosts together.
//!
//! Names hash into shards, and a shard has up to three homes. A home holds a
//! token bucket with an equal share of each name's rate and burst, so homes
//! need not agree on anything while requests run. A host without a token asks
//! the homes for requests that wait now, and stores none.

mod asker;
mod asker_types;
mod bucket;
mod home;
mod placement;
mod share;

pub use crate::limits::{
    asker::TokenAsker,
    asker_types::{
        AskEntry, AskId, AskRefusal, AskerAction, AskerEvent, AskerSettings, HomeRoute, TokenAsk,
        WaiterId, WaitingRequest,
    },
    bucket::TokenFraction,
    home::{BucketState, HandOverState, LimitHome, TokenGrant},
    placement::{HomeKey, shard_of},
    share::{FleetLimit, LimitShare},
};
