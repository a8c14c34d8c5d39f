use std::net::SocketAddr;

use {mangostep_objects::RequestKind, mangostep_policy::OutcomeKind};

use crate::prelude::*;

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: String,
    /// Empty on a public route.
    pub(crate) workspace: String,
    pub(crate) kind: RequestKind,
    pub(crate) deadline: MonotonicTime,
    /// Names of backend servers that earlier attempts used; empty on the first
    /// attempt.
    pub(crate) avoid: Vec<String>,
}

/// A granted slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotGrant {
    pub(crate) permit: u64,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) server: String,
    pub(crate) address: SocketAddr,
    /// Peer address of the host that granted the slot; `None` for this host.
    pub(crate) granter: Option<SocketAddr>,
}

/// How a request ended at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerOutcome {
    /// A complete answer with a code below 500.
    Answered,
    /// A complete answer with a 5xx code.
    ServerError,
    /// The server reported that it did not run the request.
    Refused,
    /// The server reported that it is draining.
    Draining,
    /// The server reported that it is in cold start.
    Cold,
    ConnectFailed,
    /// The answer was truncated.
    CutAnswer,
    Timeout,
    /// The answer belongs to another request.
    WrongAnswer,
    CallerGone,
    /// No byte of the request was sent.
    Unused,
}

impl ServerOutcome {
    /// Converts the outcome to the type that the policies use.
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

/// The report to a slot keeper when a request ends.
#[derive(Clone, Debug)]
pub(crate) struct SlotReport {
    pub(crate) grant: SlotGrant,
    pub(crate) outcome: ServerOutcome,
    /// Time from the grant to the head of the answer; zero without an answer.
    pub(crate) header: Duration,
    /// Time from the grant to the end of the request.
    pub(crate) total: Duration,
}

impl SlotGrant {
    /// Reports a slot whose request was cancelled before anything was sent.
    pub(crate) fn into_unused(self) -> SlotReport {
        SlotReport {
            grant: self,
            outcome: ServerOutcome::Unused,
            header: Duration::ZERO,
            total: Duration::ZERO,
        }
    }
}
