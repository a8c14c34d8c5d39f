use std::collections::{HashMap, HashSet};

use crate::{
    Limit, NormalPath, ObjectFault, ObjectSet, PathMatch, Route, RouteAccess, Service,
    WeightedService, ZoneState, normalize_host, source::ObjectLocations,
};

const NAME_LENGTH_MAX: usize = 63;
const METHODS: [&str; 9] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT",
];
/// Headers that control the connection or that the entry host handles itself.
const RESERVED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "mangostep-key",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Validates the objects of a set and the references between them.
pub(crate) struct SetChecker<'s> {
    set: &'s ObjectSet,
    locations: &'s ObjectLocations,
    strictness: CheckStrictness,
    faults: Vec<LocatedFault>,
}

/// Which faults make an object unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckStrictness {
    /// Every fault, as for a set that operators are about to publish.
    Publishing,
    /// Only faults without which the object would not be served correctly, as
    /// for a set that another program published. Any name is accepted, and one
    /// existing service of a split is enough.
    Following,
}

/// A fault with the position of its object.
#[derive(Debug)]
pub(crate) struct LocatedFault {
    pub(crate) kind: &'static str,
    /// Index in the set's list of this kind.
    pub(crate) index: usize,
    /// Whether the object cannot be used.
    pub(crate) is_fatal: bool,
    pub(crate) fault: ObjectFault,
}

/// The object that is being checked, by its index in the set's list of its
/// kind.
#[derive(Clone, Copy)]
struct CheckedObject<'s> {
    kind: &'static str,
    index: usize,
    name: &'s str,
}

impl<'s> SetChecker<'s> {
    pub(crate) fn new(
        set: &'s ObjectSet,
        locations: &'s ObjectLocations,
        strictness: CheckStrictness,
    ) -> Self {
        SetChecker {
            set,
            locations,
            strictness,
            faults: Vec::new(),
        }
    }

    /// Returns all faults, sorted by file and line.
    pub(crate) fn check(self) -> Vec<ObjectFault> {
        let located = self.check_located().into_iter();
        let mut faults: Vec<ObjectFault> = located.map(|located| located.fault).collect();
        faults.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        faults
    }

    /// Returns all faults with the positions of their objects.
    pub(crate) fn check_located(mut self) -> Vec<LocatedFault> {
        self.check_names();
        self.check_limits();
        self.check_workspaces();
        self.check_keys();
        self.check_services();
        self.check_routes();
        self.check_overlaps();
        self.faults
    }

    fn add_fault(&mut self, object: CheckedObject<'_>, field: &str, message: String) {
        self.add_located_fault(object, field, message, true);
    }

    /// Adds a fault that does not make the object unusable for a host that
    /// follows the set.
    fn add_tolerable_fault(&mut self, object: CheckedObject<'_>, field: &str, message: String) {
        let is_fatal = self.strictness == CheckStrictness::Publishing;
        self.add_located_fault(object, field, message, is_fatal);
    }

    fn add_located_fault(
        &mut self,
        object: CheckedObject<'_>,
        field: &str,
        message: String,
        is_fatal: bool,
    ) {
        let location = self.locations.get(&(object.kind, object.index));
        let line = location.map_or(0, |location| {
            location.fields.get(field).copied().unwrap_or(location.line)
        });
        let fault = ObjectFault {
            file: location
                .map(|location| location.file.clone())
                .unwrap_or_default(),
            line,
            object: format!("{} {}", object.kind, object.name),
            field: field.to_owned(),
            message,
        };
        self.faults.push(LocatedFault {
            kind: object.kind,
            index: object.index,
            is_fatal,
            fault,
        });
    }

    fn check_names(&mut self) {
        let set = self.set;
        self.check_names_of_kind("zone", set.zones.iter().map(|object| &*object.name));
        self.check_names_of_kind("service", set.services.iter().map(|object| &*object.name));
        self.check_names_of_kind("limit", set.limits.iter().map(|object| &*object.name));
        self.check_names_of_kind(
            "workspace",
            set.workspaces.iter().map(|object| &*object.name),
        );
        self.check_names_of_kind("key", set.keys.iter().map(|object| &*object.name));
        self.check_names_of_kind("route", set.routes.iter().map(|object| &*object.name));
    }

    fn check_names_of_kind<'n>(
        &mut self,
        kind: &'static str,
        names: impl Iterator<Item = &'n str>,
    ) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            let object = CheckedObject { kind, index, name };
            if !is_valid_name(name) && self.strictness == CheckStrictness::Publishing {
                let message = format!(
                    "must have 1 to {NAME_LENGTH_MAX} characters of a-z, 0-9, `-`, `_`, `.`"
                );
                self.add_fault(object, "name", message);
            }
            if !seen.insert(name) {
                self.add_fault(object, "name", format!("there is another {kind} `{name}`"));
            }
        }
    }

    fn check_reference(
        &mut self,
        object: CheckedObject<'_>,
        field: &str,
        kind: &str,
        name: &str,
        exists: bool,
    ) {
        if !exists {
            self.add_fault(object, field, format!("there is no {kind} `{name}`"));
        }
    }

    fn check_limits(&mut self) {
        for (index, limit) in self.set.limits.iter().enumerate() {
            let Limit {
                name,
                rate_per_s,
                burst,
            } = limit;
            let object = CheckedObject {
                kind: "limit",
                index,
                name,
            };
            if !rate_per_s.is_finite() || *rate_per_s <= 0.0 {
                let message = "must be more than 0 requests a second".to_owned();
                self.add_fault(object, "rate_per_s", message);
            }
            if !burst.is_finite() || *burst < 1.0 {
                self.add_fault(object, "burst", "must be at least 1 request".to_owned());
            }
        }
    }

    fn check_workspaces(&mut self) {
        let limits: HashSet<&str> = self.set.limits.iter().map(|limit| &*limit.name).collect();
        for (index, workspace) in self.set.workspaces.iter().enumerate() {
            let object = CheckedObject {
                kind: "workspace",
                index,
                name: &workspace.name,
            };
            if let Some(limit) = workspace.limit.as_deref() {
                self.check_reference(object, "limit", "limit", limit, limits.contains(limit));
            }
        }
    }

    fn check_keys(&mut self) {
        let workspaces = self.workspace_names();
        let mut name_by_digest = HashMap::new();
        for (index, key) in self.set.keys.iter().enumerate() {
            let object = CheckedObject {
                kind: "key",
                index,
                name: &key.name,
            };
            let workspace = &*key.workspace;
            let exists = workspaces.contains(workspace);
            self.check_reference(object, "workspace", "workspace", workspace, exists);
            if let Some(other) = name_by_digest.insert(key.sha256, &key.name) {
                self.add_fault(
                    object,
                    "sha256",
                    format!("key `{other}` has the same digest"),
                );
            }
        }
    }

    fn workspace_names(&self) -> HashSet<&'s str> {
        self.set
            .workspaces
            .iter()
            .map(|workspace| &*workspace.name)
            .collect()
    }

    fn check_services(&mut self) {
        let zones: HashSet<&str> = self.set.zones.iter().map(|zone| &*zone.name).collect();
        for (index, service) in self.set.services.iter().enumerate() {
            let object = CheckedObject {
                kind: "service",
                index,
                name: &service.name,
            };
            self.check_service_zones(object, service, &zones);
            self.check_service_bounds(object, service);
            self.check_dialect(object, service);
        }
    }

    fn check_service_zones(
        &mut self,
        object: CheckedObject<'_>,
        service: &Service,
        zones: &HashSet<&str>,
    ) {
        if service.zones.is_empty() {
            self.add_fault(object, "zones", "must name at least one zone".to_owned());
        }
        let mut seen = HashSet::new();
        for zone in &service.zones {
            self.check_reference(object, "zones", "zone", zone, zones.contains(zone.as_str()));
            if !seen.insert(zone) {
                self.add_fault(
                    object,
                    "zones",
                    format!("must name zone `{zone}` only once"),
                );
            }
        }
        let is_out = |name: &String| {
            let zone = self.set.zones.iter().find(|zone| zone.name == *name);
            zone.is_some_and(|zone| zone.state == ZoneState::Out)
        };
        if !service.zones.is_empty() && service.zones.iter().all(is_out) {
            self.add_fault(
                object,
                "zones",
                "must name at least one zone whose state is not `out`".to_owned(),
            );
        }
    }

    fn check_service_bounds(&mut self, object: CheckedObject<'_>, service: &Service) {
        if service.slots == 0 {
            self.add_fault(object, "slots", "must be at least 1".to_owned());
        }
        if service.cold_slots == 0 || service.cold_slots > service.slots {
            let message = format!("must be 1 to `slots`, which is {}", service.slots);
            self.add_fault(object, "cold_slots", message);
        }
        if service.connections < service.slots {
            let message = format!("must be at least `slots`, which is {}", service.slots);
            self.add_fault(object, "connections", message);
        }
        let durations = [
            ("probe_every_ms", service.probe_interval),
            ("connect_timeout_ms", service.connect_timeout),
            ("try_timeout_ms", service.attempt_timeout),
        ];
        for (field, duration) in durations {
            if duration.is_zero() {
                self.add_fault(object, field, "must be at least 1 millisecond".to_owned());
            }
        }
    }

    fn check_dialect(&mut self, object: CheckedObject<'_>, service: &Service) {
        let dialect = &service.dialect;
        let headers = [
            ("id_header", &dialect.id_header),
            ("deadline_header", &dialect.deadline_header),
            ("workspace_header", &dialect.workspace_header),
            ("not_run_header", &dialect.not_run_header),
            ("draining_header", &dialect.draining_header),
            ("cold_header", &dialect.cold_header),
        ];
        for (field, name) in headers {
            if !is_header_name(name) || RESERVED_HEADERS.contains(&name.as_str()) {
                let message = format!(
                    "{field}: `{name}` must be a header name of the characters a-z, 0-9, `-` \
                     that is not reserved"
                );
                self.add_fault(object, "dialect", message);
            }
        }
        let paths = [
            ("health_path", &dialect.health_path),
            ("load_path", &dialect.load_path),
        ];
        for (field, path) in paths {
            if NormalPath::parse(path).is_none_or(|normalized| normalized.as_str() != path.as_str())
            {
                let message =
                    format!("{field}: `{path}` must be a normalized path that starts with `/`");
                self.add_fault(object, "dialect", message);
            }
        }
    }

    fn check_routes(&mut self) {
        let services: HashSet<&str> = self
            .set
            .services
            .iter()
            .map(|service| &*service.name)
            .collect();
        let limits: HashSet<&str> = self.set.limits.iter().map(|limit| &*limit.name).collect();
        let workspaces = self.workspace_names();
        for (index, route) in self.set.routes.iter().enumerate() {
            let object = CheckedObject {
                kind: "route",
                index,
                name: &route.name,
            };
            let service = &*route.service;
            let exists = services.contains(service);
            if route.split.is_empty() || self.strictness == CheckStrictness::Publishing {
                self.check_reference(object, "service", "service", service, exists);
            }
            if let Some(limit) = route.limit.as_deref() {
                self.check_reference(object, "limit", "limit", limit, limits.contains(limit));
            }
            for name in &route.workspaces {
                let exists = workspaces.contains(name.as_str());
                self.check_reference(object, "workspaces", "workspace", name, exists);
            }
            self.check_split(object, route, &services);
            self.check_route(object, route);
        }
    }

    fn check_split(&mut self, object: CheckedObject<'_>, route: &Route, services: &HashSet<&str>) {
        for share in &route.split {
            let service = &*share.service;
            if !services.contains(service) {
                let message = format!("there is no service `{service}`");
                self.add_tolerable_fault(object, "split", message);
            }
            if !share.weight.is_finite() || share.weight < 0.0 {
                let message = format!("the weight of service `{service}` must be 0 or more");
                self.add_fault(object, "split", message);
            }
        }
        if !route.split.is_empty() && route.split.iter().all(|share| share.weight <= 0.0) {
            let message = "at least one weight must be more than 0".to_owned();
            self.add_fault(object, "split", message);
        }
        let is_unknown = |share: &WeightedService| !services.contains(&*share.service);
        let is_following = self.strictness == CheckStrictness::Following;
        if is_following && !route.split.is_empty() && route.split.iter().all(is_unknown) {
            let message = "none of its services exists".to_owned();
            self.add_fault(object, "split", message);
        }
        if route.attempts == Some(0) {
            self.add_fault(object, "attempts", "must be at least 1".to_owned());
        }
    }

    fn check_route(&mut self, object: CheckedObject<'_>, route: &Route) {
        let path = &*route.path;
        match NormalPath::parse(path) {
            _ if route.path_match == PathMatch::Literal => {
                if !path.starts_with('/') || !path.ends_with('/') {
                    let message =
                        "must start and end with `/` because the path is literal".to_owned();
                    self.add_fault(object, "path", message);
                }
            }
            Some(normalized) if normalized.as_str() == path => {}
            Some(normalized) => {
                let message = format!("must be normalized, as `{}`", normalized.as_str());
                self.add_fault(object, "path", message);
            }
            None => self.add_fault(
                object,
                "path",
                "must be an unambiguous path that starts with `/`".to_owned(),
            ),
        }
        if path == "/_mangostep" || path.starts_with("/_mangostep/") {
            let message =
                "must not be `/_mangostep` or below it, which is reserved for entry hosts"
                    .to_owned();
            self.add_fault(object, "path", message);
        }
        for method in &route.methods {
            if !METHODS.contains(&method.as_str()) {
                let message = format!("`{method}` must be one of {}", METHODS.join(", "));
                self.add_fault(object, "methods", message);
            }
        }
        if route.deadline.is_zero() {
            self.add_fault(
                object,
                "deadline_ms",
                "must be at least 1 millisecond".to_owned(),
            );
        }
        if route.access == RouteAccess::Open && !route.workspaces.is_empty() {
            let message = "must be empty because an open route admits all callers; remove the \
                           list or `access`"
                .to_owned();
            self.add_fault(object, "workspaces", message);
        }
        if route.access == RouteAccess::Keyed && route.limit.is_some() {
            let message =
                "must be absent because a keyed route uses the limits of its workspaces".to_owned();
            self.add_fault(object, "limit", message);
        }
    }

    /// Reports pairs of routes that match the same requests.
    fn check_overlaps(&mut self) {
        let mut seen: HashMap<(Option<String>, PathMatch, &str), Vec<&Route>> = HashMap::new();
        for (index, route) in self.set.routes.iter().enumerate() {
            let host = route.host.as_deref().map(normalize_host);
            let path = route.path.trim_end_matches('/');
            let earlier = seen.entry((host, route.path_match, path)).or_default();
            let overlap = earlier
                .iter()
                .find(|other| methods_overlap(&other.methods, &route.methods));
            if let Some(other) = overlap {
                let message = format!("route `{}` matches the same requests", other.name);
                self.add_fault(
                    CheckedObject {
                        kind: "route",
                        index,
                        name: &route.name,
                    },
                    "path",
                    message,
                );
            }
            earlier.push(route);
        }
    }
}

fn methods_overlap(left: &[String], right: &[String]) -> bool {
    match (left.is_empty(), right.is_empty()) {
        (true, true) => true,
        // A route with a list of methods takes precedence over one for all
        // methods.
        (true, false) | (false, true) => false,
        (false, false) => left.iter().any(|method| right.contains(method)),
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !name.is_empty() && name.len() <= NAME_LENGTH_MAX && name.chars().all(allowed)
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
