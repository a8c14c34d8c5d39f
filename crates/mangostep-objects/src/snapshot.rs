use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    AvailabilityZone, CallerLimits, DisabledObjects, FollowedSet, KeyDigest, Limit, NormalPath,
    ObjectSet, Route, RouteAccess, Service, ZoneState, route_index::RouteIndex,
};

/// A valid set of objects, indexed for look-ups on every request.
///
/// A snapshot is immutable. Each publication creates a new one with a larger
/// version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    version: u64,
    routes: RouteIndex,
    keys: HashMap<[u8; 32], KeyOwner>,
    disabled_workspaces: HashSet<String>,
    workspace_priorities: HashMap<String, u32>,
    callers: CallerLimits,
    workspace_limits: HashMap<String, Limit>,
    route_limits: HashMap<String, Limit>,
    services: HashMap<String, Service>,
    zones: HashMap<String, AvailabilityZone>,
}

#[derive(Clone, Debug)]
struct KeyOwner {
    digest: KeyDigest,
    workspace: String,
}

/// The route that matches a request, and its service.
#[derive(Clone, Copy, Debug)]
pub struct RouteTarget<'s> {
    /// The matching route.
    pub route: &'s Route,
    /// The service that the route names.
    pub service: &'s Service,
}

impl Snapshot {
    /// Compiles a set that is valid by [`ObjectSet::check`]. References to
    /// missing limits are ignored.
    pub fn compile(version: u64, set: &ObjectSet) -> Self {
        Self::compile_objects(version, set, &DisabledObjects::default())
    }

    /// Compiles a set whose invalid objects are disabled.
    pub fn compile_followed(version: u64, followed: &FollowedSet) -> Self {
        Self::compile_objects(version, &followed.set, &followed.disabled)
    }

    fn compile_objects(version: u64, set: &ObjectSet, disabled: &DisabledObjects) -> Self {
        let routes = RouteIndex::build(&set.routes, &disabled.routes);
        let limits_by_name: HashMap<&str, &Limit> = set
            .limits
            .iter()
            .map(|limit| (limit.name.as_str(), limit))
            .collect();
        let workspace_limits = set
            .workspaces
            .iter()
            .filter_map(|workspace| {
                let limit = limits_by_name.get(workspace.limit.as_deref()?)?;
                Some((workspace.name.clone(), (*limit).clone()))
            })
            .collect();
        let route_limits = set
            .routes
            .iter()
            .filter(|route| route.access == RouteAccess::Open)
            .filter_map(|route| {
                let limit = limits_by_name.get(route.limit.as_deref()?)?;
                Some((route.name.clone(), (*limit).clone()))
            })
            .collect();
        // A usable key takes precedence over a disabled one with its digest.
        let all_keys = disabled.keys.iter().chain(&set.keys);
        let keys = all_keys
            .map(|key| {
                let owner = KeyOwner {
                    digest: key.sha256,
                    workspace: key.workspace.clone(),
                };
                (*key.sha256.as_bytes(), owner)
            })
            .collect();
        let services = set
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        let zones = set
            .zones
            .iter()
            .map(|zone| (zone.name.clone(), zone.clone()))
            .collect();
        let workspace_priorities = set
            .workspaces
            .iter()
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.priority?)))
            .collect();
        let disabled_workspaces = disabled.workspaces.iter();
        Snapshot {
            version,
            routes,
            keys,
            disabled_workspaces: disabled_workspaces
                .map(|workspace| workspace.name.clone())
                .collect(),
            workspace_priorities,
            callers: set.callers.clone(),
            workspace_limits,
            route_limits,
            services,
            zones,
        }
    }

    /// The version under which the set was published; 0 before the first
    /// publication.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route that matches a request.
    ///
    /// A route with a host name takes precedence over one without, then a
    /// longer path over a shorter one, and then a list of methods over all
    /// methods.
    pub fn route(&self, host: &str, path: &NormalPath, method: &str) -> Option<RouteTarget<'_>> {
        let route = self.routes.find(host, path, method)?;
        let service = self.services.get(&route.service)?;
        Some(RouteTarget { route, service })
    }

    /// Finds the literal route with the longest path that is a prefix of
    /// `path`, which is the path as sent by the caller.
    ///
    /// A route with a host name takes precedence over one without.
    pub fn literal_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find_literal(host, path)
    }

    /// Whether requests on a route of this snapshot, by a workspace if they
    /// have one, need an object that is disabled.
    pub fn is_disabled(&self, route: &Route, workspace: Option<&str>) -> bool {
        self.routes.is_disabled(route)
            || workspace.is_some_and(|name| self.disabled_workspaces.contains(name))
    }

    /// Iterates over all routes in the order of the object set.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Size limits and timeouts for callers.
    pub fn callers(&self) -> &CallerLimits {
        &self.callers
    }

    /// The priority of a request: that of its workspace if it has one,
    /// otherwise that of its route. The most urgent is 0.
    pub fn priority_of(&self, route: &Route, workspace: Option<&str>) -> u32 {
        workspace
            .and_then(|name| self.workspace_priorities.get(name).copied())
            .unwrap_or(route.priority)
    }

    /// The longest deadline of the routes whose `service` is the given one; zero
    /// if there are none. Services in `split` are not considered.
    pub fn longest_deadline(&self, service: &str) -> Duration {
        let routes = self.routes.iter();
        let deadlines = routes.filter(|route| route.service == service);
        deadlines
            .map(|route| route.deadline)
            .max()
            .unwrap_or_default()
    }

    /// Finds the workspace of a key that a caller presents.
    pub fn workspace_for_key(&self, secret: &[u8]) -> Option<&str> {
        let digest = KeyDigest::of(secret);
        let owner = self.keys.get(digest.as_bytes())?;
        owner
            .digest
            .matches(&digest)
            .then_some(owner.workspace.as_str())
    }

    /// The rate limit of a workspace; `None` if it has none.
    pub fn workspace_limit(&self, workspace: &str) -> Option<&Limit> {
        self.workspace_limits.get(workspace)
    }

    /// Iterates over the names and limits of all workspaces with a rate limit.
    pub fn workspace_limits(&self) -> impl Iterator<Item = (&str, &Limit)> {
        self.workspace_limits
            .iter()
            .map(|(name, limit)| (name.as_str(), limit))
    }

    /// The rate limit of an open route; `None` if it has none.
    pub fn route_limit(&self, route: &str) -> Option<&Limit> {
        self.route_limits.get(route)
    }

    /// Iterates over the names and limits of all open routes with a rate limit.
    pub fn route_limits(&self) -> impl Iterator<Item = (&str, &Limit)> {
        self.route_limits
            .iter()
            .map(|(name, limit)| (name.as_str(), limit))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Finds an availability zone by name.
    pub fn zone(&self, name: &str) -> Option<&AvailabilityZone> {
        self.zones.get(name)
    }

    /// Returns whether an availability zone exists and receives new requests.
    pub fn zone_is_in(&self, name: &str) -> bool {
        self.zones
            .get(name)
            .is_some_and(|zone| zone.state == ZoneState::In)
    }

    /// Returns whether a workspace may use a route.
    pub fn may_use(&self, route: &Route, workspace: &str) -> bool {
        route.access == RouteAccess::Open
            || route.workspaces.is_empty()
            || route.workspaces.iter().any(|name| name == workspace)
    }
}
