use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::shares::ShareLimit;

/// What a host asks of a limit home, and reports to it, for one workspace. The
/// order of fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareEntry<'a> {
    /// Name of the workspace.
    #[serde(borrow)]
    pub bucket: Cow<'a, str>,
    /// The limit that the host knows.
    pub limit: ShareLimit,
    /// Rank of the home for this workspace, as the host sees it: 0 for the
    /// first, others are its standby homes.
    pub rank: u8,
    /// Whether a request waits for a token.
    pub needs_token: bool,
    /// Requests that the host would like to admit without asking.
    pub wanted: u32,
    /// Requests per second that the host receives for the workspace.
    pub demand_per_s: f32,
    /// Part of earlier allowances that was not spent.
    pub returned: u32,
    /// Requests that were admitted without a token.
    pub overspent: u32,
    /// Time since another home held the bucket, in milliseconds. `None` if none
    /// did within the window.
    pub moved_ms: Option<u32>,
}
