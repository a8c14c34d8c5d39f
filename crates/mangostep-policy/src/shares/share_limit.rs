use serde::{Deserialize, Serialize};

/// Rate limit of a workspace over all hosts, as the asking host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket.
    pub burst: f64,
}
