//! Relay: configuration and the fleet's view from other hosts, for a host
//! that the store does not answer.

mod fleet;

pub(crate) use crate::relay::fleet::fleet_json;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use {mangostep_platform::ConfigurationHead, mangostep_wire::peer_capnp::peer_link};

use crate::{
    peer::PeerLinks,
    prelude::*,
    published::PublishedSet,
    relay::fleet::{FleetReport, learn_fleet},
};

/// How long a version is awaited from the object store before a peer is asked.
const STORE_PATIENCE: Duration = Duration::from_secs(1);

/// How often this duty looks whether something is missing.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Longest time of one fetch from a peer.
const FETCH_LIMIT: Duration = Duration::from_secs(5);

/// The peer thread's part in spreading the configuration.
pub(crate) struct RelayDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    fetching: Cell<bool>,
    turn: Cell<usize>,
}

impl RelayDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Self {
        RelayDuty {
            context,
            links,
            fetching: Cell::new(false),
            turn: Cell::new(0),
        }
    }

    /// Fetches from peers what the store does not give.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut missing_since = None;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let now = self.context.clock.now();
            if self.context.lease.members().version() == 0 {
                self.ask_seeds().await;
            }
            if !self.is_behind() {
                missing_since = None;
                continue;
            }
            let since = *missing_since.get_or_insert(now);
            if now.since(since) >= STORE_PATIENCE
                && let Some(peer) = self.next_ahead()
            {
                self.fetch_snapshot(peer).await;
            }
        }
    }

    /// Whether the head names a larger version than the one in force.
    fn is_behind(&self) -> bool {
        self.context.snapshot.load().version() < self.context.head_version()
    }

    /// A host whose row names a larger version, in turn.
    fn next_ahead(&self) -> Option<SocketAddr> {
        let own = self.context.snapshot.load().version();
        let fleet = self.context.fleet.load();
        let ahead: Vec<SocketAddr> = fleet
            .hosts
            .iter()
            .filter(|host| host.version > own && host.name != self.context.settings.host)
            .map(|host| host.peer)
            .collect();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        ahead.get(turn % ahead.len().max(1)).copied()
    }

    /// Fetches the snapshot of a peer, if it is larger; one fetch at a time.
    pub(crate) async fn fetch_snapshot(&self, peer: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        if let Err(err) = self.fetch_and_install(peer).await {
            slog::debug!(self.context.log, "snapshot not relayed"; "cause" => err.to_string());
        }
        self.fetching.set(false);
    }

    async fn fetch_and_install(&self, peer: SocketAddr) -> Result<(), DaemonError> {
        let context = self.context.clone();
        let have = context.snapshot.load().version();
        let call = async |link: peer_link::Client| {
            let mut request = link.fetch_snapshot_request();
            request.get().set_stamp(context.recorder.clock().tick());
            request.get().set_have_version(have);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            context.recorder.clock().observe(answer.get_stamp());
            let head = ConfigurationHead {
                version: answer.get_version(),
                digest: answer.get_digest()?.to_string()?,
                publication: answer.get_publication()?.to_string()?,
            };
            let body = Arc::new(answer.get_body()?.to_vec());
            Ok(PublishedSet { head, body })
        };
        let published = self
            .links
            .call(peer, "fetch snapshot", FETCH_LIMIT, call)
            .await?;
        if published.head.version <= have {
            return Ok(());
        }
        // Compiling a large set must not hold up the peer thread.
        let install = move || {
            let from = peer.to_string();
            context.published.install(&context, &from, published)
        };
        tokio::task::spawn_blocking(install)
            .await
            .map_err(|err| DaemonError::new("compile snapshot", peer, err))?
    }

    /// Learns the fleet from the peers named in the settings.
    async fn ask_seeds(&self) {
        for seed in &self.context.settings.seeds {
            if self
                .context
                .addresses
                .get()
                .is_some_and(|own| own.peer == *seed)
            {
                continue;
            }
            match self.fetch_fleet(*seed).await {
                Ok(report) => learn_fleet(&self.context, report),
                Err(err) => {
                    slog::debug!(self.context.log, "fleet not relayed"; "cause" => err.to_string());
                }
            }
        }
    }

    async fn fetch_fleet(&self, peer: SocketAddr) -> Result<FleetReport, DaemonError> {
        let limit = self.context.settings.lease.answer_limit;
        let recorder = &self.context.recorder;
        let call = async |link: peer_link::Client| {
            let mut request = link.fetch_fleet_request();
            request.get().set_stamp(recorder.clock().tick());
            let response = request.send().promise.await?;
            let answer = response.get()?;
            recorder.clock().observe(answer.get_stamp());
            Ok(answer.get_json()?.to_string()?)
        };
        let text = self.links.call(peer, "fetch fleet", limit, call).await?;
        serde_json::from_str(&text).map_err(|err| DaemonError::new("read fleet", peer, err))
    }
}
