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

/// What the threads of one entry host share.
///
/// Views are swapped whole by the thread that owns them and read without a
/// lock by the others.
#[derive(Debug)]
pub(crate) struct HostContext {
    pub(crate) settings: ServeSettings,
    pub(crate) incarnation: u64,
    pub(crate) clock: HostClock,
    pub(crate) log: Logger,
    pub(crate) recorder: EventRecorder,
    pub(crate) counters: HostCounters,
    /// What duties tell operators.
    pub(crate) status: StatusBoard,
    /// The configuration in force; written by the store thread.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The other hosts and who holds what; written by the store thread.
    pub(crate) fleet: ArcSwap<FleetView>,
    /// Backend servers as the directory lists them; written by the store
    /// thread.
    pub(crate) servers: ArcSwap<Vec<DirectoryEntry>>,
    pub(crate) standing: HostStanding,
    /// The lease that `standing` follows from.
    pub(crate) lease: SharedLease,
    /// The configuration in force as it was published.
    pub(crate) published: CurrentPublication,
    /// Largest configuration version that the store has named.
    pub(crate) head_version: AtomicU64,
    /// Where this host is reached; set once all listeners are bound.
    pub(crate) addresses: OnceLock<HostAddresses>,
    /// Set by a planned stop.
    pub(crate) leaving: AtomicBool,
    /// Set when new requests are refused.
    pub(crate) draining: AtomicBool,
    /// Set once a planned stop has released all that the host held.
    pub(crate) released: AtomicBool,
    /// Set when the host's availability zone takes no new requests.
    pub(crate) zone_closed: AtomicBool,
    /// Requests that run now.
    pub(crate) running: AtomicU64,
    /// Cells that this host holds or has not yet handed over.
    pub(crate) open_cells: AtomicU64,
}

/// Where an entry host is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HostAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For other entry hosts.
    pub peer: SocketAddr,
    /// For operators.
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
    /// A host by name.
    pub(crate) fn host(&self, name: &str) -> Option<&PeerHost> {
        self.hosts.iter().find(|host| host.name == name)
    }

    /// The holder of a resource.
    pub(crate) fn holder(&self, resource: &str) -> Option<&ResourceHolder> {
        self.holders.get(resource)
    }
}

/// The host that a resource is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResourceHolder {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
    /// Grows whenever the resource changes hands.
    pub(crate) epoch: u64,
}

/// Another entry host, or this one.
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
    /// Requests that ran on it when it last renewed.
    #[serde(default)]
    pub(crate) running: u64,
    /// It has not renewed lately, though most hosts have.
    #[serde(default)]
    pub(crate) silent: bool,
}

/// Until when this host may act, on its own monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct HostStanding {
    held_until_us: AtomicU64,
    fresh_until_us: AtomicU64,
    /// The part of it that a head read from the store by this host accounts
    /// for.
    head_fresh_until_us: AtomicU64,
}

impl HostContext {
    /// The largest configuration version that the store has named.
    pub(crate) fn head_version(&self) -> u64 {
        self.head_version.load(Ordering::Acquire)
    }

    /// The epoch under which this host holds a resource at `now`, if it does.
    ///
    /// Ask again right before acting: the process may have been paused since.
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

    /// Whether keys and configuration are known to be recent at `now`.
    pub(crate) fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.as_micros() < self.fresh_until_us.load(Ordering::Acquire)
    }

    pub(crate) fn set_held_until(&self, until: MonotonicTime) {
        self.held_until_us
            .store(until.as_micros(), Ordering::Release);
    }

    /// How long a head that this host read itself keeps it fresh.
    pub(crate) fn head_fresh_for(&self, now: MonotonicTime) -> Duration {
        let until = self.head_fresh_until_us.load(Ordering::Acquire);
        MonotonicTime::from_micros(until).since(now)
    }

    /// Takes note of a head that this host read itself.
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
