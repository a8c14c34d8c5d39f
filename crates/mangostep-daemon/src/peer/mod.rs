//! The peer thread, which exchanges Cap'n Proto RPC calls with the other entry
//! hosts.
//!
//! All tasks that need such calls run on it: rate limits, slots, the relay of
//! configuration and fleet, and vouching.

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
    peer::ring::PeerRequest,
    prelude::*,
    refusal::Refusal,
    relay::RelayDuty,
    slots::{SlotDuty, SlotGrant, SlotRequest},
    vouching::VouchDuty,
};

pub(crate) use crate::peer::{links::PeerLinks, ring::PeerRing};

/// Tasks of the peer thread; accessible from that thread only.
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

/// Binds the listener for other entry hosts, and returns it with its address.
///
/// Port 0 selects a free port.
pub(crate) fn bind(
    address: SocketAddr,
) -> Result<(std::net::TcpListener, SocketAddr), DaemonError> {
    let to_error = |err| DaemonError::new("bind peer listener", address, err);
    let listener = std::net::TcpListener::bind(address).map_err(to_error)?;
    listener.set_nonblocking(true).map_err(to_error)?;
    let bound = listener.local_addr().map_err(to_error)?;
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
    requests: mpsc::Receiver<PeerRequest>,
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
            tokio::task::spawn_local(serve_requests(duties, requests));
            // An error means that the sender was dropped, which also stops the
            // thread.
            let _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped).await;
        });
    };
    std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "peer thread", err))
}

async fn serve_requests(duties: Rc<PeerDuties>, mut requests: mpsc::Receiver<PeerRequest>) {
    while let Some(request) = requests.recv().await {
        match request {
            PeerRequest::Release(report) => duties.slots.release(report),
            PeerRequest::OpenPermit {
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
