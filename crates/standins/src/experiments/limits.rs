use std::time::{Duration, Instant};

use reqwest::Client;

use crate::{
    StandinError,
    experiments::{
        Bound, ExperimentSettings, Figures,
        limit_fleet::{
            NORTH, RateRefusals, SOUTH, WholeLimit, limited_objects, load, open_limited,
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
const STEADY_PART: f64 = 0.8;
const STEADY_SPAN: Duration = Duration::from_secs(7);
const GREEDY_TIMES: f64 = 5.0;
const GREEDY_SPAN: Duration = Duration::from_secs(20);
const READ_EVERY: Duration = Duration::from_millis(200);

/// Share of a well-behaved load that may be refused, in percent.
const REFUSED_PERCENT: f64 = 0.1;

/// What happens to the fleet while one workspace sends too much.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Freeze(usize),
    Wake(usize),
    /// Nothing passes from one host to another, the other way it does.
    CutOneWay {
        from: usize,
        to: usize,
    },
    Heal(usize),
    ResetLinks(usize),
    Kill(usize),
    Restart(usize),
}

const FAULTS: [(u64, Fault); 7] = [
    (2000, Fault::Freeze(0)),
    (4000, Fault::CutOneWay { from: 3, to: 4 }),
    (7000, Fault::Heal(4)),
    (8000, Fault::ResetLinks(5)),
    (14_000, Fault::Wake(0)),
    (15_500, Fault::Kill(1)),
    (17_500, Fault::Restart(1)),
];

/// A well-behaved workspace alone, then another at five times its rate over
/// all hosts while hosts and links fail.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let mut fleet = open_limited(limited_objects(GREEDY, STEADY)).await?;
    let mut figures = Figures::default();
    steady(&fleet, settings.seed, &mut figures).await?;
    greedy(&mut fleet, settings.seed, &mut figures).await?;
    fleet.close().await;
    Ok(figures)
}

async fn steady(fleet: &TestFleet, seed: u64, figures: &mut Figures) -> Result<(), StandinError> {
    let rate = STEADY_PART * STEADY.rate_per_s as f64 / fleet.hosts.len() as f64;
    let loads = fleet.hosts.iter().enumerate().map(|(index, host)| {
        let entries = vec![host.addresses().front];
        run_load(load(SOUTH, entries, rate, STEADY_SPAN, seed + index as u64))
    });
    let reports = futures::future::try_join_all(loads).await?;
    let refusals = RateRefusals::of(&reports, STEADY);
    let told = |count: u64| count as f64;
    figures.push("steady_sent", told(refusals.sent), "requests", Bound::None);
    figures.push(
        "steady_refused",
        refusals.percent(),
        "%",
        Bound::AtMost(REFUSED_PERCENT),
    );
    figures.push(
        "steady_failed",
        told(refusals.otherwise),
        "requests",
        Bound::None,
    );
    Ok(())
}

async fn greedy(
    fleet: &mut TestFleet,
    seed: u64,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let mut log = TokenLog::of_workspace("north");
    let rate = GREEDY_TIMES * GREEDY.rate_per_s as f64 / fleet.hosts.len() as f64;
    let loads: Vec<_> = fleet
        .hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let entries = vec![host.addresses().front];
            let seed = seed + 100 + index as u64;
            tokio::spawn(run_load(load(NORTH, entries, rate, GREEDY_SPAN, seed)))
        })
        .collect();
    fail(fleet, &mut log).await?;
    let mut reports: Vec<LoadReport> = Vec::new();
    for load in loads {
        let report = load.await;
        reports.push(report.map_err(|err| StandinError::new("await load", "north", err))??);
    }
    read_all(fleet, &mut log, None).await;
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

/// Causes the faults and reads the tokens taken, until the load is over.
async fn fail(fleet: &mut TestFleet, log: &mut TokenLog) -> Result<(), StandinError> {
    let start = Instant::now();
    let mut faults = FAULTS.iter().peekable();
    let mut down = None;
    while start.elapsed() < GREEDY_SPAN {
        let due = faults.next_if(|(at, _)| start.elapsed() >= Duration::from_millis(*at));
        if let Some((_, fault)) = due {
            read_all(fleet, log, down).await;
            cause(fleet, *fault).await?;
            down = match fault {
                Fault::Freeze(host) | Fault::Kill(host) => Some(*host),
                Fault::Wake(_) | Fault::Restart(_) => None,
                _ => down,
            };
        }
        read_all(fleet, log, down).await;
        tokio::time::sleep(READ_EVERY).await;
    }
    Ok(())
}

async fn read_all(fleet: &TestFleet, log: &mut TokenLog, down: Option<usize>) {
    let http = Client::new();
    for (index, host) in fleet.hosts.iter().enumerate() {
        if down != Some(index) {
            // A host that is just starting is read later.
            let _ = log.read(&http, host).await;
        }
    }
}

async fn cause(fleet: &mut TestFleet, fault: Fault) -> Result<(), StandinError> {
    match fault {
        Fault::Freeze(host) => fleet.hosts[host].signal(ProcessSignal::Stop),
        Fault::Wake(host) => fleet.hosts[host].signal(ProcessSignal::Continue),
        Fault::Kill(host) => fleet.hosts[host].signal(ProcessSignal::Kill),
        Fault::Restart(host) => fleet.hosts[host].restart().await?,
        Fault::CutOneWay { from, to } => {
            let source = Some(fleet.hosts[from].outgoing());
            let rule = LinkRule::CUT_TO_TARGET;
            command(fleet, to, ProxyCommand::Rule { source, rule }).await?;
        }
        Fault::Heal(host) => command(fleet, host, ProxyCommand::Clear).await?,
        Fault::ResetLinks(host) => {
            command(fleet, host, ProxyCommand::Reset { source: None }).await?;
        }
    }
    Ok(())
}

/// Runs a command at the proxy before a host's peer listener.
async fn command(
    fleet: &TestFleet,
    host: usize,
    command: ProxyCommand,
) -> Result<(), StandinError> {
    match fleet.hosts[host].proxy() {
        Some(proxy) => proxy.run(vec![command]).await,
        None => Ok(()),
    }
}

/// Tells the fullest windows; those of taken tokens must keep to the limit.
fn push_windows(figures: &mut Figures, what: &str, times_us: &[u64], is_bound: bool) {
    let first = times_us.first().copied().unwrap_or(0);
    let whole_us = times_us.last().copied().unwrap_or(0) - first;
    let whole = Duration::from_micros(whole_us);
    for (name, window) in [
        ("1s", Duration::from_secs(1)),
        ("10s", Duration::from_secs(10)),
        ("whole", whole),
    ] {
        let most = max_in_window(times_us, window.as_micros() as u64);
        let bound = match is_bound {
            true => Bound::AtMost(GREEDY.most(window)),
            false => Bound::None,
        };
        figures.push(&format!("{what}_{name}"), most as f64, "requests", bound);
    }
    let excess = GREEDY.window().excess(times_us);
    let bound = match is_bound {
        true => Bound::AtMost(0.0),
        false => Bound::None,
    };
    figures.push(&format!("{what}_excess"), excess, "requests", bound);
}
