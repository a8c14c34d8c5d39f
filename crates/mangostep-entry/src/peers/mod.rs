//! Communication between the hosts of a fleet: heartbeats, evidence about
//! backend servers, and tokens for the rate limits of workspaces.
//!
//! Messages are datagrams, because each one is small and outdated ones are
//! useless. Copies of tables are read over TCP.

mod copies;
mod messages;
mod receiving;
mod reporting;
mod share_reports;
mod share_state;
mod shares;
mod signals;
mod tokens;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use {
    bytes::Bytes,
    mangostep_policy::{HomeReply, TokenReceipts, ZoneList},
    tokio::{net::UdpSocket, sync::oneshot},
};

pub(crate) use self::{
    copies::{COPY_COMPRESSION, read_copy, serve_copies},
    messages::TableSummary,
    receiving::receive,
    reporting::{report, report_once},
    share_reports::report_shares,
    signals::{send_check, send_signal, send_statement},
    tokens::{acquire_server_token, acquire_workspace_token, discard_idle_buckets},
};
use crate::{
    peers::{copies::CopyKey, share_state::LimitShares},
    platform::FleetTable,
    prelude::*,
    settings::HostSettings,
};

/// A peer that has a newer copy of a table than this host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewerCopy {
    /// Address at which the peer serves copies.
    pub(crate) address: SocketAddr,
    /// Version of the peer's copy. `None` for a seed.
    pub(crate) summary: Option<TableSummary>,
    /// Bandwidth of the peer's network link, in Mbit/s.
    pub(crate) link_mbps: u32,
}

/// The peers that have a newer copy of one table than this host.
#[derive(Default)]
pub(crate) struct NewerCopies {
    copies: RefCell<Vec<NewerCopy>>,
    wake: tokio::sync::Notify,
}

impl NewerCopies {
    /// Adds a peer, and wakes the task that reads from it.
    pub(crate) fn push(&self, copy: NewerCopy) {
        self.copies.borrow_mut().push(copy);
        self.wake.notify_one();
    }

    /// Removes and returns all peers.
    pub(crate) fn take(&self) -> Vec<NewerCopy> {
        self.copies.take()
    }

    /// Makes the reading task look for peers, even if none was added.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits for the next peer, or for [`NewerCopies::wake`].
    pub(crate) async fn wait(&self) {
        self.wake.notified().await;
    }
}

/// The socket for datagrams, and the state of the exchange with peers.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    next_request_id: Cell<u64>,
    pending_requests: RefCell<HashMap<u64, oneshot::Sender<HomeReply>>>,
    /// Limit homes that did not respond, with the time until which they are
    /// skipped.
    unresponsive_homes: RefCell<HashMap<String, MonotonicTime>>,
    /// The tokens that this host received, by bucket.
    receipts: RefCell<HashMap<String, TokenReceipts>>,
    /// Share of the limits that this host last granted as a limit home.
    granted_share: Cell<f64>,
    /// Datagrams that could not be sent since the last report.
    unsent: Cell<u64>,
    /// Encoded copies for peers, the most recent at the back.
    copy_frames: RefCell<VecDeque<(CopyKey, Bytes)>>,
    /// The zone lists that were sent last.
    sent_lists: RefCell<Vec<ZoneList>>,
    /// Number of rounds in which the lists are still to be sent.
    list_repeats: Cell<u32>,
    /// Peers with a newer copy of each table, to be read from one of them.
    newer_copies: [NewerCopies; FleetTable::ALL.len()],
    /// Shares of workspaces' limits. `None` if each token is asked for.
    shares: Option<Arc<LimitShares>>,
}

impl PeerSocket {
    pub(crate) async fn open(settings: &HostSettings) -> Result<Self, EntryError> {
        let address = settings.peer;
        let to_error = |err| EntryError::new("bind", address, err);
        let mut socket = UdpSocket::bind(address).await.map_err(to_error)?;
        let mut shares = None;
        if settings.limit_shares {
            let shared = socket.into_std().map_err(to_error)?;
            let received = shared.try_clone().map_err(to_error)?;
            let arrived = shared.try_clone().map_err(to_error)?;
            let opened = Arc::new(LimitShares::open(settings, arrived));
            socket = UdpSocket::from_std(shared).map_err(to_error)?;
            share_reports::start_receiving(Arc::clone(&opened), received).map_err(to_error)?;
            shares = Some(opened);
        }
        Ok(PeerSocket {
            socket,
            shares,
            next_request_id: Cell::new(1),
            pending_requests: RefCell::default(),
            unresponsive_homes: RefCell::default(),
            receipts: RefCell::default(),
            granted_share: Cell::new(1.0),
            unsent: Cell::new(0),
            copy_frames: RefCell::default(),
            sent_lists: RefCell::default(),
            list_repeats: Cell::new(0),
            newer_copies: Default::default(),
        })
    }

    /// The peers that have a newer copy of a table.
    pub(crate) fn newer_copies(&self, table: FleetTable) -> &NewerCopies {
        &self.newer_copies[table.index()]
    }

    /// Sends a datagram. If the socket buffer is full, the datagram is dropped
    /// and counted, as a loss in the network would drop it.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) {
        if self.socket.try_send_to(bytes, to).is_err() {
            self.unsent.set(self.unsent.get() + 1);
        }
    }
}
