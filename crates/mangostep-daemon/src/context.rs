use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use {
    arc_swap::ArcSwap,
    mangostep_objects::Snapshot,
    mangostep_platform::DirectoryEntry,
    mangostep_telemetry::{EventRecorder, HostCounters, StatusBoard},
    serde::{Deserialize, Serialize},
    slog::Logger,
};

use crate::{
    clock::HostClock, prelude::*, published::CurrentPublication, settings::ServeSettings,
    shared_lease::SharedLease,
};

/// State shared by the threads of one entry host.
///
/// The thread that owns a view replaces it as a whole; the other threads read
/// it without a lock.
#[derive(Debug)]
pub(crate) struct HostContext {
    pub(crate) settings: ServeSettings,
    pub(crate) incarnation: u64,
    pub(crate) clock: HostClock,
    pub(crate) log: Logger,
    pub(crate) recorder: EventRecorder,
    pub(crate) counters: HostCounters,
    /// Status sections that operators can read.
    pub(crate) status: StatusBoard,
    /// The configuration in force; written by the store thread.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The hosts and the holders of resources; written by the store thread,
    /// or by the peer thread after a fetch from a seed.
    pub(crate) fleet: ArcSwap<FleetView>,
    /// Backend servers as listed by the directory; written by the same threads
    /// as `fleet`.
    pub(crate) servers: ArcSwap<Vec<DirectoryEntry>>,
    pub(crate) standing: HostStanding,
    /// The lease that determines `standing`.
    pub(crate) lease: SharedLease,
    /// The configuration in force in its published form.
    pub(crate) published: CurrentPublication,
    /// Largest configuration version that the store has reported.
    pub(crate) head_version: AtomicU64,
    /// Addresses of this host; set once all listeners are bound.
    pub(crate) addresses: OnceLock<HostAddresses>,
    /// Set when a graceful shutdown begins.
    pub(crate) leaving: AtomicBool,
    /// Set when a graceful shutdown starts to refuse new requests.
    pub(crate) draining: AtomicBool,
    /// Set once a graceful shutdown has released everything the host held.
    pub(crate) released: AtomicBool,
    /// Set when the host's availability zone takes no new requests.
    pub(crate) zone_closed: AtomicBool,
    /// Number of in-flight requests.
    pub(crate) in_flight: AtomicU64,
    /// Number of cells that this host holds or has not yet handed over.
    pub(crate) open_cells: AtomicU64,
}

/// The addresses at which an entry host accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HostAddresses {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other entry hosts.
    pub peer: SocketAddr,
    /// Address for operators: metrics, status and events.
    pub operator: SocketAddr,
}

/// The hosts of the fleet as this host last read them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    pub(crate) hosts: Vec<PeerHost>,
    /// Holders by resource name, such as `shard/7/0` or `cell/ledger/a`.
    pub(crate) holders: HashMap<String, ResourceHolder>,
}

impl FleetView {
    pub(crate) fn host(&self, name: &str) -> Option<&PeerHost> {
        self.hosts.iter().find(|host| host.name == name)
    }

    pub(crate) fn holder(&self, resource: &str) -> Option<&ResourceHolder> {
        self.holders.get(resource)
    }
}

/// The host to which a resource is assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResourceHolder {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
    /// Increases whenever the resource is assigned to another holder.
    pub(crate) epoch: u64,
}

/// An entry host of the fleet; may be this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerHost {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) zone: String,
    pub(crate) front: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) version: u64,
    /// Number of in-flight requests at its last renewal.
    #[serde(default)]
    pub(crate) running: u64,
    /// Whether it has missed renewals while most hosts have not.
    #[serde(default)]
    pub(crate) silent: bool,
}

/// The times until which this host may act as a holder and counts as fresh,
/// in microseconds of its own monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct HostStanding {
    held_until_us: AtomicU64,
    fresh_until_us: AtomicU64,
    /// The part of `fresh_until_us` that is due to heads that this host read
    /// from the store itself.
    head_fresh_until_us: AtomicU64,
}

impl HostContext {
    /// The largest configuration version that the store has reported.
    pub(crate) fn head_version(&self) -> u64 {
        self.head_version.load(Ordering::Acquire)
    }

    /// The epoch in which this host holds a resource at `now`, if it does.
    ///
    /// Check again immediately before acting, since the process may have been
    /// paused in between.
    pub(crate) fn held_epoch(&self, resource: &str, now: MonotonicTime) -> Option<u64> {
        let fleet = self.fleet.load();
        let holder = fleet.holder(resource)?;
        let is_own = holder.host == self.settings.host && holder.incarnation == self.incarnation;
        (is_own && self.standing.holds(now)).then_some(holder.epoch)
    }
}

impl HostStanding {
    /// Whether the host may act as a holder at `now`.
    pub(crate) fn holds(&self, now: MonotonicTime) -> bool {
        now.as_micros() < self.held_until_us.load(Ordering::Acquire)
    }

    /// Whether the keys and the configuration count as fresh at `now`.
    pub(crate) fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.as_micros() < self.fresh_until_us.load(Ordering::Acquire)
    }

    pub(crate) fn set_held_until(&self, until: MonotonicTime) {
        self.held_until_us
            .store(until.as_micros(), Ordering::Release);
    }

    /// Remaining time for which heads that this host read itself keep it
    /// fresh.
    pub(crate) fn head_fresh_for(&self, now: MonotonicTime) -> Duration {
        let until = self.head_fresh_until_us.load(Ordering::Acquire);
        MonotonicTime::from_micros(until).since(now)
    }

    /// Extends freshness after this host itself has read a head.
    pub(crate) fn extend_head_fresh_until(&self, until: MonotonicTime) {
        self.head_fresh_until_us
            .fetch_max(until.as_micros(), Ordering::AcqRel);
        self.extend_fresh_until(until);
    }

    pub(crate) fn extend_fresh_until(&self, until: MonotonicTime) {
        self.fresh_until_us
            .fetch_max(until.as_micros(), Ordering::AcqRel);
    }
}
