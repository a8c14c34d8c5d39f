use std::net::SocketAddr;

use crate::{
    peer::PeerRing,
    prelude::*,
    slots::{ServerOutcome, SlotGrant, SlotReport},
};

/// A slot held by a request, released exactly once, at the latest on drop.
#[derive(Debug)]
pub(crate) struct OpenPermit {
    /// `None` once the slot has been released.
    grant: Option<SlotGrant>,
    ring: PeerRing,
    opened: MonotonicTime,
    header: Duration,
    /// State that the server reported along with its answer.
    server_state: Option<ServerOutcome>,
}

impl OpenPermit {
    pub(crate) fn new(grant: SlotGrant, ring: PeerRing) -> Self {
        OpenPermit {
            opened: ring.context().clock.now(),
            header: Duration::ZERO,
            server_state: None,
            grant: Some(grant),
            ring,
        }
    }

    /// Name of the backend server; empty after the release.
    pub(crate) fn server(&self) -> &str {
        self.grant.as_ref().map_or("", |grant| &grant.server)
    }

    /// IP address and port of the backend server; 0.0.0.0:0 after the release.
    pub(crate) fn address(&self) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.grant
            .as_ref()
            .map_or(unspecified, |grant| grant.address)
    }

    /// Records that the server reported draining or cold start along with its
    /// answer; this outcome replaces the one of a complete answer.
    pub(crate) fn record_server_state(&mut self, server_state: ServerOutcome) {
        self.server_state = Some(server_state);
    }

    /// Records that the head of the answer arrived now.
    pub(crate) fn record_header(&mut self) {
        self.header = self.ring.context().clock.now().since(self.opened);
    }

    /// Releases the slot and reports how the request ended.
    pub(crate) fn close(mut self, outcome: ServerOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: ServerOutcome) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        let outcome = match (outcome, self.server_state) {
            (ServerOutcome::Answered | ServerOutcome::ServerError, Some(server_state)) => {
                server_state
            }
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
