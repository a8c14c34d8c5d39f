//! Reads the fleet's rows as an operator could, past any fault.

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

/// Longest time for a fleet to found its member set and hold everything.
pub(crate) const FOUNDING_LIMIT: Duration = Duration::from_secs(20);

/// Longest time to take over what a lapsed host held. The lease with drift,
/// margin and three readings is 13 s; the rest is for a busy machine.
pub(crate) const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

pub(crate) type TestResult = Result<(), Box<dyn std::error::Error>>;

/// What the table says of a fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetRows {
    pub(crate) hosts: BTreeMap<String, HostRow>,
    pub(crate) members: MemberSet,
    pub(crate) holders: BTreeMap<String, HolderEntry>,
}

impl FleetRows {
    pub(crate) async fn read(fleet: &TestFleet) -> FleetRows {
        Self::try_read(fleet)
            .await
            .expect("the table answers the test")
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

    /// Whether every resource is held by a process that has a row.
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

/// Waits until a condition on the rows holds.
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

/// One event of a host's time line.
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

/// All events of a host; none when it does not answer.
pub(crate) async fn events(host: &HostHandle) -> Vec<HostEvent> {
    let operator = host.addresses().operator;
    let answer = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(2))
        .build()
        .expect("the HTTP library can be set up")
        .get(format!("http://{operator}/events?since=0&most=8000"))
        .send()
        .await;
    let Ok(answer) = answer else {
        return Vec::new();
    };
    answer.json::<EventPage>().await.unwrap_or_default().events
}

/// How many events of a name a host has recorded.
pub(crate) async fn count_events(host: &HostHandle, name: &str) -> usize {
    let events = events(host).await;
    events.iter().filter(|event| event.name == name).count()
}

/// Waits until a host has recorded so many events of a name.
pub(crate) async fn wait_events(
    host: &HostHandle,
    name: &str,
    least: usize,
    limit: Duration,
) -> TestResult {
    let what = format!("{} recorded {name} {least} times", host.name());
    wait_until(&what, limit, || async {
        count_events(host, name).await >= least
    })
    .await?;
    Ok(())
}
