use std::net::SocketAddr;

use {
    mangostep_policy::CopySource,
    rand::{RngExt, seq::SliceRandom},
    slog::info,
};

use crate::{
    clock,
    context::HostPhase,
    follow::apply::apply,
    peers::{self, BehindTable},
    platform::{FleetTable, Platform},
    prelude::*,
};

/// Longest time without a look at tables that this host does not know yet.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Time that the own reading gets before a change is read from a host that
/// has it already, where this host follows the store itself.
const BEHIND_PAUSE: Duration = Duration::from_millis(150);

/// Longest time between the report of a change and its reading from another
/// host; hosts of a zone spread over it.
const SPREAD_PAUSE: Duration = Duration::from_millis(40);

/// Longest time to read a change from the store before another host is asked:
/// many times what the store takes.
const STORE_WAIT: Duration = Duration::from_millis(700);

/// Reads from other hosts what this one has not read from the store, until the
/// host closes.
pub(crate) async fn follow_hosts<P: Platform>(context: Rc<HostContext>, platform: Rc<P>) {
    while context.phase.get() < HostPhase::Closing {
        let wake = context.peers.behind_wake.notified();
        // Without any host to hear from, the seeds are asked.
        let _ = tokio::time::timeout(LOOK_PAUSE, wake).await;
        let pause = match context.hosts.borrow().is_watcher(clock::now()) {
            true => BEHIND_PAUSE,
            false => {
                let spread = context.random.borrow_mut().random_range(0.0..1.0);
                SPREAD_PAUSE.mul_f64(spread)
            }
        };
        tokio::time::sleep(pause).await;
        for table in FleetTable::ALL {
            let sources = take_sources(&context, table);
            catch_up(&context, &*platform, table, &sources).await;
        }
    }
}

/// The hosts that have a newer copy of a table, in a random order so that the
/// hosts of a zone spread over them; the seeds where the table is not known.
fn take_sources(context: &HostContext, table: FleetTable) -> Vec<BehindTable> {
    let mut sources = context
        .peers
        .behind
        .borrow_mut()
        .remove(&table)
        .unwrap_or_default();
    if sources.is_empty() && !context.tables.borrow().of(table).is_known {
        let own = context.settings.copies;
        let seeds = context.settings.seeds.iter().filter(|seed| **seed != own);
        sources.extend(seeds.map(|seed| BehindTable {
            address: *seed,
            mark: None,
            link_mbps: 0,
        }));
    }
    sources.shuffle(&mut *context.random.borrow_mut());
    sources
}

/// Reads a change from the store or from one host after the other, until it
/// is read.
async fn catch_up<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    sources: &[BehindTable],
) {
    for source in sources {
        if !is_behind(context, table, source) {
            return;
        }
        let is_large = reads_store(context, source, sources.len());
        if is_large && read_from_store(context, platform, table).await {
            return;
        }
        read_from_host(context, platform, table, source.address).await;
    }
}

/// Whether this host still lacks what another one has: it may have read that
/// meanwhile.
fn is_behind(context: &HostContext, table: FleetTable, source: &BehindTable) -> bool {
    let tables = context.tables.borrow();
    let own = tables.of(table);
    !own.is_known || source.mark.is_some_and(|mark| own.lacks(&mark))
}

/// Whether a change is too large for the links of the hosts that have it.
fn reads_store(context: &HostContext, source: &BehindTable, sources: usize) -> bool {
    let readers = context.hosts.borrow().zone_rows().count();
    let bytes = source.mark.map_or(0, |mark| mark.changed_bytes);
    CopySource::select(bytes, readers, sources, source.link_mbps) == CopySource::Store
}

/// Reads a change from the store; tells whether that was done.
async fn read_from_store<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
) -> bool {
    let after = context.tables.borrow().of(table).copy.version();
    let read = platform.watch_table(table, after, Duration::ZERO);
    let error = match tokio::time::timeout(STORE_WAIT, read).await {
        Ok(Ok(delta)) => {
            apply(context, platform, table, delta, "store");
            return true;
        }
        Ok(Err(fault)) => fault.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    info!(context.log, "change not read"; "table" => table.as_str(), "error" => error);
    false
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
