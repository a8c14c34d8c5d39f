//! Shares of a workspace's rate limit, which hosts hold ahead of need.
//!
//! The limit home of a workspace counts its requests. With each response it
//! grants the host an allowance: requests that the host may admit within a
//! short time without asking. A host that hears no home admits a bounded number
//! of requests and reports them later.

mod share_bucket;
mod share_entry;
mod share_grant;
mod share_home;
mod share_limit;
mod share_settings;
mod share_spender;
mod standby_bucket;
mod workspace_share;

pub use self::{
    share_entry::ShareEntry,
    share_grant::{GrantVerdict, ShareGrant},
    share_home::{ShareHome, StandbyDebt},
    share_limit::ShareLimit,
    share_settings::ShareSettings,
    share_spender::{SentEntry, ShareAdmission, ShareSpender},
};
