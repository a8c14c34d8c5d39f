use std::rc::Rc;

use {
    capnp::capability::FromClientHook,
    capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::AsyncReadExt,
    mangostep_policy::HomeKey,
    mangostep_wire::{
        PROTOCOL_VERSION, is_compatible_version,
        peer_capnp::{gate, hello, peer_link},
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::compat::TokioAsyncReadCompatExt,
};

use crate::{peer::PeerDuties, prelude::*, relay::fleet_json};

/// Accepts connections from other entry hosts until the thread ends.
pub(crate) async fn accept_peers(duties: Rc<PeerDuties>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_peer(duties.clone(), stream));
            }
            Err(err) => {
                slog::warn!(duties.context.log, "peer not accepted"; "cause" => err.to_string());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_peer(duties: Rc<PeerDuties>, stream: TcpStream) {
    // Small messages must not be delayed; a failure only increases latency.
    let _ = stream.set_nodelay(true);
    let context = duties.context.clone();
    let gate: gate::Client = new_client(PeerGate { duties });
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        Default::default(),
    );
    let served = RpcSystem::new(
        Box::new(network),
        Some(gate.client.as_client_hook().add_ref().into_client()),
    )
    .await;
    // No further handling is needed: the peer's calls time out on its side.
    if served.is_err() {
        context.counters.count("peer-connection-broken", &[]);
    }
}

trait IntoClient {
    fn into_client(self) -> capnp::capability::Client;
}

impl IntoClient for Box<dyn capnp::private::capability::ClientHook> {
    fn into_client(self) -> capnp::capability::Client {
        capnp::capability::Client::new(self)
    }
}

/// Bootstrap interface of a connection.
///
/// A peer receives the [`PeerServer`] only after its fleet and its protocol
/// version have been checked.
struct PeerGate {
    duties: Rc<PeerDuties>,
}

impl PeerGate {
    fn refuse(&self, reason: &'static str) -> capnp::Error {
        let counters = &self.duties.context.counters;
        counters.count("peer-greeting-refused", &[("reason", reason)]);
        capnp::Error::failed(reason.to_owned())
    }
}

impl gate::Server for PeerGate {
    async fn greet(
        self: Rc<Self>,
        params: gate::GreetParams,
        mut results: gate::GreetResults,
    ) -> Result<(), capnp::Error> {
        let hello = params.get()?.get_hello()?;
        let settings = &self.duties.context.settings;
        if hello.get_fleet()?.to_str()? != settings.fleet {
            return Err(self.refuse("another fleet"));
        }
        if !is_compatible_version(hello.get_protocol()) {
            return Err(self.refuse("another protocol version"));
        }
        let host = hello.get_host()?.to_string()?;
        let mut answer = results.get();
        write_hello(&self.duties.context, answer.reborrow().init_hello());
        answer.set_link(new_client(PeerServer {
            duties: self.duties.clone(),
            host,
        }));
        Ok(())
    }
}

/// Fills in the greeting of this host.
pub(crate) fn write_hello(context: &HostContext, mut hello: hello::Builder<'_>) {
    hello.set_protocol(PROTOCOL_VERSION);
    hello.set_fleet(&context.settings.fleet);
    hello.set_host(&context.settings.host);
    hello.set_incarnation(context.incarnation);
    hello.set_zone(&context.settings.zone);
}

/// Serves the calls of one peer by passing each to the module concerned.
struct PeerServer {
    duties: Rc<PeerDuties>,
    /// Name of the peer.
    host: String,
}

impl peer_link::Server for PeerServer {
    async fn vouch(
        self: Rc<Self>,
        params: peer_link::VouchParams,
        mut results: peer_link::VouchResults,
    ) -> Result<(), capnp::Error> {
        let context = &self.duties.context;
        context.recorder.clock().observe(params.get()?.get_stamp());
        let mut answer = results.get();
        answer.set_stamp(context.recorder.clock().tick());
        let mut answer = answer.init_answer();
        answer.set_host(&context.settings.host);
        let now = context.clock.now();
        answer.set_in_doubt(context.lease.is_in_doubt(now));
        let fresh_us = context.standing.head_fresh_for(now).as_micros();
        answer.set_fresh_us(u64::try_from(fresh_us).unwrap_or(u64::MAX));
        answer.set_version(context.snapshot.load().version());
        answer.set_member_set(context.lease.members().version());
        Ok(())
    }

    async fn fetch_snapshot(
        self: Rc<Self>,
        params: peer_link::FetchSnapshotParams,
        mut results: peer_link::FetchSnapshotResults,
    ) -> Result<(), capnp::Error> {
        let context = &self.duties.context;
        let params = params.get()?;
        context.recorder.clock().observe(params.get_stamp());
        let mut answer = results.get();
        answer.set_stamp(context.recorder.clock().tick());
        let Some(published) = context.published.current() else {
            return Ok(());
        };
        answer.set_version(published.head.version);
        if published.head.version > params.get_have_version() {
            answer.set_digest(&published.head.digest);
            answer.set_publication(&published.head.publication);
            answer.set_body(&published.body);
        }
        Ok(())
    }

    async fn fetch_fleet(
        self: Rc<Self>,
        params: peer_link::FetchFleetParams,
        mut results: peer_link::FetchFleetResults,
    ) -> Result<(), capnp::Error> {
        let context = &self.duties.context;
        context.recorder.clock().observe(params.get()?.get_stamp());
        let mut answer = results.get();
        answer.set_stamp(context.recorder.clock().tick());
        answer.set_json(fleet_json(context));
        Ok(())
    }

    async fn ask_slot(
        self: Rc<Self>,
        params: peer_link::AskSlotParams,
        results: peer_link::AskSlotResults,
    ) -> Result<(), capnp::Error> {
        let slots = &self.duties.slots;
        slots.serve_request(&self.host, params, results).await
    }

    async fn release_slots(
        self: Rc<Self>,
        params: peer_link::ReleaseSlotsParams,
        results: peer_link::ReleaseSlotsResults,
    ) -> Result<(), capnp::Error> {
        let slots = &self.duties.slots;
        slots.serve_releases(&self.host, &params, results)
    }

    async fn ask_ejection(
        self: Rc<Self>,
        params: peer_link::AskEjectionParams,
        results: peer_link::AskEjectionResults,
    ) -> Result<(), capnp::Error> {
        self.duties.slots.serve_ejection(&params, results)
    }

    async fn ask_tokens(
        self: Rc<Self>,
        params: peer_link::AskTokensParams,
        results: peer_link::AskTokensResults,
    ) -> Result<(), capnp::Error> {
        self.duties
            .limits
            .serve_token_request(params, results)
            .await
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer_link::HandOverParams,
        results: peer_link::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let resource = params.get()?.get_resource()?.to_str()?;
        if HomeKey::parse(resource).is_some() {
            return self.duties.limits.serve_handover(&params, results);
        }
        self.duties.slots.serve_update(&params, results)
    }
}
