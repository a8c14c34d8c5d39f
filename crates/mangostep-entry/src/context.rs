use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use {
    http::{HeaderMap, StatusCode},
    mangostep_objects::Snapshot,
    mangostep_policy::{
        AdmissionTable, ConfigurationVersion, CopyComparison, CopySummary, FleetLoad, HostTable,
        LapseRule, PauseDetector, ResponseSizes, RetryAllowance, ServerPool, SlidingCounter,
        StoreVersion, TableCopy, TokenLedger, TrafficSplitter,
    },
    mangostep_telemetry::HostCounters,
    rand::{SeedableRng, rngs::SmallRng},
    slog::Logger,
    tokio::time::Instant,
};

use crate::{
    back::ConnectionPools,
    clock,
    forward::WaitTicket,
    peers::{PeerSocket, TableSummary},
    platform::{DecodedStatement, FleetTable},
    prelude::*,
    rollouts::Rollouts,
    settings::HostSettings,
};

/// State shared by all tasks of a host. All tasks run on one thread.
pub(crate) struct HostContext {
    pub(crate) settings: HostSettings,
    pub(crate) log: Logger,
    pub(crate) counters: HostCounters,
    /// [`Platform::decode_statement`](crate::Platform::decode_statement) of the
    /// host's platform.
    pub(crate) decode_statement: fn(StatusCode, &HeaderMap) -> DecodedStatement,
    /// When a malformed statement of a server was last logged.
    pub(crate) fault_logged: Cell<Option<MonotonicTime>>,
    /// Start of the host on the monotonic clock.
    pub(crate) opened: MonotonicTime,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    pub(crate) snapshot: RefCell<Option<Rc<Snapshot>>>,
    /// Version of the configuration in force.
    pub(crate) configuration: Cell<Option<ConfigurationVersion>>,
    /// Latest era of the store that this host knows of.
    pub(crate) store_era: tokio::sync::watch::Sender<u64>,
    /// Zones that stay out of service although the store has lost their rows,
    /// until the given time.
    pub(crate) held_zones: RefCell<HashMap<String, MonotonicTime>>,
    pub(crate) tables: RefCell<TableStates>,
    pub(crate) lapse: RefCell<LapseRule>,
    pub(crate) pauses: RefCell<PauseDetector>,
    pub(crate) pool: RefCell<ServerPool>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) allowance: RefCell<RetryAllowance>,
    /// Requests that wait for room, and the demand on this host.
    pub(crate) admission: RefCell<AdmissionTable<Rc<WaitTicket>>>,
    /// Demand on all hosts.
    pub(crate) fleet_load: RefCell<FleetLoad>,
    pub(crate) ledger: RefCell<TokenLedger>,
    pub(crate) splitters: RefCell<HashMap<String, TrafficSplitter>>,
    pub(crate) request_counter: RefCell<SlidingCounter>,
    pub(crate) random: RefCell<SmallRng>,
    pub(crate) connections: ConnectionPools,
    pub(crate) peers: PeerSocket,
    pub(crate) rollouts: Rollouts,
    pub(crate) phase: Cell<HostPhase>,
    /// Times of the graceful shutdown, once it began.
    pub(crate) shutdown: Cell<Option<ShutdownTimes>>,
    /// Bytes of the request bodies held in memory for in-flight requests.
    pub(crate) buffered_bytes: Cell<u64>,
    /// Bytes of the responses that are being received from backend servers.
    pub(crate) received_bytes: Cell<u64>,
    /// Bytes reserved for responses that callers have not read yet.
    pub(crate) response_bytes: Cell<u64>,
    /// Sizes of the responses of each service.
    pub(crate) response_sizes: RefCell<ResponseSizes>,
    /// Whether the most recent call to the store failed.
    pub(crate) store_failed: Cell<bool>,
    /// Wakes the requests that wait for the end of a server's check.
    pub(crate) check_ended: tokio::sync::Notify,
    /// Triggers a report to the peers, for example when a table changed.
    pub(crate) report_wake: tokio::sync::Notify,
    /// Number of requests that were read and whose response is not written.
    pub(crate) in_flight_requests: Cell<u64>,
    /// Number of connections from callers, including those that linger.
    pub(crate) caller_connections: Cell<u64>,
    /// Number of connections whose sending side is closed and that wait for
    /// their callers to close them.
    pub(crate) lingering_connections: Cell<u64>,
}

/// Maximum time for which a starting host waits for the list of its peers.
pub(crate) const HOSTS_WAIT_MAX: Duration = Duration::from_secs(1);

/// Time over which the hosts of a fleet that starts for the first time spread
/// the writes of their rows, which all go to one partition of the store.
pub(crate) const FIRST_WRITES_SPREAD: Duration = Duration::from_secs(2);

/// Life cycle of a host process. The phases are in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HostPhase {
    /// The host accepts callers once it has a configuration.
    Serving,
    /// The host received the stop signal. Look-ups no longer return it, but it
    /// still serves the callers that connect.
    Draining,
    /// The host reads no more requests and waits for the in-flight ones.
    Closing,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownTimes {
    /// Until this time every request is served.
    pub(crate) serves_all_until: Instant,
    /// The process exits at this time at the latest.
    pub(crate) end: Instant,
}

impl ShutdownTimes {
    /// Whether a request that arrives now may be served. Late requests must
    /// end by their deadline before the process exits, so that the exit does
    /// not cut them off.
    pub(crate) fn allows(&self, deadline: Instant) -> bool {
        Instant::now() < self.serves_all_until || deadline < self.end
    }
}

/// Local copies of the store's tables, with digests for comparison with those
/// of peers.
#[derive(Default)]
pub(crate) struct TableStates([TableState; FleetTable::ALL.len()]);

#[derive(Default)]
pub(crate) struct TableState {
    pub(crate) copy: TableCopy,
    /// Digest of the contents of all rows, without heartbeats.
    pub(crate) digest: u64,
    /// Size of the rows in the most recent change, in bytes.
    pub(crate) changed_bytes: usize,
    /// Whether the table was read at least once.
    pub(crate) is_known: bool,
    /// Time at which the copy was last known to be current, either from a read
    /// of the store or from the report of a host with the same contents.
    pub(crate) confirmed: Option<MonotonicTime>,
    /// The latest version that a peer announced as current, and when it was.
    announced: Option<(StoreVersion, MonotonicTime)>,
    /// Version of the copy when its contents last changed.
    pub(crate) changed_version: StoreVersion,
    /// Since when a peer's copy contradicts this one, if none was read from
    /// the store since.
    pub(crate) conflict_since: Option<MonotonicTime>,
    /// When the whole table was last read from the store.
    pub(crate) read_whole: Option<MonotonicTime>,
    /// A start of the copy's era that a peer knows and that was not applied
    /// yet: a lower version number than this copy's.
    pub(crate) peer_start: Option<u64>,
    /// Whether the copy was logged as outdated.
    pub(crate) is_outdated: bool,
}

impl TableState {
    /// Compares a peer's copy with this one.
    pub(crate) fn compare(&self, peer: &TableSummary) -> CopyComparison {
        let own = CopySummary {
            version: self.copy.version(),
            changed: self.changed_version,
            digest: self.digest,
        };
        own.compare(peer.version, peer.digest)
    }

    /// Records that a peer's copy was current at `confirmed`. This copy was too
    /// if it has the same contents, and otherwise once it has that version.
    pub(crate) fn record_announcement(&mut self, peer: &TableSummary, confirmed: MonotonicTime) {
        if peer.version.era < self.copy.version().era {
            return;
        }
        if self.digest == peer.digest {
            self.confirmed = self.confirmed.max(Some(confirmed));
            return;
        }
        let is_later = |(_, known): (StoreVersion, MonotonicTime)| known < confirmed;
        if self.announced.is_none_or(is_later) {
            self.announced = Some((peer.version, confirmed));
        }
    }

    /// Records up to which version a peer knows the era's beginning.
    pub(crate) fn record_peer_start(&mut self, peer: &TableSummary) {
        let own = self.copy.version().era;
        if own > 0 && peer.version.era == own && peer.era_start < self.copy.era_start() {
            self.peer_start = Some(peer.era_start);
        }
    }

    /// Records that changes were read from a peer.
    pub(crate) fn record_peer_read(&mut self) {
        let version = self.copy.version();
        if let Some((_, confirmed)) = self.announced.filter(|(known, _)| *known <= version) {
            self.confirmed = self.confirmed.max(Some(confirmed));
            self.announced = None;
        }
    }

    /// Whether a peer with the given table summary has a newer copy.
    pub(crate) fn is_older_than(&self, summary: &TableSummary) -> bool {
        self.compare(summary) == CopyComparison::PeerIsNewer
    }
}

impl TableStates {
    /// Whether a table was read at least once.
    pub(crate) fn any_known(&self) -> bool {
        self.0.iter().any(|state| state.is_known)
    }

    pub(crate) fn of(&self, table: FleetTable) -> &TableState {
        &self.0[table.index()]
    }

    pub(crate) fn of_mut(&mut self, table: FleetTable) -> &mut TableState {
        &mut self.0[table.index()]
    }
}

impl HostContext {
    /// A random number generator with a different seed on each host.
    pub(crate) fn random_source() -> SmallRng {
        SmallRng::seed_from_u64(rand::random())
    }

    /// Whether this host accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == HostPhase::Serving && self.is_initialized()
    }

    /// Whether this host has a configuration, the backend servers and the list
    /// of its peers, which hold the token buckets. It waits for the peers only
    /// for a limited time after its start.
    pub(crate) fn is_initialized(&self) -> bool {
        let tables = self.tables.borrow();
        let is_known = |table| tables.of(table).is_known;
        let knows_hosts =
            is_known(FleetTable::Hosts) || clock::now().since(self.opened) >= HOSTS_WAIT_MAX;
        self.snapshot.borrow().is_some() && is_known(FleetTable::Servers) && knows_hosts
    }

    /// Records whether the store answered a call.
    pub(crate) fn record_store_call(&self, is_answered: bool) {
        self.store_failed.set(!is_answered);
        let mut hosts = self.hosts.borrow_mut();
        hosts.record_store_call(is_answered, clock::now());
    }

    pub(crate) fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }
}
