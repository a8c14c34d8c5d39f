use {
    mangostep_policy::{CopySource, TableDelta},
    rand::RngExt,
    slog::{info, warn},
};

use crate::{
    clock,
    context::{FIRST_WRITES_SPREAD, HOSTS_WAIT_MAX, HostPhase},
    follow::apply::apply,
    platform::{FleetTable, Platform, StoreError, StoreErrorKind},
    prelude::*,
};

/// Maximum time for which the store holds a watch call without changes. Broken
/// connections are detected sooner by keep-alive probes and by reports of
/// peers.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Maximum time for which the store holds a watch call of the lead watcher. A
/// connection may go silent while its peer's kernel still answers keep-alive
/// probes, and all connections may do so at once, so that only a missing
/// response shows the fault. With the time allowed for that response, a
/// reconnect and the reports to peers, this is less than the 3 s after which
/// changes must be in force again.
const LEAD_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a response, so that a burst of changes results in one response.
/// It is a quarter of the time within which changes must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(450);

/// Pause after a response about hosts, which also send reports themselves.
const HOSTS_PAUSE: Duration = Duration::from_secs(4);

/// Initial backoff after a failed call. It doubles up to
/// `FAILURE_BACKOFF_MAX`.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Maximum backoff after failed calls. The recovery of the store is noticed
/// within half of the time within which changes must be in force.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_millis(1_000);

/// Time allowed for the last writes of host rows, with a retry, when the whole
/// fleet starts.
const FIRST_WRITES_MARGIN: Duration = Duration::from_millis(300);

/// Time for which a host waits for its first copy of a table from a peer when
/// the whole fleet starts.
const FIRST_COPY_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum time from a conflict between copies until a host reads the whole
/// table. The hosts spread their reads over this time; most conflicts end with
/// the first reads.
const REPAIR_DELAY_MAX: Duration = Duration::from_millis(800);

/// Minimum interval between two such reads, for conflicts that last because a
/// peer cannot reach the store.
const REPAIR_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between checks whether this host is a watcher.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time for which calls for a table wait for the store to answer a
/// call for another table. It is limited because the store may serve only some
/// tables.
const STORE_WAIT_MAX: Duration = Duration::from_secs(2);

/// Reads one table from the store while this host is a watcher, until the host
/// closes.
pub(crate) async fn follow_table<P: Platform>(
    context: Rc<HostContext>,
    platform: Rc<P>,
    table: FleetTable,
) {
    let mut follower = TableFollower {
        context: &context,
        platform: &*platform,
        table,
        is_complete: false,
        was_watcher: false,
        failures: 0,
        verifies_next: false,
        repair_delay: {
            let spread = context.random.borrow_mut().random_range(0.0..1.0);
            REPAIR_DELAY_MAX.mul_f64(spread)
        },
    };
    follower.read_first().await;
    while context.phase.get() < HostPhase::Closing {
        if follower.should_read() {
            follower.read().await;
        } else {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
    }
}

/// Reads one table from the store.
struct TableFollower<'a, P> {
    context: &'a Rc<HostContext>,
    platform: &'a P,
    table: FleetTable,
    /// Whether the whole table was read, so that deltas suffice.
    is_complete: bool,
    was_watcher: bool,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Whether the next watch call only verifies that the store answers.
    verifies_next: bool,
    /// Time from a conflict with a peer's copy until the table is read.
    repair_delay: Duration,
}

impl<P: Platform> TableFollower<'_, P> {
    /// Reads the table once, then waits for the list of hosts. A host that
    /// knows no peers would consider itself a watcher.
    ///
    /// When the whole fleet starts, the list is read once all hosts have
    /// written their rows, and hosts other than watchers first wait for copies
    /// of the other tables from peers.
    async fn read_first(&mut self) {
        if self.context.settings.is_first_start {
            return self.read_at_first_start().await;
        }
        self.read().await;
        let started = clock::now();
        let knows_hosts = || self.context.tables.borrow().of(FleetTable::Hosts).is_known;
        while !knows_hosts() && clock::now().since(started) < HOSTS_WAIT_MAX {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
    }

    async fn read_at_first_start(&mut self) {
        if self.table == FleetTable::Hosts {
            tokio::time::sleep(FIRST_WRITES_SPREAD + FIRST_WRITES_MARGIN).await;
            return self.read().await;
        }
        let is_known = |table| self.context.tables.borrow().of(table).is_known;
        let wait_max = FIRST_WRITES_SPREAD + FIRST_WRITES_MARGIN + HOSTS_WAIT_MAX;
        while !is_known(FleetTable::Hosts) && self.age() < wait_max {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
        let wait_max = self.age() + FIRST_COPY_WAIT;
        let is_watcher = || self.context.hosts.borrow().is_watcher(clock::now());
        while !is_known(self.table) && !is_watcher() && self.age() < wait_max {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
        self.is_complete = is_known(self.table);
    }

    /// Time since this host started.
    fn age(&self) -> Duration {
        clock::now().since(self.context.opened)
    }

    /// Whether this host should read the table now.
    fn should_read(&mut self) -> bool {
        let is_watcher = self.context.hosts.borrow().is_watcher(clock::now());
        if is_watcher != self.was_watcher {
            self.was_watcher = is_watcher;
            self.context.report_wake.notify_one();
            if self.table == FleetTable::Operator {
                info!(self.context.log, "watching changed"; "is_watcher" => is_watcher);
            }
        }
        is_watcher || !self.is_complete || self.must_repair()
    }

    /// Whether the whole table must be read because a peer's copy contradicts
    /// this host's. The host may be the one that is wrong.
    fn must_repair(&self) -> bool {
        let now = clock::now();
        let tables = self.context.tables.borrow();
        let state = tables.of(self.table);
        let is_due = |since| now.since(since) >= self.repair_delay;
        let is_recent = |read| now.since(read) < REPAIR_INTERVAL;
        state.conflict_since.is_some_and(is_due) && !state.read_whole.is_some_and(is_recent)
    }

    async fn read(&mut self) {
        let context = self.context;
        self.is_complete &= !self.must_repair();
        let after = context.tables.borrow().of(self.table).copy.version();
        let started = clock::now();
        let (call, read) = match self.is_complete {
            true => match self.watch(after.number).await {
                Some(read) => ("watch", read),
                None => return,
            },
            false => ("read", self.platform.read_table(self.table).await),
        };
        let outcome = read
            .as_ref()
            .map_or_else(|err| err.kind.as_str(), |_| "answered");
        let time = clock::now().since(started);
        context
            .counters
            .record_store_call(call, self.table.as_str(), outcome, time);
        match read {
            Ok(delta) if !delta.is_whole && delta.version.era > after.era => {
                info!(context.log, "store has lost writes"; "table" => self.table.as_str(),
                    "after" => after.to_string(), "version" => delta.version.to_string());
                context.record_store_call(true);
                self.is_complete = false;
            }
            Ok(delta) => self.apply_delta(delta).await,
            Err(err) if err.kind == StoreErrorKind::HistoryGone => {
                info!(context.log, "history gone"; "table" => self.table.as_str(),
                    "after" => after.number);
                self.is_complete = false;
            }
            Err(err) => self.handle_error(&err).await,
        }
    }

    /// Waits for changes after a version. The first call after a failure or a
    /// restart returns at once, so that peers learn soon that the store
    /// answers.
    ///
    /// Returns `None` if the call must be given up: this host became the lead
    /// watcher, its call may be on a silent connection, and no other watcher
    /// would notice; or the whole table must be read.
    async fn watch(&mut self, after: u64) -> Option<Result<TableDelta, StoreError>> {
        let verifies = std::mem::take(&mut self.verifies_next);
        if verifies || self.is_lead() {
            let wait = match verifies {
                true => Duration::ZERO,
                false => LEAD_WATCH_TIMEOUT,
            };
            return Some(self.platform.watch_table(self.table, after, wait).await);
        }
        tokio::select! {
            read = self.platform.watch_table(self.table, after, WATCH_TIMEOUT) => Some(read),
            () = self.wait_for_restart() => {
                info!(self.context.log, "watch restarted"; "table" => self.table.as_str());
                self.verifies_next = true;
                None
            }
        }
    }

    async fn wait_for_restart(&self) {
        while !self.is_lead() && !self.must_repair() {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
    }

    /// Whether this host verifies its connection for the table often.
    fn is_lead(&self) -> bool {
        self.table.is_verified_often() && self.context.hosts.borrow().is_lead_watcher(clock::now())
    }

    async fn apply_delta(&mut self, delta: TableDelta) {
        let context = self.context;
        if self.failures > 0 {
            info!(context.log, "store regained"; "table" => self.table.as_str(),
                "failures" => self.failures);
        }
        self.failures = 0;
        self.is_complete = true;
        context.record_store_call(true);
        apply(context, self.platform, self.table, delta, CopySource::Store);
        let pause = match self.table {
            FleetTable::Hosts => HOSTS_PAUSE,
            FleetTable::Operator | FleetTable::Servers => WATCH_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }

    async fn handle_error(&mut self, err: &StoreError) {
        let context = self.context;
        if self.failures == 0 {
            warn!(context.log, "store lost"; "table" => self.table.as_str(),
                "error" => err.to_string());
        }
        self.is_complete &= err.kind != StoreErrorKind::Malformed;
        context.record_store_call(false);
        context.report_wake.notify_one();
        let backoff = FAILURE_BACKOFF_MIN * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        self.verifies_next = true;
        let spread = context.random.borrow_mut().random_range(0.7..1.3);
        tokio::time::sleep(backoff.min(FAILURE_BACKOFF_MAX).mul_f64(spread)).await;
        if self.is_complete && self.table != FleetTable::Operator {
            self.wait_for_store().await;
        }
    }

    /// Waits until the store answers calls for another table, so that only one
    /// table causes calls during an outage.
    async fn wait_for_store(&self) {
        let started = clock::now();
        while self.context.store_failed.get() && clock::now().since(started) < STORE_WAIT_MAX {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
        }
    }
}
