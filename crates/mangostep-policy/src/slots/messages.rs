use std::time::Duration;

use crate::{MonotonicTime, OutcomeKind};

slotmap::new_key_type! {
    /// A permit to use one slot of one backend server for one request.
    pub struct PermitKey;
}

/// A request for a permit to use one slot of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitRequest {
    /// Identifier chosen by the caller; the grant or refusal carries it.
    pub ticket: u64,
    /// Name of the entry host that will send the request.
    pub source: String,
    /// Workspace of the request; empty on a public route.
    pub workspace: String,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Names of backend servers that must not be granted, because earlier
    /// attempts went to them.
    pub avoid: Vec<String>,
    /// Whether an earlier attempt was sent; a retry draws on the retry budget.
    pub is_retry: bool,
}

/// The end of a request that held a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRelease {
    /// The permit that is given back.
    pub permit: PermitKey,
    /// Name of the entry host that sent the request.
    pub source: String,
    /// How the request ended.
    pub outcome: OutcomeKind,
    /// Time to the response head; zero without a response.
    pub header: Duration,
    /// Time to the last byte of the response, or to the failure.
    pub total: Duration,
}

/// A backend server as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Name, unique within the service.
    pub name: String,
    /// Whether the directory lists it as shutting down.
    pub is_leaving: bool,
}

/// The result of one probe of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Name of the backend server.
    pub server: String,
    /// How the probe ended.
    pub outcome: OutcomeKind,
    /// Time to the end of the probe.
    pub total: Duration,
}

/// An input of a [`SlotKeeper`](crate::SlotKeeper).
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// A request needs a slot.
    Request(PermitRequest),
    /// The sender of a waiting request no longer needs a slot.
    Cancel {
        /// The ticket of the [`PermitRequest`].
        ticket: u64,
    },
    /// A request that held a permit ended.
    Release(SlotRelease),
    /// The complete list of the cell's servers; servers not listed are
    /// removed from the cell.
    Servers(Vec<ListedServer>),
    /// A probe ended.
    Probe(ProbeResult),
    /// The ejection arbiter decided on a request, or the request timed out.
    EjectionDecision {
        /// Name of the backend server.
        server: String,
        /// End of the ejection, measured from the time of the request; `None`
        /// if it was not granted.
        until: Option<MonotonicTime>,
    },
    /// A wakeup at [`Machine::next_wake`](crate::Machine::next_wake).
    Tick,
}

/// Why a request gets no slot. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotRefusal {
    /// The deadline cannot be met, or the longest wait has passed.
    Late,
    /// No backend server of the cell is available to the request.
    NoServer,
    /// The retry budget of the cell is exhausted.
    OverBudget,
    /// The availability zone is out of service.
    ZoneOut,
}

/// An output of a [`SlotKeeper`](crate::SlotKeeper), carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Send the permit to the requester.
    Grant {
        /// The ticket of the [`PermitRequest`].
        ticket: u64,
        /// The permit, valid for one request.
        permit: PermitKey,
        /// Name of the backend server.
        server: String,
        /// Time until the permit expires.
        valid: Duration,
    },
    /// Send a refusal to the requester.
    Refuse {
        /// The ticket of the [`PermitRequest`].
        ticket: u64,
        /// Why no slot is granted.
        refusal: SlotRefusal,
        /// Suggested wait before the next attempt; zero if there is no estimate.
        retry_after: Duration,
    },
    /// Request an ejection from the ejection arbiter.
    RequestEjection {
        /// Name of the backend server.
        server: String,
        /// Requested length of the ejection.
        hold: Duration,
        /// The detector's reason, or `asked-again` for a repeated request.
        reason: &'static str,
    },
}
