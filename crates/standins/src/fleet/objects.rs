use std::time::Duration;

use mangostep_objects::{
    AvailabilityZone, Key, KeyDigest, Limit, ObjectSet, PathMatch, RequestKind, Route, RouteAccess,
    Service, Workspace, ZoneState,
};

/// The key of workspace `north` in [`basic_objects`].
pub const NORTH_KEY: &str = "key-of-north";

/// The key of workspace `south` in [`basic_objects`].
pub const SOUTH_KEY: &str = "key-of-south";

/// A small object set: service `ledger` in the given availability zones,
/// routes `/lookup` (idempotent), `/book` (non-idempotent) and `/open` (open
/// to all), and two workspaces with a wide limit.
pub fn basic_objects(zones: &[String]) -> ObjectSet {
    let workspace = |name: &str| Workspace {
        name: name.to_owned(),
        limit: Some("wide".to_owned()),
        priority: None,
    };
    let key = |workspace: &str, secret: &str| Key {
        name: format!("{workspace}-1"),
        workspace: workspace.to_owned(),
        sha256: KeyDigest::of(secret.as_bytes()),
    };
    ObjectSet {
        zones: zones.iter().map(|name| basic_zone(name)).collect(),
        services: vec![basic_service(zones)],
        limits: vec![Limit {
            name: "wide".to_owned(),
            rate_per_s: 10_000.0,
            burst: 10_000.0,
        }],
        workspaces: vec![workspace("north"), workspace("south")],
        keys: vec![key("north", NORTH_KEY), key("south", SOUTH_KEY)],
        routes: vec![
            basic_route("lookup", RequestKind::Idempotent, RouteAccess::Keyed),
            basic_route("book", RequestKind::NonIdempotent, RouteAccess::Keyed),
            basic_route("open", RequestKind::Idempotent, RouteAccess::Open),
        ],
        ..Default::default()
    }
}

fn basic_zone(name: &str) -> AvailabilityZone {
    AvailabilityZone {
        name: name.to_owned(),
        region: "test".to_owned(),
        state: ZoneState::In,
        return_ramp: Duration::from_secs(2),
    }
}

fn basic_service(zones: &[String]) -> Service {
    Service {
        name: "ledger".to_owned(),
        zones: zones.to_vec(),
        slots: 8,
        cold_slots: 4,
        warm_up: Duration::from_secs(1),
        ..Default::default()
    }
}

fn basic_route(name: &str, kind: RequestKind, access: RouteAccess) -> Route {
    Route {
        name: name.to_owned(),
        host: None,
        path: format!("/{name}"),
        methods: Vec::new(),
        service: "ledger".to_owned(),
        kind,
        path_match: PathMatch::Segments,
        split: Vec::new(),
        attempts: None,
        priority: 0,
        target_latency: None,
        access,
        workspaces: Vec::new(),
        limit: None,
        deadline: Duration::from_secs(3),
    }
}
