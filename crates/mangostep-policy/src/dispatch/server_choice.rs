use std::time::Duration;

use mangostep_objects::RequestKind;

use crate::dispatch::ServerKey;

/// A request for which [`ServerPool::choose`] picks a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request is addressed to.
    pub service: &'a str,
    /// Whether the request is idempotent.
    pub kind: RequestKind,
    /// Availability zone of the choosing host.
    pub zone: &'a str,
    /// Servers that earlier attempts of the request were sent to; they are not
    /// chosen again.
    pub tried: &'a [ServerKey],
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Requests per second for the service that this host receives.
    pub own_rate_per_s: f64,
    /// Whether this host receives the start and end reports of its peers,
    /// which is the case when look-ups return it to callers.
    pub sees_peer_traffic: bool,
    /// Whether the retry budget allows a retry after a failure.
    pub may_retry: bool,
}

/// Outcome of choosing a server for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChoice {
    /// The request goes to this server.
    Send(ServerKey),
    /// No server can take the request now; the duration is the Retry-After
    /// value for the caller.
    Refuse(ChoiceRefusal, Duration),
}

/// Reason for which no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// The service has no server that accepts work.
    NoServer,
    /// Every warm server already has as many in-flight requests as it can
    /// complete in time.
    NoCapacity,
    /// All servers are in cold start and at the limit of their warm-up rate.
    AllCold,
    /// All servers that could take the request are at the rate limit that they
    /// state.
    RateLimited,
    /// All servers that could take the request stated a wait that has not
    /// ended.
    BackingOff,
    /// The host waits for the servers to state whether they are in cold start.
    Unchecked,
}

impl ChoiceRefusal {
    /// Label of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceRefusal::NoServer => "no-server",
            ChoiceRefusal::NoCapacity => "no-room",
            ChoiceRefusal::AllCold => "all-cold",
            ChoiceRefusal::RateLimited => "rate-limited",
            ChoiceRefusal::BackingOff => "backing-off",
            ChoiceRefusal::Unchecked => "unchecked",
        }
    }
}
