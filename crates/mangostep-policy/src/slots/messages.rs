use std::time::Duration;

use crate::{MonotonicTime, OutcomeKind};

slotmap::new_key_type! {
    /// A permit to use one slot of one backend server for one request.
    pub struct PermitKey;
}

/// A request that needs a slot of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitRequest {
    /// The caller's own name for the ask; the answer carries it.
    pub ticket: u64,
    /// Name of the entry host that will send the request.
    pub source: String,
    /// Workspace of the request; empty on a route open to all.
    pub workspace: String,
    /// Time that the request has left.
    pub left: Duration,
    /// Backend servers that have been tried.
    pub avoid: Vec<String>,
    /// Whether the request was sent before, and counts as a retry.
    pub is_retry: bool,
}

/// The end of a request that held a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRelease {
    /// The permit.
    pub permit: PermitKey,
    /// Name of the entry host that sent the request.
    pub source: String,
    /// How it ended.
    pub outcome: OutcomeKind,
    /// Time to the head of the answer; zero without one.
    pub header: Duration,
    /// Time to the last byte, or to the failure.
    pub total: Duration,
}

/// A backend server as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Name, unique within the service.
    pub name: String,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// What a probe of a backend server found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Name of the backend server.
    pub server: String,
    /// How the probe ended.
    pub outcome: OutcomeKind,
    /// Time to the end of the probe.
    pub total: Duration,
}

/// What happens to a [`SlotKeeper`](crate::SlotKeeper).
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// A request needs a slot.
    Request(PermitRequest),
    /// The asker of a waiting request went away.
    Cancel {
        /// The ask's ticket.
        ticket: u64,
    },
    /// A request ended.
    Release(SlotRelease),
    /// The cell's servers as now listed; all others are gone.
    Servers(Vec<ListedServer>),
    /// A probe ended.
    Probe(ProbeResult),
    /// The arbiter answered, or did not.
    EjectionDecision {
        /// Name of the backend server.
        server: String,
        /// End of the ejection, counted from the time of asking; none when
        /// it was not granted.
        until: Option<MonotonicTime>,
    },
    /// Time went by.
    Tick,
}

/// Why a request gets no slot; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotRefusal {
    /// Its deadline cannot be met, or it waited too long.
    Late,
    /// No backend server of the cell may be used.
    NoServer,
    /// The retry budget of the cell is spent.
    OverBudget,
    /// The availability zone is out.
    ZoneOut,
}

/// What the caller of a [`SlotKeeper`](crate::SlotKeeper) carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Tell the asker that it has a slot.
    Grant {
        /// The ask's ticket.
        ticket: u64,
        /// The permit.
        permit: PermitKey,
        /// Name of the backend server.
        server: String,
        /// Time until the permit ends.
        valid: Duration,
    },
    /// Tell the asker that it gets none.
    Refuse {
        /// The ask's ticket.
        ticket: u64,
        /// Why.
        refusal: SlotRefusal,
        /// When to come again.
        retry_after: Duration,
    },
    /// Ask the arbiter for an ejection.
    RequestEjection {
        /// Name of the backend server.
        server: String,
        /// How long it should hold.
        hold: Duration,
        /// Why.
        reason: &'static str,
    },
}
