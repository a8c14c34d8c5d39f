use std::time::{Duration, Instant};

use reqwest::Client;

use crate::{
    StandinError,
    experiments::{
        Bound, ExperimentSettings, Figures,
        limit_fleet::{
            NORTH, RateRefusals, SOUTH, WholeLimit, limited_objects, open_limited_fleet,
            workspace_load,
        },
    },
    fleet::{ProcessSignal, TestFleet},
    load::{LoadReport, run_load},
    proxy::{LinkRule, ProxyCommand},
    tokens::{TokenLog, max_in_window},
};

const GREEDY: WholeLimit = WholeLimit {
    rate_per_s: 100,
    burst: 30,
};
const STEADY: WholeLimit = WholeLimit {
    rate_per_s: 200,
    burst: 60,
};
const STEADY_SHARE: f64 = 0.8;
const STEADY_DURATION: Duration = Duration::from_secs(7);
const GREEDY_FACTOR: f64 = 5.0;
const GREEDY_DURATION: Duration = Duration::from_secs(20);
const TOKEN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Largest share of a load within its rate limit that may be refused.
const REFUSED_MAX_PERCENT: f64 = 0.1;

/// Fault injected while one workspace exceeds its rate. Numbers are indexes
/// of hosts.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Suspend(usize),
    Resume(usize),
    /// Drops all traffic from one host to another, but not in the opposite
    /// direction.
    CutOneWay {
        from: usize,
        to: usize,
    },
    /// Removes all rules at the proxy of a host's peer listener.
    ClearRules(usize),
    ResetLinks(usize),
    Kill(usize),
    Restart(usize),
}

/// Faults with the time into the load at which each is injected, in
/// milliseconds.
const FAULTS: [(u64, Fault); 7] = [
    (2000, Fault::Suspend(0)),
    (4000, Fault::CutOneWay { from: 3, to: 4 }),
    (7000, Fault::ClearRules(4)),
    (8000, Fault::ResetLinks(5)),
    (14_000, Fault::Resume(0)),
    (15_500, Fault::Kill(1)),
    (17_500, Fault::Restart(1)),
];

/// Runs a workspace below its rate limit alone, then another at five times
/// its limit over all hosts while hosts and links fail.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut fleet = open_limited_fleet(limited_objects(GREEDY, STEADY)).await?;
    let mut figures = Figures::default();
    run_steady(&fleet, settings.seed, &mut figures).await?;
    run_greedy(&mut fleet, settings.seed, &mut figures).await?;
    fleet.close().await;
    Ok(figures)
}

async fn run_steady(
    fleet: &TestFleet,
    seed: u64,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let rate = STEADY_SHARE * STEADY.rate_per_s as f64 / fleet.hosts.len() as f64;
    let loads = fleet.hosts.iter().enumerate().map(|(index, host)| {
        let entries = vec![host.addresses().front];
        run_load(workspace_load(
            SOUTH,
            entries,
            rate,
            STEADY_DURATION,
            seed + index as u64,
        ))
    });
    let reports = futures::future::try_join_all(loads).await?;
    let refusals = RateRefusals::of(&reports, STEADY);
    let value = |count: u64| count as f64;
    figures.push("steady_sent", value(refusals.sent), "requests", Bound::None);
    figures.push(
        "steady_refused",
        refusals.within_rate_percent(),
        "%",
        Bound::AtMost(REFUSED_MAX_PERCENT),
    );
    figures.push(
        "steady_failed",
        value(refusals.failed),
        "requests",
        Bound::None,
    );
    Ok(())
}

async fn run_greedy(
    fleet: &mut TestFleet,
    seed: u64,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let mut log = TokenLog::of_workspace("north");
    let rate = GREEDY_FACTOR * GREEDY.rate_per_s as f64 / fleet.hosts.len() as f64;
    let loads: Vec<_> = fleet
        .hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let entries = vec![host.addresses().front];
            let seed = seed + 100 + index as u64;
            tokio::spawn(run_load(workspace_load(
                NORTH,
                entries,
                rate,
                GREEDY_DURATION,
                seed,
            )))
        })
        .collect();
    inject_faults(fleet, &mut log).await?;
    let mut reports: Vec<LoadReport> = Vec::new();
    for load in loads {
        let report = load.await;
        reports.push(report.map_err(|err| StandinError::new("await load", "north", err))??);
    }
    read_token_logs(fleet, &mut log, None).await;
    let sent: u64 = reports.iter().map(|report| report.total.sent).sum();
    figures.push("greedy_sent", sent as f64, "requests", Bound::None);
    push_windows(figures, "taken", &log.taken_us(), true);
    figures.push(
        "events_missed",
        log.missed() as f64,
        "events",
        Bound::AtMost(0.0),
    );
    let mut ran: Vec<u64> = fleet
        .records()
        .await?
        .iter()
        .filter(|run| run.workspace == "north")
        .map(|run| run.start_us)
        .collect();
    ran.sort_unstable();
    push_windows(figures, "ran", &ran, false);
    Ok(())
}

/// Injects the faults when due, and reads the events of taken tokens until
/// the load has ended.
async fn inject_faults(fleet: &mut TestFleet, log: &mut TokenLog) -> Result<(), StandinError> {
    let start = Instant::now();
    let mut faults = FAULTS.iter().peekable();
    let mut down = None;
    while start.elapsed() < GREEDY_DURATION {
        let due = faults.next_if(|(at, _)| start.elapsed() >= Duration::from_millis(*at));
        if let Some((_, fault)) = due {
            read_token_logs(fleet, log, down).await;
            inject(fleet, *fault).await?;
            down = match fault {
                Fault::Suspend(host) | Fault::Kill(host) => Some(*host),
                Fault::Resume(_) | Fault::Restart(_) => None,
                _ => down,
            };
        }
        read_token_logs(fleet, log, down).await;
        tokio::time::sleep(TOKEN_READ_INTERVAL).await;
    }
    Ok(())
}

/// Reads the token events of all hosts except one that is suspended or killed.
async fn read_token_logs(fleet: &TestFleet, log: &mut TokenLog, down: Option<usize>) {
    let http = Client::new();
    for (index, host) in fleet.hosts.iter().enumerate() {
        if down != Some(index) {
            // A host that is still starting is read in a later round.
            let _ = log.read(&http, host).await;
        }
    }
}

async fn inject(fleet: &mut TestFleet, fault: Fault) -> Result<(), StandinError> {
    match fault {
        Fault::Suspend(host) => fleet.hosts[host].signal(ProcessSignal::Stop),
        Fault::Resume(host) => fleet.hosts[host].signal(ProcessSignal::Continue),
        Fault::Kill(host) => fleet.hosts[host].signal(ProcessSignal::Kill),
        Fault::Restart(host) => fleet.hosts[host].restart().await?,
        Fault::CutOneWay { from, to } => {
            let source = Some(fleet.hosts[from].outgoing());
            let rule = LinkRule::CUT_TO_TARGET;
            run_command(fleet, to, ProxyCommand::Rule { source, rule }).await?;
        }
        Fault::ClearRules(host) => run_command(fleet, host, ProxyCommand::Clear).await?,
        Fault::ResetLinks(host) => {
            run_command(fleet, host, ProxyCommand::Reset { source: None }).await?;
        }
    }
    Ok(())
}

/// Runs a command at the proxy in front of a host's peer listener.
async fn run_command(
    fleet: &TestFleet,
    host: usize,
    command: ProxyCommand,
) -> Result<(), StandinError> {
    match fleet.hosts[host].proxy() {
        Some(proxy) => proxy.run(vec![command]).await,
        None => Ok(()),
    }
}

/// Adds figures, named after `what`, of the largest number of requests in any
/// window of each length and of the excess over the limit. With `is_bound` the
/// limit is their bound.
fn push_windows(figures: &mut Figures, what: &str, times_us: &[u64], is_bound: bool) {
    let first = times_us.first().copied().unwrap_or(0);
    let whole_us = times_us.last().copied().unwrap_or(0) - first;
    let whole = Duration::from_micros(whole_us);
    for (name, window) in [
        ("1s", Duration::from_secs(1)),
        ("10s", Duration::from_secs(10)),
        ("whole", whole),
    ] {
        let max = max_in_window(times_us, window.as_micros() as u64);
        let bound = match is_bound {
            true => Bound::AtMost(GREEDY.max_requests(window)),
            false => Bound::None,
        };
        figures.push(&format!("{what}_{name}"), max as f64, "requests", bound);
    }
    let excess = GREEDY.window().excess(times_us);
    let bound = match is_bound {
        true => Bound::AtMost(0.0),
        false => Bound::None,
    };
    figures.push(&format!("{what}_excess"), excess, "requests", bound);
}
