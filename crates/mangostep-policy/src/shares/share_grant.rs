use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Decision on the token of a [`ShareEntry`](crate::ShareEntry).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantVerdict {
    /// No token was asked for.
    NotAsked,
    /// The waiting request may run.
    Granted,
    /// The limit is reached; a token becomes available after this number of
    /// microseconds.
    Denied(u64),
}

/// Response of a limit home to one [`ShareEntry`](crate::ShareEntry). The order
/// of fields is part of the datagram format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Decision on the waiting request.
    pub verdict: GrantVerdict,
    /// Requests that the host may admit without asking.
    pub allowance: u32,
    /// Time for which the allowance may be spent, from when the host asked.
    pub validity_ms: u32,
    /// Whether the home refills the bucket, as its first home or after a
    /// takeover.
    pub is_holder: bool,
}

impl ShareGrant {
    /// Time for which the allowance may be spent.
    pub fn validity(&self) -> Duration {
        Duration::from_millis(self.validity_ms.into())
    }
}
