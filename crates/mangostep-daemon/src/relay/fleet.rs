use std::collections::BTreeMap;

use {
    mangostep_platform::{DirectoryEntry, HolderEntry},
    mangostep_policy::MemberSet,
    serde::{Deserialize, Serialize},
};

use crate::{
    context::{FleetView, PeerHost, ResourceHolder},
    prelude::*,
};

/// A host's view of the fleet, as sent to its peers in JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct FleetReport {
    hosts: Vec<PeerHost>,
    members: MemberSet,
    holders: BTreeMap<String, HolderEntry>,
    servers: Vec<DirectoryEntry>,
}

/// Encodes this host's view of the fleet as JSON.
pub(crate) fn fleet_json(context: &HostContext) -> String {
    let fleet = context.fleet.load();
    let holders = fleet.holders.iter().map(|(resource, holder)| {
        let entry = HolderEntry {
            host: holder.host.clone(),
            incarnation: holder.incarnation,
            epoch: holder.epoch,
        };
        (resource.clone(), entry)
    });
    let report = FleetReport {
        hosts: fleet.hosts.clone(),
        members: context.lease.members(),
        holders: holders.collect(),
        servers: context.servers.load().as_ref().clone(),
    };
    serde_json::to_string(&report).unwrap_or_default()
}

/// Adopts a peer's view of the fleet if its member set is newer.
pub(crate) fn adopt_fleet(context: &HostContext, report: FleetReport) {
    if !context.lease.update_members(&report.members) {
        return;
    }
    let holders = report.holders.into_iter().map(|(resource, entry)| {
        let holder = ResourceHolder {
            host: entry.host,
            incarnation: entry.incarnation,
            epoch: entry.epoch,
        };
        (resource, holder)
    });
    let view = FleetView {
        hosts: report.hosts,
        holders: holders.collect(),
    };
    context.fleet.store(Arc::new(view));
    if context.servers.load().is_empty() {
        context.servers.store(Arc::new(report.servers));
    }
}
