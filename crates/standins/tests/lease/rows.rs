//! Reads the fleet's rows as an operator could, past any fault.

use std::{collections::BTreeMap, time::Duration};

use {
    mangostep_platform::{
        HolderEntry, HolderGroup, HostRow, PlatformClient, PlatformSettings, TableStore,
        Transaction, keys,
    },
    mangostep_policy::MemberSet,
    standins::fleet::{HostHandle, TestFleet, wait_until},
};

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
            prefixes: vec![keys::hosts(name), keys::holders(name, "")],
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
            } else if row.key.starts_with(&keys::hosts(name)) {
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

/// How often a host has logged a change of standing.
pub(crate) fn standing_changes(fleet: &TestFleet, host: &HostHandle, standing: &str) -> usize {
    let text = host_log(fleet, host);
    let needle = format!("\"standing\":\"{standing}\"");
    text.matches(&needle).count()
}

pub(crate) fn host_log(fleet: &TestFleet, host: &HostHandle) -> String {
    let path = fleet.directory().join(format!("{}.log", host.name()));
    std::fs::read_to_string(path).unwrap_or_default()
}
