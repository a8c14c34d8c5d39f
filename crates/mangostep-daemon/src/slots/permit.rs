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
    address: SocketAddr,
    server: String,
}

impl OpenPermit {
    pub(crate) fn new(grant: SlotGrant, ring: PeerRing) -> Self {
        OpenPermit {
            opened: ring.context().clock.now(),
            header: Duration::ZERO,
            address: grant.address,
            server: grant.server.clone(),
            grant: Some(grant),
            ring,
        }
    }

    pub(crate) fn server(&self) -> &str {
        &self.server
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
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
