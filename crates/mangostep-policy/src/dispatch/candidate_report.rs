use std::time::Duration;

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

/// Whether a server can be chosen for a request, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateState {
    /// It can be chosen.
    Usable,
    /// It has as many in-flight requests as it can complete in time.
    Full,
    /// It is in cold start and gets a bounded rate of requests.
    Cold,
    /// It stated a wait or a rate limit that has been reached.
    HeldBack,
    /// Another server answered at its address.
    Misdirected,
    /// It drains, states that it leaves, lapsed, or is in a zone that is out of
    /// service.
    OutOfService,
}

impl CandidateState {
    /// Label of the state.
    pub fn as_str(self) -> &'static str {
        match self {
            CandidateState::Usable => "usable",
            CandidateState::Full => "full",
            CandidateState::Cold => "cold",
            CandidateState::HeldBack => "held-back",
            CandidateState::Misdirected => "misdirected",
            CandidateState::OutOfService => "out-of-service",
        }
    }
}

/// What a host knows of one server, as a candidate for a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateReport {
    /// Id of the server.
    pub server: String,
    /// Availability zone of the server.
    pub zone: String,
    /// Whether it can be chosen.
    pub state: CandidateState,
    /// Expected cost in seconds without the random part; the lowest one is
    /// preferred.
    pub cost_s: f64,
    /// Expected wait for a slot.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
    /// Probability that the request fails, from 0 to 1.
    pub failure_chance: f64,
    /// In-flight requests of this host.
    pub own_in_flight: u32,
    /// In-flight requests of all hosts, as far as this host knows.
    pub in_flight: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether this host has an idle connection to it.
    pub is_connected: bool,
    /// Time since the last outcome that this host knows of; `None` without one.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "outcome_age_ms")]
    pub outcome_age: Option<Duration>,
}
