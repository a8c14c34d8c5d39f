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

/// How far a stop has come; the threads wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// Serving.
    Running,
    /// Running requests may end, new ones are refused.
    Draining,
    /// What the host holds goes to other hosts.
    Releasing,
    /// Everything ends.
    Stopped,
}

/// Time between two looks at a condition during a stop.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Longest time that a stop waits for the table service.
const RELEASE_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait for the permits of cells that other hosts took over.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(2);

impl EntryHost {
    /// Starts all threads; the host serves once it has a configuration.
    ///
    /// Returns when all listeners are bound.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be bound or a client not be set up.
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
            running: AtomicU64::new(0),
            kept_cells: AtomicU64::new(0),
            settings,
        });
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let capacity = context.settings.ring_capacity;
        let (peer_sender, peer_asks) = mpsc::channel(capacity);
        let peer_ring = PeerRing::new(context.clone(), peer_sender);
        let (back_ring, back_jobs) = back::BackRing::open(capacity);
        let (bound_front, front_bound) = std::sync::mpsc::sync_channel(1);
        let (operator_bound, operator_ready) = std::sync::mpsc::sync_channel(1);
        let (peer_listener, peer_bound) = peer::bind(context.settings.peer)?;
        let threads = vec![
            front::spawn(
                context.clone(),
                peer_ring,
                back_ring,
                bound_front,
                stopped.clone(),
            )?,
            peer::spawn(context.clone(), peer_listener, peer_asks, stopped.clone())?,
            back::spawn(context.clone(), back_jobs, stopped.clone())?,
            store::spawn(context.clone(), stopped.clone())?,
            operator::spawn(context.clone(), operator_bound, stopped)?,
        ];
        let front = front_bound
            .recv()
            .map_err(|err| DaemonError::new("bind front listener", context.settings.front, err))?;
        let operator = operator_ready.recv().map_err(|err| {
            DaemonError::new("bind operator listener", context.settings.operator, err)
        })?;
        let settings = &context.settings;
        let addresses = HostAddresses {
            front: settings.advertised_front.unwrap_or(front),
            peer: settings.advertised_peer.unwrap_or(peer_bound),
            operator,
        };
        // It is set nowhere else.
        let _ = context.addresses.set(addresses);
        info!(context.log, "started"; "incarnation" => incarnation);
        Ok(EntryHost {
            context,
            stop,
            threads,
        })
    }

    /// Where the host is reached.
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

    /// Stops the host without cutting a request.
    ///
    /// Look-ups elsewhere stop naming it first; while callers may still keep
    /// an earlier answer, it goes on to serve. Then it refuses new requests,
    /// lets running ones end within the grace time of the settings, hands
    /// over what it holds, and takes itself out of the member set.
    pub fn close(self) {
        self.context.leaving.store(true, Ordering::Release);
        info!(self.context.log, "leaving");
        self.context.recorder.record("host-leaving", &[]);
        std::thread::sleep(time_before_drain(&self.context.settings));
        self.context.draining.store(true, Ordering::Release);
        self.stop.send_replace(StopPhase::Draining);
        let context = &self.context;
        wait_for(context, context.settings.stop_grace, || {
            context.running.load(Ordering::Acquire) == 0
        });
        self.stop.send_replace(StopPhase::Releasing);
        wait_for(context, RELEASE_LIMIT, || {
            context.released.load(Ordering::Acquire)
        });
        wait_for(context, HAND_OVER_LIMIT, || {
            context.kept_cells.load(Ordering::Acquire) == 0
        });
        self.stop.send_replace(StopPhase::Stopped);
        for thread in self.threads {
            // A thread that panicked has told so on standard error.
            let _ = thread.join();
        }
        info!(self.context.log, "stopped");
    }
}

/// How long a leaving host serves on, so that no caller still uses it.
///
/// Others name it until they have read the row that says so, and callers keep
/// their answers.
fn time_before_drain(settings: &ServeSettings) -> Duration {
    let lease = &settings.lease;
    let until_read = lease.renewal_interval + lease.reading_gap_max + lease.answer_limit;
    settings.lookup_keep + until_read.max(settings.lookup_keep)
}

/// Waits until a condition holds, or the limit is over.
fn wait_for(context: &HostContext, limit: Duration, holds: impl Fn() -> bool) {
    let end = context.clock.now() + limit;
    while !holds() && context.clock.now() < end {
        std::thread::sleep(STOP_POLL);
    }
}
