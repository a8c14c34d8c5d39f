use std::{collections::HashMap, time::Duration};

use crate::{
    AvailabilityZone, CallerLimits, KeyDigest, Limit, NormalPath, ObjectSet, Route, RouteAccess,
    Service, ZoneState, route_index::RouteIndex,
};

/// A checked set of objects, indexed for the request path.
///
/// A snapshot never changes; a publication makes a new one with a larger
/// version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    version: u64,
    routes: RouteIndex,
    keys: HashMap<[u8; 32], KeyOwner>,
    priorities: HashMap<String, u32>,
    callers: CallerLimits,
    limits: HashMap<String, Limit>,
    route_limits: HashMap<String, Limit>,
    services: HashMap<String, Service>,
    zones: HashMap<String, AvailabilityZone>,
}

#[derive(Clone, Debug)]
struct KeyOwner {
    digest: KeyDigest,
    workspace: String,
}

/// The route that a request takes and the service behind it.
#[derive(Clone, Copy, Debug)]
pub struct RouteTarget<'s> {
    /// The route.
    pub route: &'s Route,
    /// The service.
    pub service: &'s Service,
}

impl Snapshot {
    /// Compiles a set that has been checked.
    pub fn compile(version: u64, set: &ObjectSet) -> Self {
        let routes = RouteIndex::build(&set.routes);
        let limit_of: HashMap<&str, &Limit> = set
            .limits
            .iter()
            .map(|limit| (limit.name.as_str(), limit))
            .collect();
        let limits = set
            .workspaces
            .iter()
            .filter_map(|workspace| {
                let limit = limit_of.get(workspace.limit.as_deref()?)?;
                Some((workspace.name.clone(), (*limit).clone()))
            })
            .collect();
        let route_limits = set
            .routes
            .iter()
            .filter(|route| route.access == RouteAccess::Open)
            .filter_map(|route| {
                let limit = limit_of.get(route.limit.as_deref()?)?;
                Some((route.name.clone(), (*limit).clone()))
            })
            .collect();
        let keys = set
            .keys
            .iter()
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
        let priorities = set
            .workspaces
            .iter()
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.priority?)))
            .collect();
        Snapshot {
            version,
            routes,
            keys,
            priorities,
            callers: set.callers.clone(),
            limits,
            route_limits,
            services,
            zones,
        }
    }

    /// The version under which the set was published; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request.
    ///
    /// A route with a host name goes before one without, a longer path before
    /// a shorter one, and a list of methods before all methods.
    pub fn route(&self, host: &str, path: &NormalPath, method: &str) -> Option<RouteTarget<'_>> {
        let route = self.routes.find(host, path, method)?;
        let service = self.services.get(&route.service)?;
        Some(RouteTarget { route, service })
    }

    /// Finds the route whose literal path is the longest that begins the path
    /// as it was sent.
    pub fn literal_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find_literal(host, path)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// What callers may send.
    pub fn callers(&self) -> &CallerLimits {
        &self.callers
    }

    /// The rank of a request: that of its workspace, else that of its route.
    pub fn priority_of(&self, route: &Route, workspace: Option<&str>) -> u32 {
        workspace
            .and_then(|name| self.priorities.get(name).copied())
            .unwrap_or(route.priority)
    }

    /// The longest deadline of the routes to a service; zero without routes.
    pub fn longest_deadline(&self, service: &str) -> Duration {
        let routes = self.routes.iter();
        let deadlines = routes.filter(|route| route.service == service);
        deadlines
            .map(|route| route.deadline)
            .max()
            .unwrap_or_default()
    }

    /// Finds the workspace that a presented key acts for.
    pub fn workspace_for_key(&self, secret: &[u8]) -> Option<&str> {
        let digest = KeyDigest::of(secret);
        let owner = self.keys.get(digest.as_bytes())?;
        owner
            .digest
            .matches(&digest)
            .then_some(owner.workspace.as_str())
    }

    /// The limit of a workspace.
    pub fn workspace_limit(&self, workspace: &str) -> Option<&Limit> {
        self.limits.get(workspace)
    }

    /// The names of all workspaces with their limits.
    pub fn workspace_limits(&self) -> impl Iterator<Item = (&str, &Limit)> {
        self.limits
            .iter()
            .map(|(name, limit)| (name.as_str(), limit))
    }

    /// The limit that an open route names.
    pub fn route_limit(&self, route: &str) -> Option<&Limit> {
        self.route_limits.get(route)
    }

    /// The names of all open routes that name a limit, with their limits.
    pub fn route_limits(&self) -> impl Iterator<Item = (&str, &Limit)> {
        self.route_limits
            .iter()
            .map(|(name, limit)| (name.as_str(), limit))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// An availability zone by name.
    pub fn zone(&self, name: &str) -> Option<&AvailabilityZone> {
        self.zones.get(name)
    }

    /// Tells whether an availability zone takes new work.
    pub fn zone_is_in(&self, name: &str) -> bool {
        self.zones
            .get(name)
            .is_some_and(|zone| zone.state == ZoneState::In)
    }

    /// Tells whether a workspace may use a route.
    pub fn may_use(&self, route: &Route, workspace: &str) -> bool {
        route.access == RouteAccess::Open
            || route.workspaces.is_empty()
            || route.workspaces.iter().any(|name| name == workspace)
    }
}
