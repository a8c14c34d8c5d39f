//! Limits that hold over all hosts together.
//!
//! Names hash into shards, and a shard has up to three homes. A home holds a
//! token bucket with an equal share of each name's rate and burst, so homes
//! need not agree on anything while requests run. A host without a token asks
//! the homes for requests that wait now, and stores none.

mod bucket;
mod home;
mod placement;
mod requester;
mod requester_types;
mod share;

pub use crate::limits::{
    bucket::TokenFraction,
    home::{BucketState, HandoverState, LimitHome, TokenGrant},
    placement::{HomeKey, shard_of},
    requester::TokenRequester,
    requester_types::{
        HomeRoute, RequesterAction, RequesterEvent, RequesterSettings, TokenRefusal, TokenRequest,
        TokenRequestEntry, TokenRequestId, WaiterId, WaitingRequest,
    },
    share::{FleetLimit, LimitShare},
};
