//! Relay: fetches the configuration and the fleet view from other hosts while
//! the store does not answer.

mod fleet;

pub(crate) use crate::relay::fleet::fleet_json;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use {mangostep_platform::ConfigurationHead, mangostep_wire::peer_capnp::peer_link};

use crate::{
    peer::PeerLinks,
    prelude::*,
    published::PublishedSet,
    relay::fleet::{FleetReport, adopt_fleet},
};

/// How long to wait for a version from the object store before it is fetched
/// from a peer.
const STORE_WAIT_MAX: Duration = Duration::from_secs(1);

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches configurations and fleet views from peers on the peer thread.
pub(crate) struct RelayDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    /// Whether a snapshot is being fetched.
    fetching: Cell<bool>,
    /// Index of the next peer to fetch from, modulo the number of candidates.
    next_index: Cell<usize>,
}

impl RelayDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Self {
        RelayDuty {
            context,
            links,
            fetching: Cell::new(false),
            next_index: Cell::new(0),
        }
    }

    /// Periodically fetches from peers what the store has not delivered, until
    /// the thread ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut behind_since = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.context.clock.now();
            if self.context.lease.members().version() == 0 {
                self.fetch_fleet_from_seeds().await;
            }
            if !self.is_behind() {
                behind_since = None;
                continue;
            }
            let since = *behind_since.get_or_insert(now);
            if now.since(since) >= STORE_WAIT_MAX
                && let Some(peer) = self.next_newer_peer()
            {
                self.fetch_snapshot(peer).await;
            }
        }
    }

    /// Whether the store's head names a larger version than the one in force.
    fn is_behind(&self) -> bool {
        self.context.snapshot.load().version() < self.context.head_version()
    }

    /// A host whose row names a version larger than the one in force, chosen
    /// round-robin.
    fn next_newer_peer(&self) -> Option<SocketAddr> {
        let own_version = self.context.snapshot.load().version();
        let fleet = self.context.fleet.load();
        let newer_peers: Vec<SocketAddr> = fleet
            .hosts
            .iter()
            .filter(|host| host.version > own_version && host.name != self.context.settings.host)
            .map(|host| host.peer)
            .collect();
        let next_index = self.next_index.get();
        self.next_index.set(next_index.wrapping_add(1));
        newer_peers
            .get(next_index % newer_peers.len().max(1))
            .copied()
    }

    /// Fetches and installs a peer's snapshot if its version is larger than
    /// the one in force.
    ///
    /// Does nothing while another fetch is in progress.
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
        let own_version = context.snapshot.load().version();
        let call = async |link: peer_link::Client| {
            let mut request = link.fetch_snapshot_request();
            request.get().set_stamp(context.recorder.clock().tick());
            request.get().set_have_version(own_version);
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
            .call(peer, "fetch snapshot", FETCH_TIMEOUT, call)
            .await?;
        if published.head.version <= own_version {
            return Ok(());
        }
        // Compiling a large set would block the peer thread.
        let install = move || {
            let from = peer.to_string();
            context.published.install(&context, &from, published)
        };
        tokio::task::spawn_blocking(install)
            .await
            .map_err(|err| DaemonError::new("compile snapshot", peer, err))?
    }

    /// Fetches the fleet view from the seeds in the settings.
    async fn fetch_fleet_from_seeds(&self) {
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
                Ok(report) => adopt_fleet(&self.context, report),
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
