use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use {
    mangostep_objects::Snapshot,
    mangostep_policy::{
        HostTable, LapseRule, RetryAllowance, ServerPool, SlidingCounter, TableCopy, TokenLedger,
        TrafficSplitter,
    },
    mangostep_telemetry::HostCounters,
    rand::{SeedableRng, rngs::SmallRng},
    slog::Logger,
    tokio::time::Instant,
};

use crate::{
    back::BackPools,
    clock,
    peers::{PeerPort, TableMark},
    platform::FleetTable,
    prelude::*,
    settings::HostSettings,
};

/// What the duties of a host share. One thread runs them all.
pub(crate) struct HostContext {
    pub(crate) settings: HostSettings,
    pub(crate) log: Logger,
    pub(crate) counters: HostCounters,
    pub(crate) opened: MonotonicTime,
    /// Start of this process, in milliseconds since 1970.
    pub(crate) incarnation: u64,
    pub(crate) snapshot: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) tables: RefCell<TableStates>,
    pub(crate) lapse: RefCell<LapseRule>,
    pub(crate) pool: RefCell<ServerPool>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) allowance: RefCell<RetryAllowance>,
    pub(crate) ledger: RefCell<TokenLedger>,
    pub(crate) splits: RefCell<HashMap<String, TrafficSplitter>>,
    pub(crate) requests: RefCell<SlidingCounter>,
    pub(crate) random: RefCell<SmallRng>,
    pub(crate) backs: BackPools,
    pub(crate) peers: PeerPort,
    pub(crate) phase: Cell<HostPhase>,
    /// The times of a planned stop, once it began.
    pub(crate) stop: Cell<Option<StopTimes>>,
    /// Bytes of bodies that are held for requests under way.
    pub(crate) held_bytes: Cell<u64>,
    /// Whether the last call to the store failed.
    pub(crate) store_failed: Cell<bool>,
    /// Wakes the reports when a table changed.
    pub(crate) report_wake: tokio::sync::Notify,
    /// Requests under way.
    pub(crate) held_requests: Cell<u64>,
}

/// Longest time for which a host that starts waits to learn of the others.
pub(crate) const HOSTS_WAIT: Duration = Duration::from_secs(1);

/// Where a host stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HostPhase {
    /// It takes callers once it knows a configuration.
    Serving,
    /// It was told to stop, and still serves those who come.
    Leaving,
    /// It takes no more requests and ends those under way.
    Closing,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    /// Until then every request is served.
    pub(crate) serves_all_until: Instant,
    /// By then all requests have ended.
    pub(crate) end: Instant,
}

impl StopTimes {
    /// Whether a request that comes now and ends by its deadline may be
    /// served: it must not be broken off by the end of the process.
    pub(crate) fn allows(&self, deadline: Instant) -> bool {
        Instant::now() < self.serves_all_until || deadline < self.end
    }
}

/// The copies of the followed tables, with digests to compare with those of
/// other hosts.
#[derive(Default)]
pub(crate) struct TableStates([TableState; FleetTable::ALL.len()]);

#[derive(Default)]
pub(crate) struct TableState {
    pub(crate) copy: TableCopy,
    /// Combined digest of what the rows say, heartbeats aside.
    pub(crate) digest: u64,
    /// Bytes of the rows that changed last.
    pub(crate) changed_bytes: usize,
    /// Whether the table was read at least once.
    pub(crate) is_known: bool,
    /// When the copy was last known to be current: it was read, or a watcher
    /// told of the same one.
    pub(crate) confirmed: MonotonicTime,
}

impl TableState {
    /// Whether another host that has followed the table so far knows more.
    pub(crate) fn lacks(&self, mark: &TableMark) -> bool {
        mark.digest != self.digest && mark.version > self.copy.version()
    }
}

impl TableStates {
    pub(crate) fn of(&self, table: FleetTable) -> &TableState {
        &self.0[table.index()]
    }

    pub(crate) fn of_mut(&mut self, table: FleetTable) -> &mut TableState {
        &mut self.0[table.index()]
    }
}

impl HostContext {
    /// A random source that differs from host to host.
    pub(crate) fn random_source() -> SmallRng {
        SmallRng::seed_from_u64(rand::random())
    }

    /// Whether this host takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == HostPhase::Serving && self.knows_enough()
    }

    /// Whether this host knows a configuration, the backend servers and, for
    /// its first moments, the other hosts, which count tokens.
    pub(crate) fn knows_enough(&self) -> bool {
        let tables = self.tables.borrow();
        let is_known = |table| tables.of(table).is_known;
        let knows_hosts =
            is_known(FleetTable::Hosts) || clock::now().since(self.opened) >= HOSTS_WAIT;
        self.snapshot.borrow().is_some() && is_known(FleetTable::Servers) && knows_hosts
    }

    /// Takes note of whether the store answered a call.
    pub(crate) fn note_store(&self, is_answered: bool) {
        self.store_failed.set(!is_answered);
        let mut hosts = self.hosts.borrow_mut();
        hosts.record_store_call(is_answered, clock::now());
    }

    pub(crate) fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }
}
