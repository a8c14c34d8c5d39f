//! Distributed rate limiter that enforces limits over all hosts together.
//!
//! Names hash into shards, and a shard has up to three limit homes. Each home
//! has a token bucket with an equal share of each name's rate and burst, so
//! the homes need no coordination while they serve requests. A host requests
//! tokens from the homes for the HTTP requests that wait on it, and stores
//! none.

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
