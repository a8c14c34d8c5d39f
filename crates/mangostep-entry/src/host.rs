//! The composition root: opens every duty of a host and ends them in order.

use std::{cell::Cell, io};

use {
    http::StatusCode,
    mangostep_http::RequestHead,
    mangostep_policy::{
        AllowanceSettings, HostRow, HostTable, HostTableSettings, LapseRule, LapseSettings,
        LedgerSettings, PoolSettings, RetryAllowance, ServerPool, TokenLedger,
    },
    mangostep_telemetry::{HostCounters, LineLog, LineLogSettings},
    slog::{Logger, info, warn},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::{LocalSet, spawn_local},
    },
};

use crate::{
    back::BackPools,
    clock,
    context::{HostContext, HostPhase, StopTimes, TableStates},
    follow,
    front::{
        pages::{PageAnswer, serve_pages},
        serve_callers,
    },
    peers::{self, PeerPort},
    platform::{FleetTable, LookupAnswer, Platform},
    prelude::*,
    settings::HostSettings,
};

/// Time for which callers keep the answer of a look-up. Longer answers lead
/// callers to hosts that died; shorter ones cost a look-up for each request.
const LOOKUP_KEEP: Duration = Duration::from_secs(2);

/// Time before the end of the grace at which requests are no longer read, so
/// that those under way end before the process is ended by force.
const CLOSING_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of the grace at which the process ends in any case. A
/// slow machine of a tenth of a core needs a few hundred milliseconds to end.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time after the signal to stop in which every request is served. Later ones
/// are served if their deadline ends before the process does: operators allow
/// only earlier requests to be cut by the end of the grace, after three
/// seconds.
const SERVES_ALL: Duration = Duration::from_millis(2_900);

/// Longest time to write log lines at the end.
const LOG_WAIT: Duration = Duration::from_millis(50);

/// Pause between the first two attempts to write the own row; doubled up to
/// the largest.
const HOST_ROW_PAUSE: Duration = Duration::from_millis(700);

/// Largest pause between two attempts to write the own row. Other hosts know it
/// from reports meanwhile.
const HOST_ROW_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Time between two sweeps of idle connections.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Time between two looks at what is still under way.
const CLOSE_PAUSE: Duration = Duration::from_millis(50);

/// Runs an entry host until SIGTERM or SIGINT and its planned stop.
///
/// # Errors
///
/// Fails when a listener or the log cannot be opened.
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
    lines.close(LOG_WAIT);
    served
}

async fn serve<P: Platform>(
    settings: HostSettings,
    platform: P,
    log: Logger,
) -> Result<(), EntryError> {
    let mut signals =
        HostSignals::open().map_err(|err| EntryError::new("wait for signals", "process", err))?;
    let context = Rc::new(open_context(settings, log).await?);
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
    }
    spawn_local(follow::follow_hosts(
        Rc::clone(&context),
        Rc::clone(&platform),
    ));
    spawn_local(follow::expire_servers(Rc::clone(&context)));
    spawn_local(put_own_row(Rc::clone(&context), Rc::clone(&platform)));
    spawn_local(peers::receive(Rc::clone(&context)));
    spawn_local(peers::report(Rc::clone(&context)));
    spawn_local(sweep_backs(Rc::clone(&context)));
    signals.wait_for_stop(&context.log).await;
    stop(&context).await;
    Ok(())
}

async fn open_context(settings: HostSettings, log: Logger) -> Result<HostContext, EntryError> {
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
    let counters = HostCounters::open()
        .map_err(|err| EntryError::new("open counters", &settings.host, err))?;
    Ok(HostContext {
        log,
        counters,
        opened: clock::now(),
        incarnation: clock::wall_ms(),
        snapshot: Default::default(),
        tables: TableStates::default().into(),
        lapse: LapseRule::open(LapseSettings::default()).into(),
        pool: ServerPool::open(PoolSettings::default()).into(),
        hosts: HostTable::open(row, HostTableSettings::default(), clock::now()).into(),
        allowance: RetryAllowance::open(allowance).into(),
        ledger: TokenLedger::open(ledger).into(),
        splits: Default::default(),
        requests: Default::default(),
        random: HostContext::random_source().into(),
        backs: BackPools::open(),
        peers: PeerPort::open(settings.peer).await?,
        phase: Cell::new(HostPhase::Serving),
        stop: Cell::new(None),
        held_bytes: Cell::new(0),
        held_requests: Cell::new(0),
        store_failed: Cell::new(false),
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
    let shared = Rc::clone(platform);
    serve_pages(context, settings.lookup, move |context, head| {
        lookup_page(context, &*shared, head)
    })?;
    peers::serve_copies(context, settings.copies)?;
    if let Some(metrics) = settings.metrics {
        serve_pages(context, metrics, metrics_page)?;
    }
    Ok(())
}

fn ready_page<P: Platform>(context: &HostContext, head: &RequestHead) -> PageAnswer {
    if head.path() != P::READY_PATH {
        return PageAnswer::bare(StatusCode::NOT_FOUND);
    }
    PageAnswer::bare(match context.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    })
}

fn lookup_page<P: Platform>(context: &HostContext, platform: &P, head: &RequestHead) -> PageAnswer {
    let Some(query) = platform.parse_lookup(&head.target) else {
        return PageAnswer::bare(StatusCode::NOT_FOUND);
    };
    let hosts = context.hosts.borrow();
    let named = hosts.named_hosts(&query.zone, clock::now());
    let answer = LookupAnswer {
        fronts: named.iter().map(|row| row.front).collect(),
        keep: LOOKUP_KEEP.min(context.settings.bounds.lookup_keep_max_s),
    };
    PageAnswer {
        status: StatusCode::OK,
        media: "application/json",
        body: platform.format_lookup(&answer),
    }
}

fn metrics_page(context: &HostContext, _: &RequestHead) -> PageAnswer {
    match context.counters.scrape() {
        Ok(text) => PageAnswer {
            status: StatusCode::OK,
            media: "text/plain; version=0.0.4",
            body: text.into_bytes(),
        },
        Err(err) => {
            warn!(context.log, "metrics not gathered"; "error" => err.to_string());
            PageAnswer::bare(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Writes the own row until the store confirms it.
async fn put_own_row<P: Platform>(context: Rc<HostContext>, platform: Rc<P>) {
    let row = context.hosts.borrow().own().clone();
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(err) => {
            warn!(context.log, "own row not written"; "error" => err.to_string());
            return;
        }
    };
    let mut pause = HOST_ROW_PAUSE;
    loop {
        let started = clock::now();
        let written = platform.put_host(&row.name, &value).await;
        let end = written
            .as_ref()
            .map_or_else(|fault| fault.kind.as_str(), |()| "answered");
        let time = clock::now().since(started);
        context
            .counters
            .record_store_call("write", FleetTable::Hosts.as_str(), end, time);
        let Err(fault) = written else {
            return;
        };
        warn!(context.log, "own row not written"; "error" => fault.to_string());
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(HOST_ROW_PAUSE_MAX);
    }
}

async fn sweep_backs(context: Rc<HostContext>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        let pool = context.pool.borrow();
        context
            .backs
            .sweep(clock::now(), |key| pool.accepts_work(key));
    }
}

/// Leaves the look-up at once, serves those who come until shortly before the
/// end of the grace, and ends what is under way.
async fn stop(context: &Rc<HostContext>) {
    let grace = context.settings.bounds.stop_grace_s;
    let started = tokio::time::Instant::now();
    info!(context.log, "host stopping"; "grace_ms" => grace.as_millis() as u64);
    let end = started + grace.saturating_sub(EXIT_MARGIN);
    context.stop.set(Some(StopTimes {
        serves_all_until: started + SERVES_ALL.min(grace / 2),
        end,
    }));
    context.phase.set(HostPhase::Leaving);
    peers::report_once(context, 0);
    tokio::time::sleep_until(started + grace.saturating_sub(CLOSING_MARGIN)).await;
    context.phase.set(HostPhase::Closing);
    while tokio::time::Instant::now() < end && context.held_requests.get() > 0 {
        tokio::time::sleep(CLOSE_PAUSE).await;
    }
    info!(context.log, "host stopped"; "unfinished" => context.held_requests.get());
}

/// The signals that a host obeys.
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
                    info!(log, "reload asked"; "effect" => "settings hold until the next start");
                }
            }
        }
    }
}
