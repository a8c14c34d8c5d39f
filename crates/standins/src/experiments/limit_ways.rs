use std::{net::SocketAddr, time::Duration};

use mangostep_policy::{FleetLimit, LimitHome, MonotonicTime};

use crate::{
    StandinError,
    experiments::{
        Bound, ExperimentSettings, Figures,
        limit_fleet::{
            NORTH, RateRefusals, SOUTH, WholeLimit, limited_objects, open_limited_fleet,
            workspace_load,
        },
        token_waits::TokenWaits,
    },
    fleet::TestFleet,
    load::{LoadReport, LoadSettings, run_load},
    proxy::{LinkRule, ProxyCommand},
};

const LIMIT: WholeLimit = WholeLimit {
    rate_per_s: 100,
    burst: 18,
};
const LOAD_SHARE: f64 = 0.8;
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Delay between two hosts in one direction.
const LINK_DELAY_MS: u64 = 1;

/// Compares three strategies for sharing a rate limit between hosts, at 80%
/// of its rate: look-ups that list the limit homes first, requests spread
/// evenly over the hosts, and a static share for each host.
pub(crate) async fn run(settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = open_limited_fleet(limited_objects(LIMIT, LIMIT)).await?;
    delay_links(&fleet).await?;
    let mut figures = Figures::default();
    let before = TokenWaits::read(&fleet).await?;
    let homes_first = measure(&fleet, NORTH, true, settings.seed).await?;
    let between = TokenWaits::read(&fleet).await?;
    let spread = measure(&fleet, SOUTH, false, settings.seed + 10).await?;
    let after = TokenWaits::read(&fleet).await?;
    push_load(&mut figures, "homes_first", &homes_first);
    between
        .since(&before)
        .push_figures("homes_first", &mut figures);
    push_load(&mut figures, "spread", &spread);
    after.since(&between).push_figures("spread", &mut figures);
    let refused = count_static_refusals(&fleet, &spread);
    let percent = 100.0 * refused as f64 / spread.total.sent.max(1) as f64;
    figures.push("static_refused", percent, "%", Bound::None);
    fleet.close().await;
    Ok(figures)
}

async fn delay_links(fleet: &TestFleet) -> Result<(), StandinError> {
    for host in &fleet.hosts {
        let rule = LinkRule {
            delay_ms: LINK_DELAY_MS,
            ..Default::default()
        };
        if let Some(proxy) = host.proxy() {
            let source = None;
            proxy.run(vec![ProxyCommand::Rule { source, rule }]).await?;
        }
    }
    Ok(())
}

/// Sends a load to the hosts that look-ups with the key return, or to every
/// host in turn.
async fn measure(
    fleet: &TestFleet,
    key: &str,
    look_up: bool,
    seed: u64,
) -> Result<LoadReport, StandinError> {
    let entries: Vec<SocketAddr> = fleet
        .hosts
        .iter()
        .map(|host| host.addresses().front)
        .collect();
    let rate = LOAD_SHARE * LIMIT.rate_per_s as f64;
    let settings = LoadSettings {
        look_up,
        look_up_key: key.to_owned(),
        rotate_entries: !look_up,
        callers: entries.len() * 2,
        ..workspace_load(key, entries, rate, LOAD_DURATION, seed)
    };
    run_load(settings).await
}

fn push_load(figures: &mut Figures, name: &str, report: &LoadReport) {
    let refusals = RateRefusals::of(std::slice::from_ref(report), LIMIT);
    let total = &report.total;
    let mut push = |part: &str, value, unit| {
        figures.push(&format!("{name}_{part}"), value, unit, Bound::None);
    };
    push("refused", refusals.within_rate_percent(), "%");
    push("failed", refusals.failed as f64, "requests");
    push("p50", total.latency_ms(0.5), "ms");
    push("p99", total.latency_ms(0.99), "ms");
}

/// Replays the arrivals of a load against one token bucket per host, each with
/// an equal share of the limit; returns how many requests within the fleet's
/// rate these buckets refuse.
fn count_static_refusals(fleet: &TestFleet, report: &LoadReport) -> u64 {
    let hosts = fleet.hosts.len() as u64;
    let share = FleetLimit {
        rate_micro_per_s: LIMIT.rate_per_s * 1_000_000 / hosts,
        burst_micro: LIMIT.burst * 1_000_000 / hosts,
    };
    let mut operations: Vec<_> = report.operations.iter().collect();
    operations.sort_by_key(|operation| operation.due_us);
    let due: Vec<u64> = operations
        .iter()
        .map(|operation| operation.due_us)
        .collect();
    let admissible = LIMIT.window().admissible(&due);
    let name = "w:north";
    let mut buckets: Vec<(SocketAddr, Vec<LimitHome>)> = Vec::new();
    let mut refused = 0;
    for (operation, is_within) in operations.iter().zip(admissible) {
        let Some(entry) = operation.entry else {
            continue;
        };
        let now = MonotonicTime::from_micros(operation.due_us);
        let index = buckets.iter().position(|(address, _)| *address == entry);
        let index = index.unwrap_or_else(|| {
            // Opened at time zero, long before the first request, so that the
            // bucket starts full.
            let homes = share.homes(name);
            let open = homes.map(|home| LimitHome::open(home.index, MonotonicTime::ZERO));
            buckets.push((entry, open.collect()));
            buckets.len() - 1
        });
        let homes = &mut buckets[index].1;
        let is_admitted = homes
            .iter_mut()
            .any(|home| home.take(now, name, share, 1).granted == 1);
        refused += u64::from(!is_admitted && is_within);
    }
    refused
}
