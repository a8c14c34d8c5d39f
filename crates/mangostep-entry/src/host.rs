//! Starts the tasks of a host, and stops them in order.

use std::{cell::Cell, io};

use {
    http::StatusCode,
    mangostep_http::RequestHead,
    mangostep_policy::{
        AdmissionSettings, AdmissionTable, AllowanceSettings, FleetLoad, FleetLoadSettings,
        HostRow, HostTable, HostTableSettings, LapseRule, LapseSettings, LedgerSettings,
        PauseDetector, PauseSettings, PoolSettings, RetryAllowance, ServerPool, TokenLedger,
        WaitSettings,
    },
    mangostep_telemetry::{HostCounters, LineLog, LineLogSettings},
    rand::RngExt,
    slog::{Logger, info, warn},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::{LocalSet, spawn_local},
    },
};

use crate::{
    back::ConnectionPools,
    clock,
    context::{FIRST_WRITES_SPREAD, HostContext, HostPhase, ShutdownTimes, TableStates},
    follow,
    front::{
        EXPLANATION_PATH, explanation_page,
        pages::{PageResponse, serve_pages},
        serve_callers,
    },
    peers::{self, PeerSocket},
    platform::{FleetTable, LookupAnswer, Platform},
    prelude::*,
    rollouts::{self, Rollouts},
    settings::HostSettings,
};

/// Time for which callers cache a look-up answer. A longer time sends callers
/// to hosts that have failed; a shorter time costs a look-up for each request.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Time before the end of the grace period at which the host stops reading
/// requests, so that the in-flight ones end before the process is killed.
const CLOSING_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of the grace period at which the process exits in any
/// case. On a slow machine with a tenth of a core the exit takes a few hundred
/// milliseconds.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time after the stop signal in which every request is served. Later requests
/// are served only if their deadline is before the exit of the process: the
/// operators accept that the end of the grace period cuts off requests that
/// arrived in its first three seconds, but no later ones.
const SERVE_ALL_TIME: Duration = Duration::from_millis(2_900);

/// Maximum time for writing the remaining log lines at exit.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Initial backoff between attempts to write the row of this host. It doubles
/// up to `HOST_ROW_BACKOFF_MAX`.
const HOST_ROW_BACKOFF_MIN: Duration = Duration::from_millis(700);

/// Maximum backoff between attempts to write the row of this host. Until the
/// row is written, peers know the host from its reports.
const HOST_ROW_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Interval between removals of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between the ticks by which the host detects that it was paused.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between checks for open connections during shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor of the host's memory: an eighth of it may hold requests that wait for
/// room at one service.
const WAITING_MEMORY_DIVISOR: u64 = 8;

/// Runs an entry host until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if a listener or the log cannot be opened.
pub fn run_host<P: Platform>(settings: HostSettings, platform: P) -> Result<(), EntryError> {
    let opened = LineLog::open(&settings.host, LineLogSettings::default());
    let (lines, log) = opened.map_err(|err| EntryError::new("open log", &settings.host, err))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| EntryError::new("start runtime", &settings.host, err))?;
    let local = LocalSet::new();
    let served = local.block_on(&runtime, serve(settings, platform, log.clone()));
    if let Err(err) = &served {
        warn!(log, "host failed"; "error" => err.to_string());
    }
    lines.close(LOG_FLUSH_TIMEOUT);
    served
}

async fn serve<P: Platform>(
    settings: HostSettings,
    platform: P,
    log: Logger,
) -> Result<(), EntryError> {
    let mut signals =
        HostSignals::open().map_err(|err| EntryError::new("wait for signals", "process", err))?;
    let context = Rc::new(open_context::<P>(settings, log).await?);
    let platform = Rc::new(platform);
    let settings = &context.settings;
    info!(context.log, "host started"; "incarnation" => context.incarnation,
        "front" => settings.front.to_string(), "zone" => &settings.zone,
        "bounds" => format!("{:?}", settings.bounds));
    open_listeners(&context, &platform)?;
    for table in FleetTable::ALL {
        spawn_local(follow::follow_table(
            Rc::clone(&context),
            Rc::clone(&platform),
            table,
        ));
        spawn_local(follow::follow_peers(
            Rc::clone(&context),
            Rc::clone(&platform),
            table,
        ));
    }
    spawn_local(follow::remove_expired_servers(Rc::clone(&context)));
    spawn_local(keep_own_row(Rc::clone(&context), Rc::clone(&platform)));
    spawn_local(peers::receive(Rc::clone(&context)));
    spawn_local(peers::report(Rc::clone(&context)));
    spawn_local(rollouts::run(Rc::clone(&context), Rc::clone(&platform)));
    spawn_local(peers::report_shares(Rc::clone(&context)));
    spawn_local(sweep_connections(Rc::clone(&context)));
    spawn_local(detect_pauses(Rc::clone(&context)));
    signals.wait_for_stop(&context.log).await;
    shut_down(&context).await;
    Ok(())
}

async fn open_context<P: Platform>(
    settings: HostSettings,
    log: Logger,
) -> Result<HostContext, EntryError> {
    let row = HostRow {
        name: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        front: settings.front,
        peer: settings.peer,
        copies: settings.copies,
        link_mbps: settings.link_mbps.ceil() as u32,
    };
    let allowance = AllowanceSettings {
        ratio: settings.bounds.retry_ratio,
        slack: settings.bounds.retry_slack,
        window: settings.bounds.retry_window_s,
        ..Default::default()
    };
    let ledger = LedgerSettings {
        window: settings.bounds.limit_window_s,
        overshoot: settings.bounds.limit_overshoot,
        slack: settings.bounds.limit_slack,
        ..Default::default()
    };
    let host_table = HostTableSettings {
        weighs_capacity: settings.weighted_lookups,
        ..Default::default()
    };
    let admission = AdmissionSettings {
        queue: WaitSettings {
            bytes_max: (settings.memory_mb << 20) / WAITING_MEMORY_DIVISOR,
            ..Default::default()
        },
        ..Default::default()
    };
    let counters = HostCounters::open()
        .map_err(|err| EntryError::new("open counters", &settings.host, err))?;
    Ok(HostContext {
        log,
        counters,
        decode_statement: P::decode_statement,
        fault_logged: Cell::new(None),
        opened: clock::now(),
        incarnation: clock::wall_clock_ms(),
        snapshot: Default::default(),
        configuration: Cell::new(None),
        store_era: Default::default(),
        held_zones: Default::default(),
        tables: TableStates::default().into(),
        lapse: LapseRule::open(LapseSettings::default()).into(),
        pauses: PauseDetector::open(PauseSettings::default()).into(),
        pool: ServerPool::open(PoolSettings::default()).into(),
        hosts: HostTable::open(row, host_table, clock::now()).into(),
        allowance: RetryAllowance::open(allowance).into(),
        admission: AdmissionTable::open(admission).into(),
        fleet_load: FleetLoad::open(&settings.zone, FleetLoadSettings::default()).into(),
        ledger: TokenLedger::open(ledger).into(),
        splitters: Default::default(),
        request_counter: Default::default(),
        random: HostContext::random_source().into(),
        connections: ConnectionPools::open(),
        peers: PeerSocket::open(&settings).await?,
        rollouts: Rollouts::default(),
        phase: Cell::new(HostPhase::Serving),
        shutdown: Cell::new(None),
        buffered_bytes: Cell::new(0),
        received_bytes: Cell::new(0),
        response_bytes: Cell::new(0),
        response_sizes: Default::default(),
        in_flight_requests: Cell::new(0),
        caller_connections: Cell::new(0),
        lingering_connections: Cell::new(0),
        store_failed: Cell::new(false),
        check_ended: tokio::sync::Notify::new(),
        report_wake: tokio::sync::Notify::new(),
        settings,
    })
}

fn open_listeners<P: Platform>(
    context: &Rc<HostContext>,
    platform: &Rc<P>,
) -> Result<(), EntryError> {
    let settings = &context.settings;
    serve_callers(context, settings.front)?;
    serve_pages(context, settings.ready, ready_page::<P>)?;
    let lookup_platform = Rc::clone(platform);
    serve_pages(context, settings.lookup, move |context, head| {
        lookup_page(context, &*lookup_platform, head)
    })?;
    peers::serve_copies(context, settings.copies)?;
    if let Some(metrics) = settings.metrics {
        serve_pages(context, metrics, metrics_page)?;
    }
    Ok(())
}

fn ready_page<P: Platform>(context: &HostContext, head: &RequestHead) -> PageResponse {
    if head.path() != P::READY_PATH {
        return PageResponse::empty(StatusCode::NOT_FOUND);
    }
    PageResponse::empty(match context.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    })
}

fn lookup_page<P: Platform>(
    context: &HostContext,
    platform: &P,
    head: &RequestHead,
) -> PageResponse {
    let Some(query) = platform.parse_lookup(&head.target) else {
        return PageResponse::empty(StatusCode::NOT_FOUND);
    };
    let hosts = context.hosts.borrow();
    let named = hosts.named_hosts(&query.zone, clock::now());
    let answer = LookupAnswer {
        addresses: named.iter().map(|row| row.front).collect(),
        ttl: LOOKUP_TTL.min(context.settings.bounds.lookup_keep_max_s),
    };
    PageResponse {
        status: StatusCode::OK,
        media_type: "application/json",
        body: platform.format_lookup(&answer),
    }
}

fn metrics_page(context: &HostContext, head: &RequestHead) -> PageResponse {
    if head.path() == EXPLANATION_PATH {
        return explanation_page(context, head);
    }
    match context.counters.scrape() {
        Ok(text) => PageResponse {
            status: StatusCode::OK,
            media_type: "text/plain; version=0.0.4",
            body: text.into_bytes(),
        },
        Err(err) => {
            warn!(context.log, "metrics not gathered"; "error" => err.to_string());
            PageResponse::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Writes the row of this host, and again each time that the store may have lost
/// it.
async fn keep_own_row<P: Platform>(context: Rc<HostContext>, platform: Rc<P>) {
    let mut eras = context.store_era.subscribe();
    wait_before_first_write(&context).await;
    loop {
        eras.mark_unchanged();
        write_own_row(&context, &*platform).await;
        if eras.changed().await.is_err() {
            return;
        }
        // All hosts write their rows to one partition of the store.
        let spread = context.random.borrow_mut().random_range(0.0..1.0);
        tokio::time::sleep(FIRST_WRITES_SPREAD.mul_f64(spread)).await;
    }
}

/// Writes the row of this host, and retries until the store confirms it.
async fn write_own_row<P: Platform>(context: &HostContext, platform: &P) {
    let row = context.hosts.borrow().own().clone();
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(err) => {
            warn!(context.log, "own row not written"; "error" => err.to_string());
            return;
        }
    };
    let mut backoff = HOST_ROW_BACKOFF_MIN;
    loop {
        let started = clock::now();
        let written = platform.put_host(&row.name, &value).await;
        let outcome = written
            .as_ref()
            .map_or_else(|fault| fault.kind.as_str(), |()| "answered");
        let time = clock::now().since(started);
        context
            .counters
            .record_store_call("write", FleetTable::Hosts.as_str(), outcome, time);
        let Err(fault) = written else {
            return;
        };
        warn!(context.log, "own row not written"; "error" => fault.to_string());
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(HOST_ROW_BACKOFF_MAX);
    }
}

/// Spreads the writes of a fleet that starts for the first time. Otherwise the
/// row is written at once: the other hosts may be about to read the list.
async fn wait_before_first_write(context: &HostContext) {
    if context.settings.is_first_start {
        let spread = context.random.borrow_mut().random_range(0.0..1.0);
        tokio::time::sleep(FIRST_WRITES_SPREAD.mul_f64(spread)).await;
    }
}

async fn detect_pauses(context: Rc<HostContext>) {
    loop {
        let now = clock::now();
        let pause = context.pauses.borrow_mut().tick(now);
        context.ledger.borrow_mut().record_running(now);
        if let Some(pause) = pause {
            context.counters.count("host-paused", &[]);
            warn!(context.log, "host paused"; "ms" => pause.as_millis() as u64);
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn sweep_connections(context: Rc<HostContext>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        peers::discard_idle_buckets(&context);
        let now = clock::now();
        let pool = context.pool.borrow();
        context
            .connections
            .sweep(now, |key| pool.accepts_work(key, now));
    }
}

/// Shuts the host down gracefully: removes it from look-ups at once, serves
/// requests until shortly before the end of the grace period, and waits until
/// the in-flight ones are answered and their callers have closed the
/// connections. The exit of the process closes those that are left, which may
/// cut off what their callers have not received.
async fn shut_down(context: &Rc<HostContext>) {
    let grace = context.settings.bounds.stop_grace_s;
    let started = tokio::time::Instant::now();
    info!(context.log, "host stopping"; "grace_ms" => grace.as_millis() as u64);
    let end = started + grace.saturating_sub(EXIT_MARGIN);
    context.shutdown.set(Some(ShutdownTimes {
        serves_all_until: started + SERVE_ALL_TIME.min(grace / 2),
        end,
    }));
    context.phase.set(HostPhase::Draining);
    peers::report_once(context, 0);
    tokio::time::sleep_until(started + grace.saturating_sub(CLOSING_MARGIN)).await;
    context.phase.set(HostPhase::Closing);
    let is_busy = || context.in_flight_requests.get() > 0 || context.caller_connections.get() > 0;
    while tokio::time::Instant::now() < end && is_busy() {
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
    info!(context.log, "host stopped"; "unfinished" => context.in_flight_requests.get(),
        "connections" => context.caller_connections.get());
}

/// Signals that the process handles.
struct HostSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
}

impl HostSignals {
    fn open() -> io::Result<Self> {
        Ok(HostSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    async fn wait_for_stop(&mut self, log: &Logger) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => {
                    info!(log, "reload asked"; "effect" => "settings take effect at the next start");
                }
            }
        }
    }
}
