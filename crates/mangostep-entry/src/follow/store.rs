use {
    mangostep_policy::TableDelta,
    rand::RngExt,
    slog::{info, warn},
};

use crate::{
    clock,
    context::{HOSTS_WAIT, HostPhase},
    follow::apply::apply,
    platform::{FleetTable, Platform, StoreFault, StoreFaultKind},
    prelude::*,
};

/// Longest time that the store holds a call without changes. Silent
/// connections are found sooner by keep-alive probes and by other hosts.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Pause after an answer, so that a burst of changes is one answer: a quarter
/// of the time in which changes must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(450);

/// Pause after an answer about hosts, which also tell of themselves.
const HOSTS_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a failed call; doubled up to the largest.
const FAILURE_PAUSE_MIN: Duration = Duration::from_millis(250);

/// Largest pause after failed calls: a store that is back is noticed within
/// half of the time in which changes must be in force.
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// Time between two looks whether this host follows the store.
const ROLE_PAUSE: Duration = Duration::from_millis(200);

/// Longest time for which calls for further tables wait while the store answers
/// none: it may serve some tables only.
const STORE_ABSENCE: Duration = Duration::from_secs(2);

/// Follows one table at the store while this host is a watcher, until the host
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
        is_whole: false,
        was_watcher: false,
        failures: 0,
    };
    follower.wait_for_first().await;
    while context.phase.get() < HostPhase::Closing {
        if follower.is_due() {
            follower.read().await;
        } else {
            tokio::time::sleep(ROLE_PAUSE).await;
        }
    }
}

/// The reading of one table at the store.
struct TableFollower<'a, P> {
    context: &'a Rc<HostContext>,
    platform: &'a P,
    table: FleetTable,
    /// Whether the table was read whole, so that changes suffice.
    is_whole: bool,
    was_watcher: bool,
    /// Failed calls in a row.
    failures: u32,
}

impl<P: Platform> TableFollower<'_, P> {
    /// Reads the table once. After that, a host that knows no others yet would
    /// take itself for a watcher.
    async fn wait_for_first(&mut self) {
        self.read().await;
        let began = clock::now();
        let knows_hosts = || self.context.tables.borrow().of(FleetTable::Hosts).is_known;
        while !knows_hosts() && clock::now().since(began) < HOSTS_WAIT {
            tokio::time::sleep(ROLE_PAUSE).await;
        }
    }

    /// Whether this host is to read the table.
    fn is_due(&mut self) -> bool {
        let is_watcher = self.context.hosts.borrow().is_watcher(clock::now());
        if is_watcher != self.was_watcher {
            self.was_watcher = is_watcher;
            self.context.report_wake.notify_one();
            if self.table == FleetTable::Operator {
                info!(self.context.log, "watching changed"; "is_watcher" => is_watcher);
            }
        }
        is_watcher || !self.is_whole
    }

    async fn read(&mut self) {
        let context = self.context;
        let after = context.tables.borrow().of(self.table).copy.version();
        let started = clock::now();
        let (call, read) = match self.is_whole {
            true => {
                let watched = self.platform.watch_table(self.table, after, WATCH_WAIT);
                ("watch", watched.await)
            }
            false => ("read", self.platform.read_table(self.table).await),
        };
        let end = read
            .as_ref()
            .map_or_else(|fault| fault.kind.as_str(), |_| "answered");
        let time = clock::now().since(started);
        context
            .counters
            .record_store_call(call, self.table.as_str(), end, time);
        match read {
            Ok(delta) => self.take(delta).await,
            Err(fault) if fault.kind == StoreFaultKind::HistoryGone => {
                info!(context.log, "history gone"; "table" => self.table.as_str(),
                    "after" => after);
                context.lapse.borrow_mut().record_failure(clock::now());
                self.is_whole = false;
            }
            Err(fault) => self.fail(&fault).await,
        }
    }

    async fn take(&mut self, delta: TableDelta) {
        let context = self.context;
        if self.failures > 0 {
            info!(context.log, "store regained"; "table" => self.table.as_str(),
                "failures" => self.failures);
        }
        self.failures = 0;
        self.is_whole = true;
        context.note_store(true);
        apply(context, self.platform, self.table, delta, "store");
        let pause = match self.table {
            FleetTable::Hosts => HOSTS_PAUSE,
            FleetTable::Operator | FleetTable::Servers => WATCH_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }

    async fn fail(&mut self, fault: &StoreFault) {
        let context = self.context;
        if self.failures == 0 {
            warn!(context.log, "store lost"; "table" => self.table.as_str(),
                "error" => fault.to_string());
        }
        context.lapse.borrow_mut().record_failure(clock::now());
        self.is_whole &= fault.kind != StoreFaultKind::Malformed;
        context.note_store(false);
        context.report_wake.notify_one();
        let pause = FAILURE_PAUSE_MIN * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        let spread = context.random.borrow_mut().random_range(0.7..1.3);
        tokio::time::sleep(pause.min(FAILURE_PAUSE_MAX).mul_f64(spread)).await;
        if self.is_whole && self.table != FleetTable::Operator {
            self.wait_for_store().await;
        }
    }

    /// Waits until the store answers calls for another table, so that an
    /// outage costs calls for one table only.
    async fn wait_for_store(&self) {
        let began = clock::now();
        while self.context.store_failed.get() && clock::now().since(began) < STORE_ABSENCE {
            tokio::time::sleep(ROLE_PAUSE).await;
        }
    }
}
