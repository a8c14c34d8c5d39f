//! What hosts tell each other: who is alive, how backend servers do, and
//! tokens of workspaces.
//!
//! Messages are datagrams, since each is small and old ones are of no use.
//! Copies of tables go over TCP.

mod copies;
mod messages;
mod receiving;
mod reporting;
mod signals;
mod tokens;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use {
    bytes::Bytes,
    mangostep_policy::{TokenVerdict, ZoneList},
    tokio::{net::UdpSocket, sync::oneshot},
};

pub(crate) use self::{
    copies::{read_copy, serve_copies},
    messages::TableSummary,
    receiving::receive,
    reporting::{report, report_once},
    signals::send_signal,
    tokens::acquire_token,
};
use crate::{peers::copies::CopyAsked, platform::FleetTable, prelude::*};

/// A change that another host has and this one lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BehindTable {
    /// Address at which the other host gives copies.
    pub(crate) address: SocketAddr,
    /// How far that host has followed the table; none for a seed.
    pub(crate) mark: Option<TableSummary>,
    /// Width of its link, in Mbit/s.
    pub(crate) link_mbps: u32,
}

/// The socket for datagrams, and the asks that wait for answers.
pub(crate) struct PeerPort {
    socket: UdpSocket,
    next_ask: Cell<u64>,
    asks: RefCell<HashMap<u64, oneshot::Sender<TokenVerdict>>>,
    /// Homes of tokens that did not answer, and until when they are passed
    /// over.
    silent_homes: RefCell<HashMap<String, MonotonicTime>>,
    /// The home that answered last for a workspace, and when.
    last_homes: RefCell<HashMap<String, (String, MonotonicTime)>>,
    /// Datagrams that could not be sent since they were last counted.
    unsent: Cell<u64>,
    /// Answers to hosts that read copies, the latest at the back.
    frames: RefCell<VecDeque<(CopyAsked, Bytes)>>,
    /// The lists that were sent last.
    sent_lists: RefCell<Vec<ZoneList>>,
    /// Tables to be read from one of the hosts that have a newer copy.
    pub(crate) behind: RefCell<HashMap<FleetTable, Vec<BehindTable>>>,
    pub(crate) behind_wake: tokio::sync::Notify,
}

impl PeerPort {
    /// Opens the socket.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, EntryError> {
        let socket = UdpSocket::bind(address).await;
        Ok(PeerPort {
            socket: socket.map_err(|err| EntryError::new("bind", address, err))?,
            next_ask: Cell::new(1),
            asks: RefCell::default(),
            silent_homes: RefCell::default(),
            last_homes: RefCell::default(),
            unsent: Cell::new(0),
            frames: RefCell::default(),
            sent_lists: RefCell::default(),
            behind: RefCell::default(),
            behind_wake: tokio::sync::Notify::new(),
        })
    }

    /// Sends a datagram. A full socket loses it, as the network may; the
    /// reports count those.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) {
        if self.socket.try_send_to(bytes, to).is_err() {
            self.unsent.set(self.unsent.get() + 1);
        }
    }
}
