use std::net::SocketAddr;

use crate::{
    peer::PeerRing,
    prelude::*,
    slots::{ServerOutcome, SlotGrant, SlotReport},
};

/// A slot that a request holds; it goes back exactly once.
#[derive(Debug)]
pub(crate) struct OpenPermit {
    /// Taken by the report.
    grant: Option<SlotGrant>,
    ring: PeerRing,
    opened: MonotonicTime,
    header: Duration,
    /// What the server said of itself beside its answer.
    said: Option<ServerOutcome>,
}

impl OpenPermit {
    pub(crate) fn new(grant: SlotGrant, ring: PeerRing) -> Self {
        OpenPermit {
            opened: ring.context().clock.now(),
            header: Duration::ZERO,
            said: None,
            grant: Some(grant),
            ring,
        }
    }

    /// Name of the backend server.
    pub(crate) fn server(&self) -> &str {
        self.grant.as_ref().map_or("", |grant| &grant.server)
    }

    /// IP number and port of the backend server.
    pub(crate) fn address(&self) -> SocketAddr {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        self.grant.as_ref().map_or(nowhere, |grant| grant.address)
    }

    /// Takes note that the server said beside its answer that it leaves or is
    /// in cold start.
    pub(crate) fn note_said(&mut self, said: ServerOutcome) {
        self.said = Some(said);
    }

    /// Takes note that the head of the answer came now.
    pub(crate) fn note_header(&mut self) {
        self.header = self.ring.context().clock.now().since(self.opened);
    }

    /// Gives the slot back and reports how the request ended.
    pub(crate) fn close(mut self, outcome: ServerOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: ServerOutcome) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        let outcome = match (outcome, self.said) {
            (ServerOutcome::Answered | ServerOutcome::ServerError, Some(said)) => said,
            (outcome, _) => outcome,
        };
        let total = self.ring.context().clock.now().since(self.opened);
        self.ring.release(SlotReport {
            grant,
            outcome,
            header: self.header,
            total,
        });
    }
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.report(ServerOutcome::CallerGone);
    }
}
