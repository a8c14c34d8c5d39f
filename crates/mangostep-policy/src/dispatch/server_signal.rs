use serde::{Deserialize, Serialize};

/// Outcome of an attempt on this host or a peer, as evidence about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerSignal {
    /// The server sent a complete response.
    Success,
    /// The connection was reset, the response was truncated or corrupt, or no
    /// response came before the deadline.
    Failure,
    /// The server itself answered with an error.
    Error,
    /// No response came long after the usual time; the request is still in
    /// flight.
    Stall,
    /// The server shed the request without running it.
    Shed,
    /// No connection was established in time, which may be a network fault
    /// between one host and the server.
    Unreachable,
    /// Nothing listens at the server's address.
    Refused,
    /// A different server listens at the server's address.
    Misdirected,
    /// The caller disconnected, which is no evidence about the server.
    Nothing,
}

impl ServerSignal {
    /// Label of the signal in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ServerSignal::Success => "success",
            ServerSignal::Failure => "lost",
            ServerSignal::Error => "error",
            ServerSignal::Stall => "stall",
            ServerSignal::Shed => "shed",
            ServerSignal::Unreachable => "unreachable",
            ServerSignal::Refused => "refused",
            ServerSignal::Misdirected => "misdirected",
            ServerSignal::Nothing => "none",
        }
    }

    /// Whether the signal is evidence that the server fails.
    pub fn is_failure(self) -> bool {
        !matches!(
            self,
            ServerSignal::Success | ServerSignal::Shed | ServerSignal::Nothing
        )
    }
}

/// A change of whether a server is suspected of failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Failure probability before the latest outcome, from 0 to 1.
    pub before: f64,
    /// Failure probability after the latest outcome, from 0 to 1.
    pub after: f64,
    /// Whether the server is suspected after the change.
    pub is_suspected: bool,
}

/// Peers that are notified of the start and end of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalScope {
    /// The zone of the sending host, whose hosts mostly use the same servers.
    OwnZone,
    /// The zone of the sending host and the zone of the server.
    BothZones,
    /// All zones, because a cold server can handle only a low rate from all
    /// hosts together.
    AllZones,
}
