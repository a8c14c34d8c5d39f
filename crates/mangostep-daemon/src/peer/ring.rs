use tokio::sync::{mpsc, oneshot};

use crate::{
    limits::LimitName,
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, SlotGrant, SlotReport, SlotRequest},
};

/// Request of the front thread to the peer thread.
pub(crate) enum PeerRequest {
    /// Takes a token if a rate limit applies, and then acquires a slot.
    ///
    /// One message serves both, since each round trip wakes two threads.
    OpenPermit {
        limit: Option<LimitName>,
        request: SlotRequest,
        reply: oneshot::Sender<Result<SlotGrant, Refusal>>,
    },
    /// Releases a slot.
    Release(SlotReport),
}

/// Sender of the bounded channel from the front thread to the peer thread.
#[derive(Clone, Debug)]
pub(crate) struct PeerRing {
    context: Arc<HostContext>,
    sender: mpsc::Sender<PeerRequest>,
}

const RING_FULL: Refusal = Refusal::not_run(503, "ring-full");

impl PeerRing {
    pub(crate) fn new(context: Arc<HostContext>, sender: mpsc::Sender<PeerRequest>) -> Self {
        PeerRing { context, sender }
    }

    pub(crate) fn context(&self) -> &HostContext {
        &self.context
    }

    /// Takes one token if a rate limit applies, and then acquires a slot of a
    /// backend server.
    pub(crate) async fn open_permit(
        &self,
        limit: Option<LimitName>,
        request: SlotRequest,
    ) -> Result<OpenPermit, Refusal> {
        let (reply, grant_receiver) = oneshot::channel();
        let peer_request = PeerRequest::OpenPermit {
            limit,
            request,
            reply,
        };
        self.sender.try_send(peer_request).map_err(|_| RING_FULL)?;
        let grant = grant_receiver
            .await
            .unwrap_or(Err(Refusal::not_run(503, "host-stopping")))?;
        Ok(OpenPermit::new(grant, self.clone()))
    }

    /// Releases a slot.
    ///
    /// The report is lost if the channel is full; the slot keeper then
    /// reclaims the slot when its permit expires.
    pub(crate) fn release(&self, report: SlotReport) {
        let _ = self.sender.try_send(PeerRequest::Release(report));
    }
}
