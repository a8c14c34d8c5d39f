use std::time::{Duration, Instant};

use crate::{
    StandinError,
    experiments::{Bound, ExperimentSettings, Figures},
    fleet::{
        Caller, FleetSettings, NORTH_KEY, ProxiedLinks, SOUTH_KEY, ServerGroup, TestFleet,
        basic_objects,
    },
    proxy::{LinkRule, ProxyCommand},
};

/// Longest time after its withdrawal in which a key may still be admitted.
const WITHDRAWAL_MAX_S: f64 = 5.0;

/// Index of the host that is cut off from the store after the first round.
const CUT_HOST: usize = 1;
const ROUND_COUNT: usize = 2;
const SEND_DURATION: Duration = Duration::from_secs(7);
const REQUEST_PAUSE: Duration = Duration::from_millis(4);

/// Withdraws a key while callers send to every host on open connections; in
/// the second round one host is cut off from the store.
pub(crate) async fn run(_settings: ExperimentSettings) -> Result<Figures, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        hosts_per_zone: 2,
        servers: vec![ServerGroup::default()],
        proxied: ProxiedLinks {
            platform: true,
            ..Default::default()
        },
        ..Default::default()
    })
    .await?;
    let mut figures = Figures::default();
    for (round, key) in [NORTH_KEY, SOUTH_KEY]
        .into_iter()
        .enumerate()
        .take(ROUND_COUNT)
    {
        let is_cut = round > 0;
        if is_cut && let Some(proxy) = fleet.platform.proxy() {
            let source = Some(fleet.hosts[CUT_HOST].outgoing());
            let rule = LinkRule::CUT_BOTH;
            proxy.run(vec![ProxyCommand::Rule { source, rule }]).await?;
        }
        withdraw_key(&fleet, round, key, &mut figures).await?;
    }
    fleet.close().await;
    Ok(figures)
}

/// Withdraws a key; adds the time until each host last admitted a request.
async fn withdraw_key(
    fleet: &TestFleet,
    round: usize,
    key: &str,
    figures: &mut Figures,
) -> Result<(), StandinError> {
    let end = Instant::now() + SEND_DURATION;
    let mut senders = Vec::new();
    for host in 0..fleet.hosts.len() {
        senders.push(tokio::spawn(send_until(fleet.caller(host, key)?, end)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut set = basic_objects(&["a", "b", "c"].map(str::to_owned));
    let kept_workspace = if round == 0 { "south" } else { "" };
    set.keys.retain(|key| key.workspace == kept_workspace);
    fleet.publish(&set).await?;
    let accepted = Instant::now();
    for (host, sender) in senders.into_iter().enumerate() {
        let last = sender
            .await
            .map_err(|err| StandinError::new("await caller", host, err))?;
        let last =
            last.ok_or_else(|| StandinError::new("hammer", host, "no request was served"))?;
        let delay_s = last.saturating_duration_since(accepted).as_secs_f64();
        let cut = if round > 0 && host == CUT_HOST {
            "_cut"
        } else {
            ""
        };
        let name = format!("round{round}_host{host}{cut}_last_admitted");
        figures.push(&name, delay_s, "s", Bound::AtMost(WITHDRAWAL_MAX_S));
    }
    Ok(())
}

/// Sends requests on an open connection until `end`; returns the start of the
/// last request that was served.
async fn send_until(caller: Caller, end: Instant) -> Option<Instant> {
    let mut last = None;
    while Instant::now() < end {
        let start = Instant::now();
        if matches!(caller.get("/lookup/1").await, Ok(answer) if answer.status == 200) {
            last = Some(start);
        }
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    last
}
