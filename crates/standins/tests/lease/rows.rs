//! Reads of the fleet's rows in the table, as an operator could make them;
//! injected faults do not affect them.

use std::{collections::BTreeMap, time::Duration};

use {
    mangostep_platform::{
        HolderEntry, HolderGroup, HostRow, PlatformClient, PlatformSettings, TableStore,
        Transaction, keys,
    },
    mangostep_policy::MemberSet,
    serde::Deserialize,
    standins::fleet::{HostHandle, TestFleet, wait_until},
};

/// Longest time until the member set exists and all resources are held.
pub(crate) const FOUNDING_LIMIT: Duration = Duration::from_secs(20);

/// Longest time to take over the resources of a host whose lease has lapsed.
/// The lease with drift, margin and three readings is 13 s; the rest allows for
/// a busy machine.
pub(crate) const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

pub(crate) type TestResult = Result<(), Box<dyn std::error::Error>>;

/// The rows of a fleet in the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetRows {
    pub(crate) hosts: BTreeMap<String, HostRow>,
    pub(crate) members: MemberSet,
    pub(crate) holders: BTreeMap<String, HolderEntry>,
}

impl FleetRows {
    pub(crate) async fn read(fleet: &TestFleet) -> FleetRows {
        Self::try_read(fleet).await.expect("the table answers")
    }

    async fn try_read(fleet: &TestFleet) -> Result<FleetRows, Box<dyn std::error::Error>> {
        let base = format!("http://{}", fleet.platform.address());
        let client = PlatformClient::open(PlatformSettings {
            table: base,
            client: "test".to_owned(),
            call_timeout: Duration::from_secs(5),
            ..Default::default()
        })?;
        let name = fleet.name();
        let read = Transaction {
            reads: vec![keys::members(name)],
            prefixes: vec![keys::host_prefix(name), keys::holders(name, "")],
            ..Default::default()
        };
        let answer = client.transact(&read).await?;
        let mut rows = FleetRows::default();
        for row in &answer.rows {
            let Some(text) = row.value.as_deref() else {
                continue;
            };
            if row.key == keys::members(name) {
                rows.members = serde_json::from_str(text)?;
            } else if row.key.starts_with(&keys::host_prefix(name)) {
                let host = HostRow::parse(text)?;
                rows.hosts.insert(host.host.clone(), host);
            } else {
                rows.holders.extend(HolderGroup::parse(text)?.holders);
            }
        }
        Ok(rows)
    }

    pub(crate) fn held_by(&self, host: &str) -> usize {
        let held = self.holders.values().filter(|entry| entry.host == host);
        held.count()
    }

    /// Whether the member set has `hosts` members and is settled, and every resource
    /// is held by a process that has a row.
    pub(crate) fn is_whole(&self, hosts: usize) -> bool {
        let has_holder = |entry: &HolderEntry| {
            let row = self.hosts.get(&entry.host);
            row.is_some_and(|row| row.incarnation == entry.incarnation)
        };
        self.members.members().len() == hosts
            && self.members.is_settled()
            && self.holders.len() >= 192
            && self.holders.values().all(has_holder)
    }
}

/// Waits until the rows meet a condition.
pub(crate) async fn wait_rows(
    fleet: &TestFleet,
    what: &str,
    limit: Duration,
    condition: impl Fn(&FleetRows) -> bool,
) -> TestResult {
    wait_until(what, limit, || async {
        condition(&FleetRows::read(fleet).await)
    })
    .await?;
    Ok(())
}

/// One event of a host's timeline.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct HostEvent {
    pub(crate) name: String,
    pub(crate) wall_us: i64,
    pub(crate) fields: BTreeMap<String, String>,
}

#[derive(Debug, Default, Deserialize)]
struct EventPage {
    events: Vec<HostEvent>,
}

/// Returns all events of a host, or none without an answer.
pub(crate) async fn events(host: &HostHandle) -> Vec<HostEvent> {
    let operator = host.addresses().operator;
    let answer = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(2))
        .build()
        .expect("the HTTP client can be built")
        .get(format!("http://{operator}/events?since=0&most=8000"))
        .send()
        .await;
    let Ok(answer) = answer else {
        return Vec::new();
    };
    answer.json::<EventPage>().await.unwrap_or_default().events
}

/// Counts the events of a name that a host has recorded.
pub(crate) async fn count_events(host: &HostHandle, name: &str) -> usize {
    let events = events(host).await;
    events.iter().filter(|event| event.name == name).count()
}

/// Waits until a host has recorded at least `min_count` events of a name.
pub(crate) async fn wait_events(
    host: &HostHandle,
    name: &str,
    min_count: usize,
    limit: Duration,
) -> TestResult {
    let what = format!("{} recorded {name} {min_count} times", host.name());
    wait_until(&what, limit, || async {
        count_events(host, name).await >= min_count
    })
    .await?;
    Ok(())
}
