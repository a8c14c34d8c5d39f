use std::collections::HashSet;

use {
    mangostep_objects::{FollowedSet, Snapshot},
    mangostep_policy::{CopySource, HostRow, ServerEntry, TableDelta, TableRow},
    slog::{info, warn},
    xxhash_rust::xxh3::xxh3_64,
};

use crate::{
    clock,
    platform::{FleetTable, OperatorRow, Platform},
    prelude::*,
};

/// A copy of a table before a delta is applied to it.
#[derive(Clone, Copy)]
struct EarlierCopy {
    /// Whether the table was never read before.
    is_first_read: bool,
    /// Number of rows.
    total: usize,
    /// Time since the copy was last known to be current; `None` if it never
    /// was.
    age: Option<Duration>,
    /// Time since the store last answered any host.
    contact_age: Option<Duration>,
}

/// Applies a delta of a table to the copy and to the state derived from it.
pub(super) fn apply<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    delta: TableDelta,
    source: CopySource,
) {
    let now = clock::now();
    let is_delayed = context.pauses.borrow().may_be_delayed(now);
    let (version, changed, copy) = {
        let mut tables = context.tables.borrow_mut();
        let state = tables.of_mut(table);
        let copy = EarlierCopy {
            is_first_read: !state.is_known,
            total: state.copy.rows().count(),
            age: state.confirmed.map(|confirmed| now.since(confirmed)),
            contact_age: context.lapse.borrow().contact_age(now),
        };
        let (version, is_whole) = (delta.version, delta.is_whole);
        let changed = state.copy.apply_unless(delta, |known, new| {
            table == FleetTable::Servers && is_heartbeat(platform, known, new)
        });
        state.is_known = true;
        if source == CopySource::Host {
            state.record_peer_read();
        }
        if source == CopySource::Store && version >= state.copy.version() {
            if !is_delayed {
                state.confirmed = Some(now);
            }
            if table == FleetTable::Servers {
                context.lapse.borrow_mut().record_contact(now);
            }
            if is_whole {
                state.read_whole = Some(now);
                state.conflict_since = None;
            }
        }
        if let Some(confirmed) = state.confirmed.filter(|_| table == FleetTable::Servers) {
            context.pool.borrow_mut().record_contact(confirmed);
        }
        if !changed.is_empty() {
            state.changed_version = state.copy.version();
        }
        let sizes = changed
            .iter()
            .map(|row| row.value.as_ref().map_or(0, Vec::len));
        state.changed_bytes = sizes.sum();
        (version, changed, copy)
    };
    if !changed.is_empty() {
        info!(context.log, "table changed"; "table" => table.as_str(), "source" => source.as_str(),
            "version" => version, "rows" => changed.len());
    }
    match table {
        FleetTable::Operator => apply_operator(context, platform, &changed),
        FleetTable::Servers => apply_servers(context, platform, &changed, copy),
        FleetTable::Hosts => apply_hosts(context, &changed),
    }
    if !changed.is_empty() || copy.is_first_read {
        let digest = digest_of(context, platform, table);
        context.tables.borrow_mut().of_mut(table).digest = digest;
        if table == FleetTable::Hosts && copy.is_first_read {
            // The hosts that probably have the other tables are now known.
            for other in FleetTable::ALL {
                context.peers.newer_copies(other).wake();
            }
        }
        context.report_wake.notify_one();
    }
}

/// Whether a changed row of a backend server is only a heartbeat. Rows of a
/// cold server never are, because they contain its remaining warm-up time.
fn is_heartbeat<P: Platform>(platform: &P, known: &[u8], new: &[u8]) -> bool {
    let decode = |value| platform.decode_server_row("", value).ok();
    let known = decode(known);
    known.is_some() && known == decode(new) && known.is_some_and(|known| known.cold_left.is_zero())
}

/// Digest of the contents of a table, which is equal on all hosts that applied
/// the same changes. It covers the derived `Debug` text of `ServerEntry`, which
/// leaves out what backend servers update with each heartbeat. Of a server in
/// cold start each heartbeat counts, because it may begin another cold start of
/// the same length. The name and the fields of that type must be the same on all
/// hosts.
fn digest_of<P: Platform>(context: &HostContext, platform: &P, table: FleetTable) -> u64 {
    let tables = context.tables.borrow();
    let copy = &tables.of(table).copy;
    let rows = copy.rows();
    let digests = rows.map(|(key, value)| match table {
        FleetTable::Servers => {
            let entry = platform.decode_server_row(key, value).ok();
            let is_cold = |entry: &ServerEntry| !entry.cold_left.is_zero();
            let cold_version = match entry.as_ref().is_some_and(is_cold) {
                true => copy.row_version(key),
                false => None,
            };
            xxh3_64(format!("{key} {entry:?} {cold_version:?}").as_bytes())
        }
        FleetTable::Operator | FleetTable::Hosts => xxh3_64(key.as_bytes()) ^ xxh3_64(value),
    });
    digests.fold(1, u64::wrapping_add)
}

fn apply_operator<P: Platform>(context: &HostContext, platform: &P, changed: &[TableRow]) {
    for row in changed {
        let Some(value) = &row.value else {
            continue;
        };
        match platform.decode_operator_row(&row.key, value) {
            Ok(OperatorRow::Configuration { version, followed }) => {
                apply_configuration(context, version, *followed);
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

/// Puts a configuration in force, without the objects that cannot be used.
fn apply_configuration(context: &HostContext, version: u64, mut followed: FollowedSet) {
    let current = context.snapshot().map(|snapshot| snapshot.version());
    if current.is_some_and(|current| current >= version) {
        return;
    }
    followed.disable_invalid();
    for fault in &followed.faults {
        context.counters.count("object-refused", &[]);
        warn!(context.log, "object refused"; "version" => version, "object" => &fault.object,
            "field" => &fault.field, "error" => &fault.message);
    }
    let snapshot = Snapshot::compile_followed(version, &followed);
    let FollowedSet { set, disabled, .. } = &followed;
    let mut pool = context.pool.borrow_mut();
    for service in &set.services {
        pool.set_balancing(&service.name, service.load_balancing());
    }
    info!(context.log, "configuration in force"; "version" => version, "before" => current,
        "routes" => set.routes.len(), "workspaces" => set.workspaces.len(),
        "disabled_routes" => disabled.routes.len(),
        "disabled_workspaces" => disabled.workspaces.len());
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
    let cold_ramp = longest_cold_ramp(context);
    info!(context.log, "zones out"; "zones" => format!("{zones:?}"));
    let mut pool = context.pool.borrow_mut();
    pool.set_zones_out(zones, cold_ramp, clock::now());
}

fn longest_cold_ramp(context: &HostContext) -> Duration {
    let snapshot = context.snapshot();
    let ramps = snapshot
        .iter()
        .flat_map(|snapshot| snapshot.services())
        .map(|service| service.warm_up);
    ramps.max().unwrap_or_default()
}

fn apply_servers<P: Platform>(
    context: &HostContext,
    platform: &P,
    changed: &[TableRow],
    copy: EarlierCopy,
) {
    let now = clock::now();
    let removed = changed.iter().filter(|row| row.value.is_none()).count();
    let held_until = context.lapse.borrow().hold_until(now);
    let joining_cold = match copy.is_first_read {
        true => Duration::ZERO,
        false => longest_cold_ramp(context),
    };
    let mut pool = context.pool.borrow_mut();
    if copy.is_first_read && !context.settings.is_first_start {
        pool.record_joining(now);
    }
    for row in changed {
        let Some(value) = &row.value else {
            match held_until {
                Some(until) => pool.hold(&row.key, until),
                None => drop(pool.remove(&row.key)),
            }
            log_removal(context, row, held_until, removed, copy);
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

/// Logs the removal of a server's entry, with what decided whether the server
/// stays in use.
fn log_removal(
    context: &HostContext,
    row: &TableRow,
    held_until: Option<MonotonicTime>,
    removed: usize,
    copy: EarlierCopy,
) {
    let millis = |span: Duration| span.as_millis() as u64;
    let now = clock::now();
    let held = held_until.map(|until| until.since(now));
    let label = held.map_or("false", |_| "true");
    context
        .counters
        .count("server-entry-removed", &[("held", label)]);
    info!(context.log, "server entry removed"; "server" => &row.key,
        "version" => row.version, "held" => held.is_some(), "held_ms" => held.map(millis),
        "removed" => removed, "of" => copy.total,
        "contact_age_ms" => copy.contact_age.map(millis),
        "copy_age_ms" => copy.age.map(millis));
}

fn apply_hosts(context: &HostContext, changed: &[TableRow]) {
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
    context
        .pool
        .borrow_mut()
        .set_host_count(hosts.rows().count());
}
