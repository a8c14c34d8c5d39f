use {
    mangostep_objects::{Limit, Snapshot},
    mangostep_policy::{FleetLimit, HomeKey},
};

use crate::prelude::*;

const WORKSPACE_PREFIX: &str = "w:";
const ROUTE_PREFIX: &str = "r:";

/// Name under which hosts count a limit: a workspace or an open route.
///
/// The prefix distinguishes a workspace from a route of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LimitName(String);

impl LimitName {
    pub(crate) fn of_workspace(workspace: &str) -> Self {
        LimitName(format!("{WORKSPACE_PREFIX}{workspace}"))
    }

    pub(crate) fn of_route(route: &str) -> Self {
        LimitName(format!("{ROUTE_PREFIX}{route}"))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn into_string(self) -> String {
        self.0
    }
}

/// Returns the limit of a name in a snapshot.
pub(crate) fn fleet_limit(snapshot: &Snapshot, name: &str) -> Option<FleetLimit> {
    let limit = match name.strip_prefix(ROUTE_PREFIX) {
        Some(route) => snapshot.route_limit(route),
        None => snapshot.workspace_limit(name.strip_prefix(WORKSPACE_PREFIX)?),
    };
    limit.map(FleetLimit::from_limit)
}

/// Returns all limits of a snapshot with their names.
pub(crate) fn named_limits(snapshot: &Snapshot) -> impl Iterator<Item = (LimitName, &Limit)> {
    let workspaces = snapshot
        .workspace_limits()
        .map(|(name, limit)| (LimitName::of_workspace(name), limit));
    let routes = snapshot
        .route_limits()
        .map(|(name, limit)| (LimitName::of_route(name), limit));
    workspaces.chain(routes)
}

/// Returns the names of the hosts that hold the homes of a workspace's limit.
pub(crate) fn home_hosts(context: &HostContext, workspace: &str) -> Vec<String> {
    let name = LimitName::of_workspace(workspace);
    let Some(limit) = fleet_limit(&context.snapshot.load(), name.as_str()) else {
        return Vec::new();
    };
    let fleet = context.fleet.load();
    limit
        .homes(name.as_str())
        .filter_map(|home: HomeKey| fleet.holder(&home.resource()))
        .map(|holder| holder.host.clone())
        .collect()
}
