use std::{cell::RefCell, collections::HashMap, future::Future, net::SocketAddr};

use {
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::AsyncReadExt,
    mangostep_wire::{
        is_compatible_version,
        peer_capnp::{gate, peer_link},
    },
    tokio::net::{TcpSocket, TcpStream},
    tokio_util::compat::TokioAsyncReadCompatExt,
};

use crate::{peer::gate::write_hello, prelude::*};

/// Open connections to other entry hosts, by address.
///
/// A connection is dropped when a call on it fails or times out, since it may
/// be dead while a new connection would work.
pub(crate) struct PeerLinks {
    context: Arc<HostContext>,
    open: RefCell<HashMap<SocketAddr, peer_link::Client>>,
}

impl PeerLinks {
    pub(crate) fn new(context: Arc<HostContext>) -> Self {
        PeerLinks {
            context,
            open: RefCell::default(),
        }
    }

    /// Makes one call on the connection to a host, connecting if necessary.
    ///
    /// # Errors
    ///
    /// Fails if the host is unreachable, belongs to another fleet, uses
    /// another protocol version, or does not answer within `timeout`. The call
    /// may have taken effect on the host nevertheless.
    pub(crate) async fn call<T, F>(
        &self,
        peer: SocketAddr,
        step: &'static str,
        timeout: Duration,
        call: impl FnOnce(peer_link::Client) -> F,
    ) -> Result<T, DaemonError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let run = async {
            let link = self.link(peer).await?;
            call(link)
                .await
                .map_err(|err| DaemonError::new(step, peer, err))
        };
        let result = match tokio::time::timeout(timeout, run).await {
            Ok(result) => result,
            Err(elapsed) => Err(DaemonError::new(step, peer, elapsed)),
        };
        if result.is_err() {
            self.open.borrow_mut().remove(&peer);
        }
        result
    }

    async fn link(&self, peer: SocketAddr) -> Result<peer_link::Client, DaemonError> {
        if let Some(link) = self.open.borrow().get(&peer) {
            return Ok(link.clone());
        }
        let stream = self
            .connect(peer)
            .await
            .map_err(|err| DaemonError::new("connect", peer, err))?;
        let link = self.greet(peer, stream).await?;
        self.open.borrow_mut().insert(peer, link.clone());
        Ok(link)
    }

    async fn connect(&self, peer: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = if peer.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(outgoing) = self.context.settings.outgoing {
            socket.bind(SocketAddr::new(outgoing, 0))?;
        }
        socket.connect(peer).await
    }

    /// Exchanges greetings on a new connection; refuses a host of another
    /// fleet or protocol version.
    async fn greet(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
    ) -> Result<peer_link::Client, DaemonError> {
        let to_error = |err: capnp::Error| DaemonError::new("greet", peer, err);
        // Small messages must not be delayed; a failure only increases
        // latency.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        let mut request = gate.greet_request();
        write_hello(&self.context, request.get().init_hello());
        let response = request.send().promise.await.map_err(to_error)?;
        let answer = response.get().map_err(to_error)?;
        let hello = answer.get_hello().map_err(to_error)?;
        let fleet = hello.get_fleet().map_err(to_error)?;
        if fleet != self.context.settings.fleet.as_str()
            || !is_compatible_version(hello.get_protocol())
        {
            return Err(DaemonError::new(
                "greet",
                peer,
                "another fleet or protocol version",
            ));
        }
        answer.get_link().map_err(to_error)
    }
}
