use std::{
    collections::{HashMap, VecDeque},
    net::{SocketAddr, UdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
};

use {
    mangostep_policy::{
        PeerKey, SentEntry, ShareEntry, ShareGrant, ShareHome, ShareSettings, ShareSpender,
        TokenVerdict,
    },
    tokio::sync::{Notify, oneshot},
};

use crate::{
    clock,
    peers::{
        messages::{PeerMessage, ShareRequest, decode, encode, is_share_message},
        receiving::{ARRIVED_MAX, DATAGRAM_BYTES_MAX, peer_key},
    },
    prelude::*,
    settings::HostSettings,
};

/// Time after which a response is not expected any more.
const RESPONSE_EXPIRY: Duration = Duration::from_secs(5);

/// Idle time after which the bucket of a workspace is discarded.
const BUCKET_IDLE_TIME: Duration = Duration::from_secs(60);

/// Maximum size of the datagrams that wait for the thread that serves callers,
/// in bytes.
const QUEUED_BYTES_MAX: usize = 512 << 10;

/// Shares of limits, used by the thread that serves callers and by the one that
/// receives datagrams.
pub(crate) struct LimitShares {
    state: Mutex<ShareState>,
    /// The socket for datagrams; it does not block.
    socket: UdpSocket,
    queue: Mutex<DatagramQueue>,
    arrived: Notify,
}

/// The decisions of this host about limits, and the requests without a response.
pub(super) struct ShareState {
    pub(super) home: ShareHome,
    pub(super) spender: ShareSpender,
    next_id: u64,
    pending: HashMap<u64, PendingRequest>,
    waiters: HashMap<u64, oneshot::Sender<HomeVerdict>>,
    /// First homes that owe a response, and since when.
    pub(super) unanswered: HashMap<String, MonotonicTime>,
    /// Homes that were logged as silent.
    pub(super) silent: Vec<String>,
    /// Names of all limit homes, in order.
    pub(super) homes: Vec<String>,
}

/// A verdict and the home that gave it.
pub(super) struct HomeVerdict {
    pub(super) verdict: TokenVerdict,
    pub(super) home: String,
}

/// Why entries are sent to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryPurpose {
    /// A caller's request waits for the response.
    Token { waiter: u64 },
    /// The host reports what it spent, and renews its allowances.
    Report,
    /// The host reports what it granted as a standby home.
    StandbyDebt,
}

/// A request to a home without a response.
struct PendingRequest {
    home: String,
    sent: MonotonicTime,
    purpose: EntryPurpose,
    entries: Vec<PendingEntry>,
}

struct PendingEntry {
    bucket: String,
    overspent: u32,
}

/// Datagrams for the thread that serves callers.
#[derive(Default)]
struct DatagramQueue {
    datagrams: VecDeque<(Vec<u8>, SocketAddr)>,
    bytes: usize,
    dropped: u64,
}

impl LimitShares {
    pub(crate) fn open(settings: &HostSettings, socket: UdpSocket) -> Self {
        let bounds = &settings.bounds;
        let shares = ShareSettings {
            window: bounds.limit_window_s,
            overshoot: bounds.limit_overshoot,
            slack: bounds.limit_slack,
            ..Default::default()
        };
        let state = ShareState {
            home: ShareHome::open(shares.clone(), clock::now()),
            spender: ShareSpender::open(shares),
            next_id: 1,
            pending: HashMap::new(),
            waiters: HashMap::new(),
            unanswered: HashMap::new(),
            silent: Vec::new(),
            homes: Vec::new(),
        };
        LimitShares {
            state: Mutex::new(state),
            socket,
            queue: Mutex::default(),
            arrived: Notify::new(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ShareState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self) -> MutexGuard<'_, DatagramQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a datagram to the thread that serves callers.
    fn push_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let mut queue = self.queue();
        if queue.bytes + bytes.len() > QUEUED_BYTES_MAX {
            queue.dropped += 1;
            return;
        }
        queue.bytes += bytes.len();
        queue.datagrams.push_back((bytes.to_vec(), from));
        drop(queue);
        self.arrived.notify_one();
    }

    /// Takes the next datagram for the thread that serves callers.
    pub(crate) fn pop_datagram(&self) -> Option<(Vec<u8>, SocketAddr)> {
        let mut queue = self.queue();
        let next = queue.datagrams.pop_front()?;
        queue.bytes -= next.0.len();
        Some(next)
    }

    /// Returns how many datagrams were dropped since the last call.
    pub(super) fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.queue().dropped)
    }

    /// Waits until there may be a datagram for the thread that serves callers.
    pub(crate) async fn wait_for_datagram(&self) {
        self.arrived.notified().await;
    }

    /// Records that this host did not run for a while.
    pub(crate) fn record_pause(&self, pause: Duration) {
        self.state().home.record_pause(pause, clock::now());
    }

    /// Handles the datagrams that have arrived already.
    ///
    /// The thread that receives datagrams may not have run since they arrived,
    /// on a host with a tenth of a core.
    pub(super) fn receive_arrived(&self) {
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        for _ in 0..ARRIVED_MAX {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer) else {
                return;
            };
            self.handle(&buffer[..length], from);
        }
    }

    /// Handles a datagram about shares, and leaves others to the thread that
    /// serves callers.
    pub(super) fn handle(&self, bytes: &[u8], from: SocketAddr) {
        if !is_share_message(bytes) {
            self.push_datagram(bytes, from);
            return;
        }
        match decode(bytes) {
            Some(PeerMessage::ShareRequest(request)) => self.respond(&request, from),
            Some(PeerMessage::ShareResponse { request_id, grants }) => {
                self.state().record_response(request_id, &grants);
            }
            _ => {}
        }
    }

    /// Responds to a request of a peer. Without a response, other homes decide.
    fn respond(&self, request: &ShareRequest<'_>, from: SocketAddr) {
        let PeerKey(key) = peer_key(from);
        let host = PeerKey(key ^ request.incarnation);
        let request_id = request.request_id;
        let now = clock::now();
        let grants = {
            let home = &mut self.state().home;
            home.respond(host, request_id, &request.entries, now)
        };
        if let Some(grants) = grants {
            let response = PeerMessage::ShareResponse { request_id, grants };
            // A response that cannot be sent is lost, as in the network.
            let _ = self.socket.send_to(&encode(&response), from);
        }
    }
}

impl ShareState {
    /// Registers a caller's request that waits for a token.
    pub(super) fn add_waiter(&mut self) -> (u64, oneshot::Receiver<HomeVerdict>) {
        let (sender, receiver) = oneshot::channel();
        let waiter = self.next_id();
        self.waiters.insert(waiter, sender);
        (waiter, receiver)
    }

    /// Removes a caller's request. Tokens that arrive later are kept for other
    /// requests.
    pub(super) fn remove_waiter(&mut self, waiter: u64) {
        self.waiters.remove(&waiter);
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Registers a request to a home, and returns its id.
    pub(super) fn register(
        &mut self,
        home: &str,
        entries: &[ShareEntry<'_>],
        purpose: EntryPurpose,
    ) -> u64 {
        let now = clock::now();
        let request_id = self.next_id();
        let pending = entries.iter().map(|entry| PendingEntry {
            bucket: entry.bucket.clone().into_owned(),
            overspent: entry.overspent,
        });
        let pending = PendingRequest {
            home: home.to_owned(),
            sent: now,
            purpose,
            entries: pending.collect(),
        };
        self.pending.insert(request_id, pending);
        if entries.iter().any(|entry| entry.rank == 0) && !self.unanswered.contains_key(home) {
            self.unanswered.insert(home.to_owned(), now);
        }
        request_id
    }

    pub(super) fn record_response(&mut self, request_id: u64, grants: &[ShareGrant]) {
        let Some(pending) = self.pending.remove(&request_id) else {
            return;
        };
        let now = clock::now();
        self.unanswered.remove(&pending.home);
        for (entry, grant) in pending.entries.iter().zip(grants) {
            if pending.purpose == EntryPurpose::StandbyDebt {
                self.home
                    .record_confirmation(&entry.bucket, entry.overspent, *grant, now);
                continue;
            }
            let waiter = match pending.purpose {
                EntryPurpose::Token { waiter } => self.waiters.remove(&waiter),
                _ => None,
            };
            let waiter = waiter.filter(|waiter| !waiter.is_closed());
            let sent = SentEntry {
                sent: pending.sent,
                overspent: entry.overspent,
            };
            let is_waiting = waiter.is_some();
            let home = &pending.home;
            let spender = &mut self.spender;
            let verdict = spender.record_grant(&entry.bucket, home, *grant, sent, is_waiting, now);
            if let Some((verdict, waiter)) = verdict.zip(waiter) {
                let home = pending.home.clone();
                // The caller's request may have ended in the meantime.
                let _ = waiter.send(HomeVerdict { verdict, home });
            }
        }
    }

    /// Discards what no longer matters.
    pub(super) fn discard_idle(&mut self, now: MonotonicTime) {
        self.pending
            .retain(|_, pending| now.since(pending.sent) < RESPONSE_EXPIRY);
        self.home.discard_idle(BUCKET_IDLE_TIME, now);
        self.spender.discard_idle(now);
    }
}
