//! Reports to the limit homes what this host spent, renews its allowances, and
//! receives datagrams on a thread of its own.

use std::{collections::HashMap, sync::Arc};

use {
    mangostep_policy::{PauseDetector, PauseSettings},
    slog::{info, warn},
    tokio::{net::UdpSocket, time::timeout},
};

use crate::{
    clock,
    peers::{
        receiving::DATAGRAM_BYTES_MAX,
        share_state::{EntryPurpose, LimitShares},
        shares::{HOME_SILENT_TIME, HomeAddress, homes_of, send_entries},
    },
    prelude::*,
};

/// Interval between reports to the limit homes.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of workspaces in one datagram, so that it fits into one
/// packet.
const ENTRIES_MAX: usize = 20;

/// Interval at which the receiving thread checks whether it was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Stack size of the receiving thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Pause after an error of the socket.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(100);

/// Reports to the limit homes until the host exits.
pub(crate) async fn report_shares(context: Rc<HostContext>) {
    let Some(shares) = context.peers.shares.clone() else {
        return;
    };
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = clock::now();
        record_homes(&context, &shares, now);
        report_spending(&context, &shares, now);
        report_standby_debts(&context, &shares, now);
        log_silent_homes(&context, &shares, now);
        let dropped = shares.take_dropped();
        if dropped > 0 {
            context.counters.add("datagram-dropped", dropped, &[]);
        }
    }
}

/// Tells the home on this host when the limit homes change.
fn record_homes(context: &HostContext, shares: &LimitShares, now: MonotonicTime) {
    let hosts = context.hosts.borrow();
    let homes = hosts.token_homes("", now).into_iter();
    let mut homes: Vec<String> = homes.map(|row| row.name.clone()).collect();
    homes.sort();
    let mut state = shares.state();
    if state.homes != homes {
        state.home.record_homes_change(now);
        info!(context.log, "limit homes"; "homes" => homes.join(" "));
        state.homes = homes;
    }
}

fn report_spending(context: &HostContext, shares: &LimitShares, now: MonotonicTime) {
    let due = shares.state().spender.due_reports(now);
    let mut state = shares.state();
    for (home, buckets) in by_first_home(context, due.iter().map(String::as_str), now) {
        for buckets in buckets.chunks(ENTRIES_MAX) {
            let spender = &mut state.spender;
            let entries = buckets
                .iter()
                .filter_map(|bucket| spender.entry(bucket, &home.name, 0, false, now));
            let entries = entries.collect();
            send_entries(context, &mut state, &home, entries, EntryPurpose::Report);
        }
    }
}

/// Reports to the first homes what this host granted as their standby.
fn report_standby_debts(context: &HostContext, shares: &LimitShares, now: MonotonicTime) {
    let mut state = shares.state();
    for debt in state.home.standby_debts() {
        let Some(home) = homes_of(context, &debt.bucket, now).into_iter().next() else {
            continue;
        };
        let entry = debt.entry();
        let purpose = EntryPurpose::StandbyDebt;
        send_entries(context, &mut state, &home, vec![entry], purpose);
    }
}

/// Groups workspaces by their first home.
fn by_first_home<'b>(
    context: &HostContext,
    buckets: impl Iterator<Item = &'b str>,
    now: MonotonicTime,
) -> Vec<(HomeAddress, Vec<&'b str>)> {
    let mut groups: HashMap<String, (HomeAddress, Vec<&str>)> = HashMap::new();
    for bucket in buckets {
        if let Some(home) = homes_of(context, bucket, now).into_iter().next() {
            let group = groups
                .entry(home.name.clone())
                .or_insert_with(|| (home, Vec::new()));
            group.1.push(bucket);
        }
    }
    groups.into_values().collect()
}

/// Logs when a limit home falls silent and when it responds again.
fn log_silent_homes(context: &HostContext, shares: &LimitShares, now: MonotonicTime) {
    let mut state = shares.state();
    let is_silent = |since: &MonotonicTime| now.since(*since) >= HOME_SILENT_TIME;
    let silent = state.unanswered.iter();
    let silent = silent.filter(|(_, since)| is_silent(since));
    let silent: Vec<String> = silent.map(|(home, _)| home.clone()).collect();
    for home in silent.iter().filter(|home| !state.silent.contains(home)) {
        context.counters.count("token-home-silent", &[]);
        let since = state.unanswered.get(home).copied().unwrap_or(now);
        warn!(context.log, "token home silent"; "home" => home,
            "silent_ms" => now.since(since).as_millis() as u64);
    }
    for home in state.silent.iter().filter(|home| !silent.contains(home)) {
        info!(context.log, "token home responds"; "home" => home);
    }
    state.silent = silent;
}

/// Starts the thread that receives datagrams. It responds to peers that ask
/// this host as a limit home, and leaves all others to the thread that serves
/// callers.
///
/// On a host whose processor time is used up by callers' requests, a response
/// would otherwise wait behind these.
pub(super) fn start_receiving(
    shares: Arc<LimitShares>,
    socket: std::net::UdpSocket,
) -> Result<(), std::io::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new()
        .name("peers".to_owned())
        .stack_size(STACK_BYTES);
    thread.spawn(move || {
        runtime.block_on(async {
            if let Ok(socket) = UdpSocket::from_std(socket) {
                receive_datagrams(&shares, &socket).await;
            }
        });
    })?;
    Ok(())
}

async fn receive_datagrams(shares: &LimitShares, socket: &UdpSocket) {
    let mut pauses = PauseDetector::open(PauseSettings::default());
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let received = timeout(PAUSE_CHECK_INTERVAL, socket.recv_from(&mut buffer)).await;
        if let Some(pause) = pauses.tick(clock::now()) {
            shares.record_pause(pause);
        }
        match received {
            Ok(Ok((length, from))) => shares.handle(&buffer[..length], from),
            Ok(Err(_)) => tokio::time::sleep(RECEIVE_BACKOFF).await,
            Err(_) => {}
        }
    }
}
