use std::net::SocketAddr;

use {mangostep_objects::RequestKind, mangostep_policy::OutcomeKind};

use crate::prelude::*;

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: String,
    /// Empty on a route open to all.
    pub(crate) workspace: String,
    pub(crate) kind: RequestKind,
    pub(crate) deadline: MonotonicTime,
    /// Backend servers that were tried before; not empty for a retry.
    pub(crate) avoid: Vec<String>,
}

/// A slot that was granted.
#[derive(Clone, Debug)]
pub(crate) struct SlotGrant {
    pub(crate) permit: u64,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) server: String,
    pub(crate) address: SocketAddr,
    /// Peer address of the host that granted it; none for this host.
    pub(crate) granter: Option<SocketAddr>,
}

/// How a request ended at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerOutcome {
    /// A whole answer.
    Answered,
    /// A whole answer with a 5xx code.
    ServerError,
    /// The server said that it did not run the request.
    Refused,
    /// The server said that it leaves.
    Draining,
    /// The server said that it is in cold start.
    Cold,
    ConnectFailed,
    CutAnswer,
    Timeout,
    /// The answer to another request.
    WrongAnswer,
    CallerGone,
    /// No byte was sent.
    Unused,
}

impl ServerOutcome {
    /// The outcome as the policies know it.
    pub(crate) fn kind(self) -> OutcomeKind {
        match self {
            ServerOutcome::Answered => OutcomeKind::Answered,
            ServerOutcome::ServerError => OutcomeKind::ServerError,
            ServerOutcome::Refused => OutcomeKind::Refused,
            ServerOutcome::Draining => OutcomeKind::Draining,
            ServerOutcome::Cold => OutcomeKind::Cold,
            ServerOutcome::ConnectFailed => OutcomeKind::ConnectFailed,
            ServerOutcome::CutAnswer => OutcomeKind::CutAnswer,
            ServerOutcome::Timeout => OutcomeKind::Timeout,
            ServerOutcome::WrongAnswer => OutcomeKind::WrongAnswer,
            ServerOutcome::CallerGone => OutcomeKind::CallerGone,
            ServerOutcome::Unused => OutcomeKind::Unused,
        }
    }

    pub(crate) fn from_status(status: u16) -> Self {
        if status >= 500 {
            ServerOutcome::ServerError
        } else {
            ServerOutcome::Answered
        }
    }
}

/// What a keeper learns when a request ends.
#[derive(Clone, Debug)]
pub(crate) struct SlotReport {
    pub(crate) grant: SlotGrant,
    pub(crate) outcome: ServerOutcome,
    /// Time from the grant to the head of the answer; zero without one.
    pub(crate) header: Duration,
    /// Time from the grant to the end.
    pub(crate) total: Duration,
}

impl SlotGrant {
    /// The report of a slot whose request went away before it was used.
    pub(crate) fn into_unused(self) -> SlotReport {
        SlotReport {
            grant: self,
            outcome: ServerOutcome::Unused,
            header: Duration::ZERO,
            total: Duration::ZERO,
        }
    }
}
