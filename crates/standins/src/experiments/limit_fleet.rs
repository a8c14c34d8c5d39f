//! Fleet, load and evaluation that the experiments on rate limits share.

use std::{net::SocketAddr, time::Duration};

use mangostep_objects::{Limit, ObjectSet};

use crate::{
    StandinError,
    backend::BackendSettings,
    fleet::{
        FleetSettings, NORTH_KEY, ProxiedLinks, ReadyProbe, SOUTH_KEY, ServerGroup, StartObjects,
        TestFleet, basic_objects, wait_until,
    },
    load::{LoadReport, LoadRequest, LoadSettings, OperationOutcome},
    tokens::WindowLimit,
};

/// Number of limit homes over all shards.
const LIMIT_HOME_COUNT: u64 = 192;

const HOMES_HELD_TIMEOUT: Duration = Duration::from_secs(20);

/// A rate limit whose rate and burst are whole numbers of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WholeLimit {
    pub(crate) rate_per_s: u64,
    pub(crate) burst: u64,
}

impl WholeLimit {
    pub(crate) fn window(self) -> WindowLimit {
        WindowLimit {
            rate_micro_per_s: self.rate_per_s * 1_000_000,
            burst_micro: self.burst * 1_000_000,
        }
    }

    /// Most requests that the limit admits in a window of this length.
    pub(crate) fn max_requests(self, window: Duration) -> f64 {
        self.rate_per_s as f64 * window.as_secs_f64() + self.burst as f64
    }

    fn limit_object(self, name: &str) -> Limit {
        Limit {
            name: name.to_owned(),
            rate_per_s: self.rate_per_s as f64,
            burst: self.burst as f64,
        }
    }
}

/// Returns the basic objects with a rate limit for each of the two
/// workspaces.
pub(crate) fn limited_objects(north: WholeLimit, south: WholeLimit) -> ObjectSet {
    let mut set = basic_objects(&["a", "b", "c"].map(str::to_owned));
    set.limits
        .extend([north.limit_object("north"), south.limit_object("south")]);
    set.workspaces[0].limit = Some("north".to_owned());
    set.workspaces[1].limit = Some("south".to_owned());
    set
}

/// Starts a fleet of two hosts in each of three zones, and waits until every
/// limit home is held.
pub(crate) async fn open_limited_fleet(objects: ObjectSet) -> Result<TestFleet, StandinError> {
    let fleet = TestFleet::open(FleetSettings {
        hosts_per_zone: 2,
        servers: vec![ServerGroup {
            per_zone: 2,
            backend: BackendSettings {
                slots: 8,
                cold_slots: 8,
                ..Default::default()
            },
            ..Default::default()
        }],
        objects: StartObjects::Set(objects),
        proxied: ProxiedLinks {
            peers: true,
            ..Default::default()
        },
        host_settings: serde_json::json!({ "record_tokens": true }),
        ready: Some(ReadyProbe {
            path: "/open/ready".to_owned(),
            key: String::new(),
            ..Default::default()
        }),
        ..Default::default()
    })
    .await?;
    wait_until("homes held", HOMES_HELD_TIMEOUT, || async {
        let mut held = 0;
        for host in &fleet.hosts {
            held += count_homes(host.addresses().operator).await;
        }
        held == LIMIT_HOME_COUNT
    })
    .await?;
    Ok(fleet)
}

/// Number of limit homes that a host holds, from its status page; 0 if the
/// page cannot be read.
async fn count_homes(operator: SocketAddr) -> u64 {
    let read = async {
        let answer = reqwest::get(format!("http://{operator}/status")).await;
        let status: serde_json::Value = answer.ok()?.json().await.ok()?;
        status["sections"]["limits"]["homes"].as_u64()
    };
    read.await.unwrap_or(0)
}

/// Returns a load of one workspace, sent to the entries without look-ups.
pub(crate) fn workspace_load(
    key: &str,
    entries: Vec<SocketAddr>,
    rate_per_s: f64,
    duration: Duration,
    seed: u64,
) -> LoadSettings {
    LoadSettings {
        entries,
        look_up: false,
        rate_per_s,
        duration,
        requests: vec![LoadRequest {
            key: key.to_owned(),
            ..Default::default()
        }],
        seed,
        ..Default::default()
    }
}

/// The key of workspace `north`.
pub(crate) const NORTH: &str = NORTH_KEY;

/// The key of workspace `south`.
pub(crate) const SOUTH: &str = SOUTH_KEY;

/// Numbers of requests that a load sent and that were not served.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateRefusals {
    pub(crate) sent: u64,
    /// Refused for the rate although a single token bucket for the whole
    /// fleet would have admitted them.
    pub(crate) within_rate: u64,
    /// Not served for a reason other than the rate.
    pub(crate) failed: u64,
}

impl RateRefusals {
    pub(crate) fn of(reports: &[LoadReport], limit: WholeLimit) -> Self {
        let mut operations: Vec<_> = reports
            .iter()
            .flat_map(|report| &report.operations)
            .collect();
        operations.sort_by_key(|operation| operation.due_us);
        let due: Vec<u64> = operations
            .iter()
            .map(|operation| operation.due_us)
            .collect();
        let admissible = limit.window().admissible(&due);
        let mut refusals = RateRefusals::default();
        for (operation, is_within) in operations.iter().zip(admissible) {
            refusals.sent += 1;
            match &operation.outcome {
                OperationOutcome::Answered { .. } => {}
                OperationOutcome::NotRun { reason, .. } if reason == "rate" => {
                    refusals.within_rate += u64::from(is_within);
                }
                _ => refusals.failed += 1,
            }
        }
        refusals
    }

    /// Share of the sent requests that were refused although within rate, in
    /// percent.
    pub(crate) fn within_rate_percent(&self) -> f64 {
        100.0 * self.within_rate as f64 / self.sent.max(1) as f64
    }
}
