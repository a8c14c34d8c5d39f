use tokio::sync::{mpsc, oneshot};

use crate::{
    limits::LimitName,
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, SlotGrant, SlotReport, SlotRequest},
};

/// What the front thread asks of the peer thread.
pub(crate) enum PeerAsk {
    /// Takes a token of the limit, when one counts, and then a slot: one
    /// round for both, since each wakes two threads.
    OpenPermit {
        limit: Option<LimitName>,
        request: SlotRequest,
        reply: oneshot::Sender<Result<SlotGrant, Refusal>>,
    },
    Release(SlotReport),
}

/// The front thread's end of the ring to the peer thread.
#[derive(Clone, Debug)]
pub(crate) struct PeerRing {
    context: Arc<HostContext>,
    sender: mpsc::Sender<PeerAsk>,
}

const RING_FULL: Refusal = Refusal::not_run(503, "ring-full");

impl PeerRing {
    pub(crate) fn new(context: Arc<HostContext>, sender: mpsc::Sender<PeerAsk>) -> Self {
        PeerRing { context, sender }
    }

    pub(crate) fn context(&self) -> &HostContext {
        &self.context
    }

    /// Takes one token of a limit, when one counts, and then one slot of a
    /// backend server.
    pub(crate) async fn open_permit(
        &self,
        limit: Option<LimitName>,
        request: SlotRequest,
    ) -> Result<OpenPermit, Refusal> {
        let (reply, answer) = oneshot::channel();
        let ask = PeerAsk::OpenPermit {
            limit,
            request,
            reply,
        };
        self.sender.try_send(ask).map_err(|_| RING_FULL)?;
        let grant = answer
            .await
            .unwrap_or(Err(Refusal::not_run(503, "host-stopping")))?;
        Ok(OpenPermit::new(grant, self.clone()))
    }

    /// Gives a slot back.
    ///
    /// A report that finds the ring full is lost; the keeper takes the slot
    /// back when the permit ends.
    pub(crate) fn release(&self, report: SlotReport) {
        let _ = self.sender.try_send(PeerAsk::Release(report));
    }
}
