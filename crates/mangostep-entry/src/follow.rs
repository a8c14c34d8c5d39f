//! Follows the tables of the platform's store, with other hosts as a second
//! source.

use std::{collections::HashSet, net::SocketAddr};

use {
    mangostep_objects::Snapshot,
    mangostep_policy::{CopyDelta, CopyRow, CopySource, HostRow, ServerEntry},
    rand::RngExt,
    slog::{info, warn},
    xxhash_rust::xxh3::xxh3_64,
};

use crate::{
    clock,
    context::HostPhase,
    peers::{self, BehindTable},
    platform::{FleetTable, OperatorRow, Platform, StoreFaultKind},
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

/// Longest time for which a host that starts waits to learn of the others.
const HOSTS_WAIT: Duration = Duration::from_secs(1);

/// Longest time for which calls for further tables wait while the store answers
/// none: it may serve some tables only.
const STORE_ABSENCE: Duration = Duration::from_secs(2);

/// Time between two looks whether this host follows the store.
const ROLE_PAUSE: Duration = Duration::from_millis(200);

/// Time that the own reading gets before a change is read from a host that
/// has it already, where this host follows the store itself.
const BEHIND_PAUSE: Duration = Duration::from_millis(150);

/// Longest time between the news of a change and its reading from another
/// host; hosts of a zone spread over it.
const SPREAD_PAUSE: Duration = Duration::from_millis(40);

/// Longest time to read a change from the store before another host is asked:
/// many times what the store takes.
const STORE_WAIT: Duration = Duration::from_millis(700);

/// Time between two looks for held servers that are to be given up.
const EXPIRE_PAUSE: Duration = Duration::from_millis(250);

/// Follows one table until the host closes.
pub(crate) async fn follow_table<P: Platform>(
    context: Rc<HostContext>,
    platform: Rc<P>,
    table: FleetTable,
) {
    let mut is_whole = false;
    let mut was_watcher = false;
    let mut failures = 0;
    let opened = clock::now();
    while context.phase.get() < HostPhase::Closing {
        // A host that knows no others would take itself for a watcher.
        let knows_hosts = context.tables.borrow().of(FleetTable::Hosts).is_known;
        if is_whole && !knows_hosts && clock::now().since(opened) < HOSTS_WAIT {
            tokio::time::sleep(ROLE_PAUSE).await;
            continue;
        }
        let is_watcher = context.hosts.borrow().is_watcher(clock::now());
        if is_watcher != was_watcher {
            was_watcher = is_watcher;
            context.report_wake.notify_one();
        }
        if is_whole && !is_watcher {
            tokio::time::sleep(ROLE_PAUSE).await;
            continue;
        }
        let after = context.tables.borrow().of(table).copy.version();
        let read = match is_whole {
            true => platform.watch_table(table, after, WATCH_WAIT).await,
            false => platform.read_table(table).await,
        };
        match read {
            Ok(delta) => {
                if failures > 0 {
                    info!(context.log, "store regained"; "table" => table.as_str(),
                        "failures" => failures);
                }
                failures = 0;
                is_whole = true;
                context.store_failed.set(false);
                context.hosts.borrow_mut().note_store(true, clock::now());
                apply(&context, &*platform, table, delta, "store");
                let pause = match table {
                    FleetTable::Hosts => HOSTS_PAUSE,
                    FleetTable::Operator | FleetTable::Servers => WATCH_PAUSE,
                };
                tokio::time::sleep(pause).await;
            }
            Err(fault) if fault.kind == StoreFaultKind::HistoryGone => {
                info!(context.log, "history gone"; "table" => table.as_str(), "after" => after);
                context.lapse.borrow_mut().note_failure(clock::now());
                is_whole = false;
            }
            Err(fault) => {
                if failures == 0 {
                    warn!(context.log, "store lost"; "table" => table.as_str(),
                        "error" => fault.to_string());
                }
                context.lapse.borrow_mut().note_failure(clock::now());
                context
                    .counters
                    .count("store-call-failed", &[("table", table.as_str())]);
                is_whole &= fault.kind != StoreFaultKind::Malformed;
                context.store_failed.set(true);
                context.hosts.borrow_mut().note_store(false, clock::now());
                context.report_wake.notify_one();
                let pause = FAILURE_PAUSE_MIN * 2_u32.pow(failures.min(4));
                failures += 1;
                let spread = context.random.borrow_mut().random_range(0.7..1.3);
                tokio::time::sleep(pause.min(FAILURE_PAUSE_MAX).mul_f64(spread)).await;
                if is_whole && table != FleetTable::Operator {
                    wait_for_store(&context).await;
                }
            }
        }
    }
}

/// Waits until the store answers calls for another table, so that an outage
/// costs calls for one table only.
async fn wait_for_store(context: &HostContext) {
    let began = clock::now();
    while context.store_failed.get() && clock::now().since(began) < STORE_ABSENCE {
        tokio::time::sleep(ROLE_PAUSE).await;
    }
}

/// Reads from other hosts what this one has not read from the store.
pub(crate) async fn follow_hosts<P: Platform>(context: Rc<HostContext>, platform: Rc<P>) {
    while context.phase.get() < HostPhase::Closing {
        let wake = context.peers.behind_wake.notified();
        // Without any host to hear from, the seeds are asked.
        let _ = tokio::time::timeout(FAILURE_PAUSE_MAX, wake).await;
        let pause = match context.hosts.borrow().is_watcher(clock::now()) {
            true => BEHIND_PAUSE,
            false => {
                let spread = context.random.borrow_mut().random_range(0.0..1.0);
                SPREAD_PAUSE.mul_f64(spread)
            }
        };
        tokio::time::sleep(pause).await;
        let mut behind = choose_sources(&context);
        for table in FleetTable::ALL {
            let is_known = context.tables.borrow().of(table).is_known;
            if !is_known && behind.iter().all(|(other, ..)| *other != table) {
                let own = context.settings.copies;
                let seeds = context.settings.seeds.iter().filter(|seed| **seed != own);
                behind.extend(seeds.map(|seed| {
                    let lacking = BehindTable {
                        address: *seed,
                        mark: None,
                        link_mbps: 0,
                    };
                    (table, lacking, 1)
                }));
            }
        }
        for (table, lacking, sources) in behind {
            if !is_behind(&context, table, &lacking) {
                continue;
            }
            if !read_from_store(&context, &*platform, table, lacking, sources).await {
                read_from_host(&context, &*platform, table, lacking.address).await;
            }
        }
    }
}

/// One of the hosts that have a newer copy, for each table that has one, and
/// how many there are; hosts of a zone spread over them.
fn choose_sources(context: &HostContext) -> Vec<(FleetTable, BehindTable, usize)> {
    let mut random = context.random.borrow_mut();
    let behind = context.peers.behind.take();
    let chosen = behind.into_iter().filter_map(|(table, sources)| {
        let at = random.random_range(0..sources.len().max(1));
        let source = sources.get(at)?;
        Some((table, *source, sources.len()))
    });
    chosen.collect()
}

/// Whether this host still lacks what another one has: it may have read that
/// meanwhile.
fn is_behind(context: &HostContext, table: FleetTable, lacking: &BehindTable) -> bool {
    let tables = context.tables.borrow();
    let own = tables.of(table);
    !own.is_known || lacking.mark.is_some_and(|mark| own.lacks(&mark))
}

/// Reads a change from the store where it is too large for the links of
/// hosts; tells whether that was done.
async fn read_from_store<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    lacking: BehindTable,
    sources: usize,
) -> bool {
    let readers = context.hosts.borrow().zone_rows().count();
    let bytes = lacking.mark.map_or(0, |mark| mark.changed_bytes);
    if CopySource::of(bytes, readers, sources, lacking.link_mbps) == CopySource::Host {
        return false;
    }
    let after = context.tables.borrow().of(table).copy.version();
    let read = platform.watch_table(table, after, Duration::ZERO);
    match tokio::time::timeout(STORE_WAIT, read).await {
        Ok(Ok(delta)) => {
            apply(context, platform, table, delta, "store");
            true
        }
        Ok(Err(fault)) => {
            info!(context.log, "change not read"; "table" => table.as_str(),
                "error" => fault.to_string());
            false
        }
        Err(_) => {
            info!(context.log, "change not read"; "table" => table.as_str(),
                "error" => "timed out");
            false
        }
    }
}

async fn read_from_host<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    address: SocketAddr,
) {
    let after = context.tables.borrow().of(table).copy.version();
    match peers::read_copy(table, after, address).await {
        Ok(Some(delta)) => apply(context, platform, table, delta, "host"),
        Ok(None) => {}
        Err(err) => {
            info!(context.log, "copy not read"; "table" => table.as_str(),
                "error" => err.to_string());
        }
    }
}

/// Gives up servers whose entries lapsed and did not come back.
pub(crate) async fn expire_servers(context: Rc<HostContext>) {
    loop {
        tokio::time::sleep(EXPIRE_PAUSE).await;
        let now = clock::now();
        let gone = context.pool.borrow_mut().expire(now);
        for server in gone {
            info!(context.log, "server gone"; "server" => server, "reason" => "lapsed");
        }
    }
}

fn apply<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    delta: CopyDelta,
    source: &'static str,
) {
    let (version, is_first, changed, total) = {
        let mut tables = context.tables.borrow_mut();
        let state = tables.of_mut(table);
        let is_first = !state.is_known;
        let version = delta.version;
        let total = state.copy.rows().count();
        let changed = state.copy.apply_unless(delta, |known, new| {
            table == FleetTable::Servers && is_heartbeat(platform, known, new)
        });
        state.is_known = true;
        let sizes = changed
            .iter()
            .map(|row| row.value.as_ref().map_or(0, Vec::len));
        state.changed_bytes = sizes.sum();
        (version, is_first, changed, total)
    };
    if !changed.is_empty() {
        info!(context.log, "table changed"; "table" => table.as_str(), "source" => source,
            "version" => version, "rows" => changed.len());
    }
    match table {
        FleetTable::Operator => apply_operator(context, platform, &changed),
        FleetTable::Servers => apply_servers(context, platform, &changed, is_first, total),
        FleetTable::Hosts => apply_hosts(context, &changed),
    }
    if !changed.is_empty() || is_first {
        let digest = digest_of(context, platform, table);
        context.tables.borrow_mut().of_mut(table).digest = digest;
        context.report_wake.notify_one();
    }
}

/// Whether a row of a backend server only shows that it lives. What a cold
/// server writes tells how long it stays so.
fn is_heartbeat<P: Platform>(platform: &P, known: &[u8], new: &[u8]) -> bool {
    let decode = |value| platform.decode_server_row("", value).ok();
    let known = decode(known);
    known.is_some() && known == decode(new) && known.is_some_and(|k| k.cold_left.is_zero())
}

/// A digest of what the rows of a table say, alike on all hosts that read the
/// same changes. What backend servers write with each heartbeat is left out.
fn digest_of<P: Platform>(context: &HostContext, platform: &P, table: FleetTable) -> u64 {
    let tables = context.tables.borrow();
    let rows = tables.of(table).copy.rows();
    let digests = rows.map(|(key, value)| match table {
        FleetTable::Servers => {
            let entry = platform.decode_server_row(key, value).ok();
            let entry = entry.map(|entry| ServerEntry {
                cold_left: Duration::ZERO,
                ..entry
            });
            xxh3_64(format!("{key} {entry:?}").as_bytes())
        }
        FleetTable::Operator | FleetTable::Hosts => xxh3_64(key.as_bytes()) ^ xxh3_64(value),
    });
    digests.fold(1, u64::wrapping_add)
}

fn apply_operator<P: Platform>(context: &HostContext, platform: &P, changed: &[CopyRow]) {
    for row in changed {
        let Some(value) = &row.value else {
            continue;
        };
        match platform.decode_operator_row(&row.key, value) {
            Ok(OperatorRow::Configuration { version, set }) => {
                apply_configuration(context, version, &set);
            }
            Ok(OperatorRow::ZoneOut(_) | OperatorRow::Other) => {}
            Err(err) => {
                warn!(context.log, "operator row refused"; "row" => &row.key,
                    "error" => err.to_string());
            }
        }
    }
    if !changed.is_empty() {
        apply_zones(context, platform);
    }
}

fn apply_configuration(context: &HostContext, version: u64, set: &mangostep_objects::ObjectSet) {
    let current = context.snapshot().map(|snapshot| snapshot.version());
    if current.is_some_and(|current| current >= version) {
        return;
    }
    if let Err(err) = set.check() {
        warn!(context.log, "configuration refused"; "version" => version, "kept" => current,
            "error" => err.to_string());
        return;
    }
    let snapshot = Snapshot::compile(version, set);
    info!(context.log, "configuration in force"; "version" => version, "before" => current,
        "routes" => set.routes.len(), "workspaces" => set.workspaces.len());
    *context.snapshot.borrow_mut() = Some(Rc::new(snapshot));
}

fn apply_zones<P: Platform>(context: &HostContext, platform: &P) {
    let zones: HashSet<String> = {
        let tables = context.tables.borrow();
        let rows = tables.of(FleetTable::Operator).copy.rows();
        rows.filter_map(
            |(key, value)| match platform.decode_operator_row(key, value) {
                Ok(OperatorRow::ZoneOut(zone)) => Some(zone),
                _ => None,
            },
        )
        .collect()
    };
    let cold = longest_cold_ramp(context);
    info!(context.log, "zones out"; "zones" => format!("{zones:?}"));
    let mut pool = context.pool.borrow_mut();
    pool.set_zones_out(zones, cold, clock::now());
}

fn longest_cold_ramp(context: &HostContext) -> Duration {
    let snapshot = context.snapshot();
    let ramps = snapshot
        .iter()
        .flat_map(|s| s.services())
        .map(|s| s.cold_ramp);
    ramps.max().unwrap_or_default()
}

fn apply_servers<P: Platform>(
    context: &HostContext,
    platform: &P,
    changed: &[CopyRow],
    is_first: bool,
    total: usize,
) {
    let now = clock::now();
    let removed = changed.iter().filter(|row| row.value.is_none()).count();
    let hold = context.lapse.borrow().hold_until(now, removed, total);
    let joining_cold = match is_first {
        true => Duration::ZERO,
        false => longest_cold_ramp(context),
    };
    let mut pool = context.pool.borrow_mut();
    for row in changed {
        let Some(value) = &row.value else {
            match hold {
                Some(until) => pool.hold(&row.key, until),
                None => drop(pool.remove(&row.key)),
            }
            info!(context.log, "server entry removed"; "server" => &row.key,
                "held" => hold.is_some());
            continue;
        };
        match platform.decode_server_row(&row.key, value) {
            Ok(entry) => {
                info!(context.log, "server entry"; "server" => &entry.id,
                    "service" => &entry.service, "address" => entry.address.to_string(),
                    "zone" => &entry.zone, "draining" => entry.is_draining,
                    "cold_ms" => entry.cold_left.as_millis() as u64);
                pool.put(&entry, joining_cold, now);
            }
            Err(err) => {
                warn!(context.log, "server entry refused"; "row" => &row.key,
                    "error" => err.to_string());
                pool.remove(&row.key);
            }
        }
    }
}

fn apply_hosts(context: &HostContext, changed: &[CopyRow]) {
    let mut hosts = context.hosts.borrow_mut();
    for row in changed {
        let Some(value) = &row.value else {
            hosts.remove(&row.key);
            continue;
        };
        match serde_json::from_slice::<HostRow>(value) {
            Ok(host) => hosts.put(host),
            Err(err) => {
                warn!(context.log, "host row refused"; "row" => &row.key,
                    "error" => err.to_string());
            }
        }
    }
    context.pool.borrow_mut().set_hosts(hosts.rows().count());
}
