use std::{collections::VecDeque, net::SocketAddr};

use {
    futures::{StreamExt, stream::FuturesUnordered},
    mangostep_policy::CopySource,
    rand::{RngExt, seq::SliceRandom},
    slog::info,
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    clock,
    context::HostPhase,
    follow::apply::{apply, apply_peer_start, release_zones},
    peers::{self, NewerCopy},
    platform::{FleetTable, Platform},
    prelude::*,
};

/// Maximum interval between checks for tables that this host has not read yet.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Delay before a watcher reads a change from a peer, which gives its own read
/// from the store time to complete.
const WATCHER_DELAY: Duration = Duration::from_millis(150);

/// Maximum delay between the report of a change and its read from a peer. The
/// hosts of a zone spread their reads over this time.
const READ_DELAY_MAX: Duration = Duration::from_millis(40);

/// Timeout for reading a change from the store, after which a peer is used. It
/// is many times the usual time of the store.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a read from the next peer begins beside one that has not
/// ended. A peer may have frozen right after it reported a change, and a read
/// from it ends only with its timeout.
const NEXT_READ_DELAY: Duration = Duration::from_millis(150);

/// Maximum of that time for changes that take long to send.
const NEXT_READ_DELAY_MAX: Duration = Duration::from_millis(600);

/// Reads changes of a table from peers that this host has not read from the
/// store, until the host closes.
pub(crate) async fn follow_peers<P: Platform>(
    context: Rc<HostContext>,
    platform: Rc<P>,
    table: FleetTable,
) {
    let newer_copies = context.peers.newer_copies(table);
    while context.phase.get() < HostPhase::Closing {
        // If no peer reports, the seeds are tried after the timeout.
        let _ = timeout(CHECK_INTERVAL_MAX, newer_copies.wait()).await;
        let delay = match context.hosts.borrow().is_watcher(clock::now()) {
            true => WATCHER_DELAY,
            false => {
                let spread = context.random.borrow_mut().random_range(0.0..1.0);
                READ_DELAY_MAX.mul_f64(spread)
            }
        };
        sleep(delay).await;
        apply_peer_start(&context, &*platform, table);
        if table == FleetTable::Operator {
            release_zones(&context, &*platform);
        }
        catch_up(&context, &*platform, table).await;
    }
}

/// Returns the peers with a newer copy of a table, in random order so that the
/// hosts of a zone distribute their reads. If there is no such peer and the
/// table was never read, returns the zone's likely watchers and the seeds.
fn take_sources(context: &HostContext, table: FleetTable) -> Vec<NewerCopy> {
    let mut sources = context.peers.newer_copies(table).take();
    if sources.is_empty() && !context.tables.borrow().of(table).is_known {
        let hosts = context.hosts.borrow();
        sources.extend(hosts.likely_watchers().map(|row| NewerCopy {
            address: row.copies,
            summary: None,
            link_mbps: row.link_mbps,
        }));
        let own = context.settings.copies;
        let seeds = context.settings.seeds.iter().filter(|seed| **seed != own);
        sources.extend(seeds.map(|seed| NewerCopy {
            address: *seed,
            summary: None,
            link_mbps: 0,
        }));
    }
    sources.shuffle(&mut *context.random.borrow_mut());
    sources
}

/// Reads from the store or from one peer after another until the copy is
/// current. If a read takes too long, the next one begins beside it, also from
/// peers that report in the meantime.
async fn catch_up<P: Platform>(context: &HostContext, platform: &P, table: FleetTable) {
    let newer_copies = context.peers.newer_copies(table);
    let mut sources = VecDeque::from(take_sources(context, table));
    let mut reads = FuturesUnordered::new();
    // The sources of the reads that have not ended.
    let mut pending: Vec<NewerCopy> = Vec::new();
    let mut next_read = Instant::now();
    loop {
        sources.retain(|source| is_behind(context, table, source));
        pending.retain(|source| is_behind(context, table, source));
        if sources.is_empty() && pending.is_empty() {
            // Dropping the remaining reads closes their connections.
            return;
        }
        if (pending.is_empty() || Instant::now() >= next_read)
            && let Some(source) = sources.pop_front()
        {
            let count = sources.len() + 1;
            next_read = Instant::now() + next_read_delay(context, &source, count);
            pending.push(source);
            reads.push(async move {
                read_change(context, platform, table, &source, count).await;
                source.address
            });
        }
        tokio::select! {
            Some(address) = reads.next() => pending.retain(|source| source.address != address),
            () = sleep_until(next_read), if !sources.is_empty() => {}
            () = newer_copies.wait() => sources.extend(newer_copies.take()),
        }
    }
}

/// Time from the start of a read until the next one begins beside it.
fn next_read_delay(context: &HostContext, source: &NewerCopy, sources: usize) -> Duration {
    let readers = context.hosts.borrow().zone_rows().count();
    let bytes = change_bytes(source);
    let link_time = CopySource::link_time(bytes, readers, sources, source.link_mbps);
    (NEXT_READ_DELAY + link_time).min(NEXT_READ_DELAY_MAX)
}

/// Size of a change on the network, in bytes.
fn change_bytes(source: &NewerCopy) -> usize {
    let bytes = source.summary.map_or(0, |summary| summary.changed_bytes);
    bytes / peers::COPY_COMPRESSION
}

/// Reads a change from the store or from a peer.
async fn read_change<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    source: &NewerCopy,
    sources: usize,
) {
    let is_from_store = prefers_store(context, source, sources);
    if is_from_store && read_from_store(context, platform, table).await {
        return;
    }
    read_from_peer(context, platform, table, source.address).await;
}

/// Whether this host still lacks a change that the source has. It may have
/// read the change in the meantime.
fn is_behind(context: &HostContext, table: FleetTable, source: &NewerCopy) -> bool {
    let tables = context.tables.borrow();
    let own = tables.of(table);
    !own.is_known
        || source
            .summary
            .is_some_and(|summary| own.is_older_than(&summary))
}

/// Whether a change is too large for the network links of the peers that have
/// it.
fn prefers_store(context: &HostContext, source: &NewerCopy, sources: usize) -> bool {
    let readers = context.hosts.borrow().zone_rows().count();
    CopySource::select(change_bytes(source), readers, sources, source.link_mbps)
        == CopySource::Store
}

/// Reads a change from the store. Returns whether that succeeded.
async fn read_from_store<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
) -> bool {
    let after = context.tables.borrow().of(table).copy.version();
    let read = platform.watch_table(table, after.number, Duration::ZERO);
    let error = match timeout(STORE_READ_TIMEOUT, read).await {
        Ok(Ok(delta)) if delta.version.era > after.era => "later era".to_owned(),
        Ok(Ok(delta)) => {
            apply(context, platform, table, delta, CopySource::Store);
            return true;
        }
        Ok(Err(err)) => err.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    info!(context.log, "change not read"; "table" => table.as_str(), "error" => error);
    false
}

async fn read_from_peer<P: Platform>(
    context: &HostContext,
    platform: &P,
    table: FleetTable,
    address: SocketAddr,
) {
    let after = context.tables.borrow().of(table).copy.version();
    match peers::read_copy(table, after, address).await {
        Ok(Some(delta)) => apply(context, platform, table, delta, CopySource::Host),
        Ok(None) => {}
        Err(err) => {
            info!(context.log, "copy not read"; "table" => table.as_str(),
                "error" => err.to_string());
        }
    }
}
