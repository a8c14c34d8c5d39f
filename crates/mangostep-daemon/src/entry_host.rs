use std::{
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
};

use {
    arc_swap::ArcSwap,
    mangostep_telemetry::{EventRecorder, HostCounters, RecorderSettings, StatusBoard, open_log},
    slog::info,
    tokio::sync::{mpsc, watch},
};

use crate::{
    back,
    clock::HostClock,
    context::{HostAddresses, HostStanding},
    front, operator,
    peer::{self, PeerRing},
    prelude::*,
    published::CurrentPublication,
    settings::ServeSettings,
    shared_lease::SharedLease,
    store,
};

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    context: Arc<HostContext>,
    stop: watch::Sender<StopPhase>,
    threads: Vec<JoinHandle<()>>,
}

/// The phases of a graceful shutdown, in order; the threads wait for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// The host serves requests; no shutdown has begun.
    Running,
    /// In-flight requests may finish; new requests are refused.
    Draining,
    /// The host hands over the resources that it holds to other hosts.
    Releasing,
    /// All threads end.
    Stopped,
}

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait of a shutdown for the table service.
const TABLE_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait of a shutdown for open permits of cells that other hosts have
/// taken over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

impl EntryHost {
    /// Starts all threads and returns once all listeners are bound.
    ///
    /// The host serves requests as soon as it has a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound, or a client, a thread
    /// or the metrics cannot be set up.
    pub fn open(settings: ServeSettings) -> Result<Self, DaemonError> {
        front::silence_library_log();
        let incarnation = rand::random::<u64>() >> 1;
        let log = open_log(&settings.host);
        let recorder = EventRecorder::new(&settings.host, incarnation, RecorderSettings::default());
        let counters = HostCounters::open()
            .map_err(|err| DaemonError::new("set up metrics", &settings.host, err))?;
        let context = Arc::new(HostContext {
            incarnation,
            clock: HostClock,
            log,
            recorder,
            counters,
            status: StatusBoard::default(),
            snapshot: ArcSwap::default(),
            fleet: ArcSwap::default(),
            servers: ArcSwap::default(),
            standing: HostStanding::default(),
            lease: SharedLease::new(settings.lease.clone(), HostClock.now()),
            published: CurrentPublication::default(),
            head_version: AtomicU64::new(0),
            addresses: OnceLock::new(),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            zone_closed: AtomicBool::new(false),
            released: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            open_cells: AtomicU64::new(0),
            settings,
        });
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let capacity = context.settings.ring_capacity;
        let (peer_sender, peer_requests) = mpsc::channel(capacity);
        let peer_ring = PeerRing::new(context.clone(), peer_sender);
        let (back_sender, back_jobs) = back::BackSender::open(capacity);
        let (front_sender, front_receiver) = std::sync::mpsc::sync_channel(1);
        let (operator_sender, operator_receiver) = std::sync::mpsc::sync_channel(1);
        let (peer_listener, peer_address) = peer::bind(context.settings.peer)?;
        let threads = vec![
            front::spawn(
                context.clone(),
                peer_ring,
                back_sender,
                front_sender,
                stopped.clone(),
            )?,
            peer::spawn(
                context.clone(),
                peer_listener,
                peer_requests,
                stopped.clone(),
            )?,
            back::spawn(context.clone(), back_jobs, stopped.clone())?,
            store::spawn(context.clone(), stopped.clone())?,
            operator::spawn(context.clone(), operator_sender, stopped)?,
        ];
        let front = front_receiver
            .recv()
            .map_err(|err| DaemonError::new("bind front listener", context.settings.front, err))?;
        let operator = operator_receiver.recv().map_err(|err| {
            DaemonError::new("bind operator listener", context.settings.operator, err)
        })?;
        let settings = &context.settings;
        let addresses = HostAddresses {
            front: settings.advertised_front.unwrap_or(front),
            peer: settings.advertised_peer.unwrap_or(peer_address),
            operator,
        };
        // The addresses are set only here.
        let _ = context.addresses.set(addresses);
        info!(context.log, "started"; "incarnation" => incarnation);
        Ok(EntryHost {
            context,
            stop,
            threads,
        })
    }

    /// The bound or, where set, advertised addresses.
    pub fn addresses(&self) -> HostAddresses {
        self.context
            .addresses
            .get()
            .copied()
            .unwrap_or(HostAddresses {
                front: self.context.settings.front,
                peer: self.context.settings.peer,
                operator: self.context.settings.operator,
            })
    }

    /// Shuts the host down gracefully and waits for its threads.
    ///
    /// Look-ups at other hosts stop naming this host first. It continues to
    /// serve while callers may still hold an earlier look-up answer. Then it
    /// refuses new requests, lets in-flight requests finish within
    /// [`ServeSettings::stop_grace`], hands over its resources and leaves the
    /// member set.
    pub fn close(self) {
        self.context.leaving.store(true, Ordering::Release);
        info!(self.context.log, "leaving");
        self.context.recorder.record("host-leaving", &[]);
        std::thread::sleep(time_before_drain(&self.context.settings));
        self.context.draining.store(true, Ordering::Release);
        self.stop.send_replace(StopPhase::Draining);
        let context = &self.context;
        wait_for(context, context.settings.stop_grace, || {
            context.in_flight.load(Ordering::Acquire) == 0
        });
        self.stop.send_replace(StopPhase::Releasing);
        wait_for(context, TABLE_RELEASE_TIMEOUT, || {
            context.released.load(Ordering::Acquire)
        });
        wait_for(context, HANDOVER_TIMEOUT, || {
            context.open_cells.load(Ordering::Acquire) == 0
        });
        self.stop.send_replace(StopPhase::Stopped);
        for thread in self.threads {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
        info!(self.context.log, "stopped");
    }
}

/// How long a leaving host continues to serve before it drains.
///
/// Other hosts name it in look-ups until they have read that its row is marked
/// as leaving, and callers hold look-up answers for `lookup_keep`.
fn time_before_drain(settings: &ServeSettings) -> Duration {
    let lease = &settings.lease;
    let row_read_max = lease.renewal_interval + lease.reading_gap_max + lease.answer_limit;
    settings.lookup_keep + row_read_max.max(settings.lookup_keep)
}

/// Waits until the condition is true, at most for the limit.
fn wait_for(context: &HostContext, limit: Duration, condition: impl Fn() -> bool) {
    let end = context.clock.now() + limit;
    while !condition() && context.clock.now() < end {
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
}
