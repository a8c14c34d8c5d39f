use std::collections::{HashMap, HashSet};

use crate::{
    Limit, NormalPath, ObjectFault, ObjectSet, PathMatch, Route, RouteAccess, Service, ZoneState,
    normalize_host, source::ObjectPlaces,
};

const NAME_LENGTH_MAX: usize = 63;
const METHODS: [&str; 9] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT",
];
/// Headers that belong to a connection or to the entry host.
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

/// Checks that objects fit together.
pub(crate) struct SetChecker<'s> {
    set: &'s ObjectSet,
    places: &'s ObjectPlaces,
    faults: Vec<ObjectFault>,
}

/// The object that a check looks at.
#[derive(Clone, Copy)]
struct Subject<'s> {
    kind: &'static str,
    index: usize,
    name: &'s str,
}

impl<'s> SetChecker<'s> {
    pub(crate) fn new(set: &'s ObjectSet, places: &'s ObjectPlaces) -> Self {
        SetChecker {
            set,
            places,
            faults: Vec::new(),
        }
    }

    /// Everything that is wrong, in the order of files and lines.
    pub(crate) fn check(mut self) -> Vec<ObjectFault> {
        self.check_names();
        self.check_limits();
        self.check_workspaces();
        self.check_keys();
        self.check_services();
        self.check_routes();
        self.check_overlaps();
        self.faults
            .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        self.faults
    }

    fn fault(&mut self, subject: Subject<'_>, field: &str, message: String) {
        let place = self.places.get(&(subject.kind, subject.index));
        let line = place.map_or(0, |place| {
            place.fields.get(field).copied().unwrap_or(place.line)
        });
        self.faults.push(ObjectFault {
            file: place.map(|place| place.file.clone()).unwrap_or_default(),
            line,
            object: format!("{} {}", subject.kind, subject.name),
            field: field.to_owned(),
            message,
        });
    }

    fn check_names(&mut self) {
        let set = self.set;
        self.check_kind("zone", set.zones.iter().map(|object| &*object.name));
        self.check_kind("service", set.services.iter().map(|object| &*object.name));
        self.check_kind("limit", set.limits.iter().map(|object| &*object.name));
        self.check_kind(
            "workspace",
            set.workspaces.iter().map(|object| &*object.name),
        );
        self.check_kind("key", set.keys.iter().map(|object| &*object.name));
        self.check_kind("route", set.routes.iter().map(|object| &*object.name));
    }

    fn check_kind<'n>(&mut self, kind: &'static str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            let subject = Subject { kind, index, name };
            if !is_name(name) {
                let message = format!(
                    "must be 1 to {NAME_LENGTH_MAX} of the characters a-z, 0-9, `-`, `_`, `.`"
                );
                self.fault(subject, "name", message);
            }
            if !seen.insert(name) {
                self.fault(subject, "name", format!("there is another {kind} `{name}`"));
            }
        }
    }

    fn check_reference(
        &mut self,
        subject: Subject<'_>,
        field: &str,
        kind: &str,
        name: &str,
        exists: bool,
    ) {
        if !exists {
            self.fault(subject, field, format!("there is no {kind} `{name}`"));
        }
    }

    fn check_limits(&mut self) {
        for (index, limit) in self.set.limits.iter().enumerate() {
            let Limit {
                name,
                rate_per_s,
                burst,
            } = limit;
            let subject = Subject {
                kind: "limit",
                index,
                name,
            };
            if !rate_per_s.is_finite() || *rate_per_s <= 0.0 {
                let message = "must be more than 0 requests a second".to_owned();
                self.fault(subject, "rate_per_s", message);
            }
            if !burst.is_finite() || *burst < 1.0 {
                self.fault(subject, "burst", "must be at least 1 request".to_owned());
            }
        }
    }

    fn check_workspaces(&mut self) {
        let limits: HashSet<&str> = self.set.limits.iter().map(|limit| &*limit.name).collect();
        for (index, workspace) in self.set.workspaces.iter().enumerate() {
            let subject = Subject {
                kind: "workspace",
                index,
                name: &workspace.name,
            };
            if let Some(limit) = workspace.limit.as_deref() {
                self.check_reference(subject, "limit", "limit", limit, limits.contains(limit));
            }
        }
    }

    fn check_keys(&mut self) {
        let workspaces = self.workspace_names();
        let mut owners = HashMap::new();
        for (index, key) in self.set.keys.iter().enumerate() {
            let subject = Subject {
                kind: "key",
                index,
                name: &key.name,
            };
            let workspace = &*key.workspace;
            let exists = workspaces.contains(workspace);
            self.check_reference(subject, "workspace", "workspace", workspace, exists);
            if let Some(other) = owners.insert(key.sha256, &key.name) {
                self.fault(
                    subject,
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
            let subject = Subject {
                kind: "service",
                index,
                name: &service.name,
            };
            self.check_service_zones(subject, service, &zones);
            self.check_service_sizes(subject, service);
            self.check_dialect(subject, service);
        }
    }

    fn check_service_zones(
        &mut self,
        subject: Subject<'_>,
        service: &Service,
        zones: &HashSet<&str>,
    ) {
        if service.zones.is_empty() {
            self.fault(subject, "zones", "must name at least one zone".to_owned());
        }
        let mut seen = HashSet::new();
        for zone in &service.zones {
            self.check_reference(
                subject,
                "zones",
                "zone",
                zone,
                zones.contains(zone.as_str()),
            );
            if !seen.insert(zone) {
                self.fault(subject, "zones", format!("names `{zone}` twice"));
            }
        }
        let is_out = |name: &String| {
            let zone = self.set.zones.iter().find(|zone| zone.name == *name);
            zone.is_some_and(|zone| zone.state == ZoneState::Out)
        };
        if !service.zones.is_empty() && service.zones.iter().all(is_out) {
            self.fault(subject, "zones", "every zone of it is out".to_owned());
        }
    }

    fn check_service_sizes(&mut self, subject: Subject<'_>, service: &Service) {
        if service.slots == 0 {
            self.fault(subject, "slots", "must be at least 1".to_owned());
        }
        if service.cold_slots == 0 || service.cold_slots > service.slots {
            let message = format!("must be 1 to `slots`, which is {}", service.slots);
            self.fault(subject, "cold_slots", message);
        }
        if service.connections < service.slots {
            let message = format!("must be at least `slots`, which is {}", service.slots);
            self.fault(subject, "connections", message);
        }
        let spans = [
            ("probe_every_ms", service.probe_interval),
            ("connect_timeout_ms", service.connect_timeout),
            ("try_timeout_ms", service.attempt_timeout),
        ];
        for (field, span) in spans {
            if span.is_zero() {
                self.fault(subject, field, "must be at least 1 millisecond".to_owned());
            }
        }
    }

    fn check_dialect(&mut self, subject: Subject<'_>, service: &Service) {
        let dialect = &service.dialect;
        let names = [
            ("id_header", &dialect.id_header),
            ("deadline_header", &dialect.deadline_header),
            ("workspace_header", &dialect.workspace_header),
            ("not_run_header", &dialect.not_run_header),
            ("draining_header", &dialect.draining_header),
            ("cold_header", &dialect.cold_header),
        ];
        for (field, name) in names {
            if !is_header_name(name) || RESERVED_HEADERS.contains(&name.as_str()) {
                let message = format!("{field}: `{name}` cannot be used as a header name here");
                self.fault(subject, "dialect", message);
            }
        }
        let paths = [
            ("health_path", &dialect.health_path),
            ("load_path", &dialect.load_path),
        ];
        for (field, path) in paths {
            if NormalPath::parse(path).is_none_or(|normal| normal.as_str() != path.as_str()) {
                let message = format!("{field}: `{path}` is not a normalised path");
                self.fault(subject, "dialect", message);
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
            let subject = Subject {
                kind: "route",
                index,
                name: &route.name,
            };
            let service = &*route.service;
            let exists = services.contains(service);
            self.check_reference(subject, "service", "service", service, exists);
            if let Some(limit) = route.limit.as_deref() {
                self.check_reference(subject, "limit", "limit", limit, limits.contains(limit));
            }
            for name in &route.workspaces {
                let exists = workspaces.contains(name.as_str());
                self.check_reference(subject, "workspaces", "workspace", name, exists);
            }
            self.check_split(subject, route, &services);
            self.check_route(subject, route);
        }
    }

    fn check_split(&mut self, subject: Subject<'_>, route: &Route, services: &HashSet<&str>) {
        for part in &route.split {
            let service = &*part.service;
            let exists = services.contains(service);
            self.check_reference(subject, "split", "service", service, exists);
            if !part.weight.is_finite() || part.weight < 0.0 {
                let message = format!("weight of `{service}` must be 0 or more");
                self.fault(subject, "split", message);
            }
        }
        if !route.split.is_empty() && route.split.iter().all(|part| part.weight <= 0.0) {
            let message = "one weight at least must be more than 0".to_owned();
            self.fault(subject, "split", message);
        }
        if route.attempts == Some(0) {
            self.fault(subject, "attempts", "must be at least 1".to_owned());
        }
    }

    fn check_route(&mut self, subject: Subject<'_>, route: &Route) {
        let path = &*route.path;
        match NormalPath::parse(path) {
            _ if route.path_match == PathMatch::Literal => {
                if !path.starts_with('/') || !path.ends_with('/') {
                    let message = "a literal path must start and end with `/`".to_owned();
                    self.fault(subject, "path", message);
                }
            }
            Some(normal) if normal.as_str() == path => {}
            Some(normal) => {
                let message = format!("must be normalised: `{}`", normal.as_str());
                self.fault(subject, "path", message);
            }
            None => self.fault(
                subject,
                "path",
                "must be a path that starts with `/`".to_owned(),
            ),
        }
        if path == "/_mangostep" || path.starts_with("/_mangostep/") {
            let message = "`/_mangostep` belongs to the fleet itself".to_owned();
            self.fault(subject, "path", message);
        }
        for method in &route.methods {
            if !METHODS.contains(&method.as_str()) {
                let message = format!("`{method}` is not one of {}", METHODS.join(", "));
                self.fault(subject, "methods", message);
            }
        }
        if route.deadline.is_zero() {
            self.fault(
                subject,
                "deadline_ms",
                "must be at least 1 millisecond".to_owned(),
            );
        }
        if route.access == RouteAccess::Open && !route.workspaces.is_empty() {
            let message = "an open route takes everyone; remove it or `access`".to_owned();
            self.fault(subject, "workspaces", message);
        }
        if route.access == RouteAccess::Keyed && route.limit.is_some() {
            let message = "a keyed route is limited by its workspaces".to_owned();
            self.fault(subject, "limit", message);
        }
    }

    /// Two routes that would take the same request are a mistake.
    fn check_overlaps(&mut self) {
        let mut seen: HashMap<(Option<String>, PathMatch, &str), Vec<&Route>> = HashMap::new();
        for (index, route) in self.set.routes.iter().enumerate() {
            let host = route.host.as_deref().map(normalize_host);
            let path = route.path.trim_end_matches('/');
            let others = seen.entry((host, route.path_match, path)).or_default();
            let clash = others
                .iter()
                .find(|other| methods_overlap(&other.methods, &route.methods));
            if let Some(other) = clash {
                let message = format!("route `{}` takes the same requests", other.name);
                self.fault(
                    Subject {
                        kind: "route",
                        index,
                        name: &route.name,
                    },
                    "path",
                    message,
                );
            }
            others.push(route);
        }
    }
}

fn methods_overlap(one: &[String], other: &[String]) -> bool {
    match (one.is_empty(), other.is_empty()) {
        (true, true) => true,
        // A list of methods goes before all methods.
        (true, false) | (false, true) => false,
        (false, false) => one.iter().any(|method| other.contains(method)),
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !name.is_empty() && name.len() <= NAME_LENGTH_MAX && name.chars().all(allowed)
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
