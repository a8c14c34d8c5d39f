//! The peer thread: one thread that speaks Cap'n Proto RPC with the other
//! entry hosts and carries the duties that need them.

mod gate;
mod links;
mod ring;

use std::{net::SocketAddr, rc::Rc, thread::JoinHandle};

use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{mpsc, watch},
    task::LocalSet,
};

use crate::{
    entry_host::StopPhase,
    limits::{LimitDuty, LimitName},
    peer::ring::PeerAsk,
    prelude::*,
    refusal::Refusal,
    relay::RelayDuty,
    slots::{SlotDuty, SlotGrant, SlotRequest},
    vouching::VouchDuty,
};

pub(crate) use crate::peer::{links::PeerLinks, ring::PeerRing};

/// Everything that the peer thread does; it lives on that thread alone.
pub(crate) struct PeerDuties {
    pub(crate) context: Arc<HostContext>,
    pub(crate) limits: Rc<LimitDuty>,
    pub(crate) slots: Rc<SlotDuty>,
    pub(crate) relay: Rc<RelayDuty>,
    pub(crate) vouching: Rc<VouchDuty>,
}

impl PeerDuties {
    fn new(context: &Arc<HostContext>) -> Rc<Self> {
        let links = Rc::new(PeerLinks::new(context.clone()));
        let relay = Rc::new(RelayDuty::new(context.clone(), links.clone()));
        let vouching = VouchDuty::new(context.clone(), links.clone(), relay.clone());
        Rc::new(PeerDuties {
            context: context.clone(),
            relay,
            vouching: Rc::new(vouching),
            limits: LimitDuty::new(context.clone(), links.clone()),
            slots: SlotDuty::new(context.clone(), links),
        })
    }
}

/// Binds the listener for other entry hosts; port 0 takes a free one.
pub(crate) fn bind(
    address: SocketAddr,
) -> Result<(std::net::TcpListener, SocketAddr), DaemonError> {
    let failed = |err| DaemonError::new("bind peer listener", address, err);
    let listener = std::net::TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

impl PeerDuties {
    async fn open_permit(
        &self,
        limit: Option<LimitName>,
        request: SlotRequest,
    ) -> Result<SlotGrant, Refusal> {
        if let Some(name) = limit {
            self.limits.admit(name, request.deadline).await?;
        }
        self.slots.open_permit(request).await
    }
}

/// Starts the peer thread.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    listener: std::net::TcpListener,
    asks: mpsc::Receiver<PeerAsk>,
    mut stopped: watch::Receiver<StopPhase>,
) -> Result<JoinHandle<()>, DaemonError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| DaemonError::new("start runtime", "peer thread", err))?;
    let run = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let duties = PeerDuties::new(&context);
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::task::spawn_local(gate::accept_peers(duties.clone(), listener));
                }
                Err(err) => {
                    slog::error!(context.log, "peer listener failed"; "cause" => err.to_string());
                }
            }
            tokio::task::spawn_local(duties.vouching.clone().run());
            tokio::task::spawn_local(duties.relay.clone().run());
            tokio::task::spawn_local(duties.slots.clone().run());
            tokio::task::spawn_local(duties.limits.clone().run());
            tokio::task::spawn_local(serve_asks(duties, asks));
            // An error means that the sender is gone, which is a stop too.
            let _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped).await;
        });
    };
    std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "peer thread", err))
}

async fn serve_asks(duties: Rc<PeerDuties>, mut asks: mpsc::Receiver<PeerAsk>) {
    while let Some(ask) = asks.recv().await {
        match ask {
            PeerAsk::Release(report) => duties.slots.release(report),
            PeerAsk::OpenPermit {
                limit,
                request,
                reply,
            } => {
                let duties = duties.clone();
                tokio::task::spawn_local(async move {
                    let result = duties.open_permit(limit, request).await;
                    if let Err(Ok(unused)) = reply.send(result) {
                        duties.slots.release(unused.into_unused());
                    }
                });
            }
        }
    }
}
