//! Generates random object sets of any size. The same seed gives the same set.

use std::time::Duration;

use {
    mangostep_objects::{
        AvailabilityZone, Key, KeyDigest, Limit, ObjectSet, PathMatch, RequestKind, Route,
        RouteAccess, Service, Workspace, ZoneState,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

/// Number of rate limits over which the workspaces are distributed.
const LIMIT_COUNT: usize = 24;

/// Share of the routes with non-idempotent requests.
const NON_IDEMPOTENT_SHARE: f64 = 0.3;

/// Share of the routes that are restricted to one workspace.
const RESTRICTED_SHARE: f64 = 0.2;

/// Number of objects of each kind in a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectCounts {
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of keys of each workspace.
    pub keys_per_workspace: usize,
    /// Number of routes, spread evenly over the services.
    pub routes: usize,
    /// Number of services, each in all zones.
    pub services: usize,
    /// Number of availability zones, spread over two regions.
    pub zones: usize,
}

impl Default for ObjectCounts {
    /// The object counts that the system is designed for.
    fn default() -> Self {
        ObjectCounts {
            workspaces: 72_000,
            keys_per_workspace: 1,
            routes: 5_600,
            services: 430,
            zones: 6,
        }
    }
}

/// Generates an object set that passes validation.
pub fn generate_objects(counts: ObjectCounts, seed: u64) -> ObjectSet {
    let mut random = SmallRng::seed_from_u64(seed);
    let zones: Vec<AvailabilityZone> = (0..counts.zones).map(draw_zone).collect();
    let names: Vec<String> = zones.iter().map(|zone| zone.name.clone()).collect();
    let mut set = ObjectSet {
        services: (0..counts.services)
            .map(|index| draw_service(index, &names, &mut random))
            .collect(),
        limits: (0..LIMIT_COUNT).map(draw_limit).collect(),
        zones,
        ..Default::default()
    };
    for index in 0..counts.workspaces {
        let workspace = draw_workspace(index, &mut random);
        for number in 0..counts.keys_per_workspace {
            set.keys.push(draw_key(&workspace.name, number, seed));
        }
        set.workspaces.push(workspace);
    }
    set.routes = (0..counts.routes)
        .map(|index| draw_route(index, counts, &mut random))
        .collect();
    set
}

/// The secret of a generated key, as callers send it. `number` counts the keys
/// of a workspace from 0.
pub fn generated_secret(workspace: &str, number: usize, seed: u64) -> String {
    format!("secret-{seed}-{workspace}-{number}")
}

/// The name of the generated workspace with an index from 0.
pub fn generated_workspace(index: usize) -> String {
    format!("workspace-{index:05}")
}

/// The name of the generated service with an index from 0.
pub fn generated_service(index: usize) -> String {
    format!("service-{index:03}")
}

fn draw_zone(index: usize) -> AvailabilityZone {
    AvailabilityZone {
        name: format!("zone-{index}"),
        region: format!("region-{}", index % 2),
        state: ZoneState::In,
        return_ramp: Duration::from_secs(10),
    }
}

fn draw_service(index: usize, zones: &[String], random: &mut SmallRng) -> Service {
    let slots = random.random_range(2..=8);
    Service {
        name: generated_service(index),
        zones: zones.to_vec(),
        slots,
        cold_slots: slots.div_ceil(2),
        floor: 6,
        ..Default::default()
    }
}

fn draw_limit(index: usize) -> Limit {
    let rate_per_s = 5.0 * (1.0 + index as f64).powi(2);
    Limit {
        name: format!("limit-{index:02}"),
        rate_per_s,
        burst: rate_per_s.max(4.0),
    }
}

fn draw_workspace(index: usize, random: &mut SmallRng) -> Workspace {
    // The fourth power makes large limits rare.
    let draw: f64 = random.random();
    let limit = (draw.powi(4) * LIMIT_COUNT as f64) as usize;
    Workspace {
        name: generated_workspace(index),
        limit: Some(format!("limit-{:02}", limit.min(LIMIT_COUNT - 1))),
        priority: None,
    }
}

fn draw_key(workspace: &str, number: usize, seed: u64) -> Key {
    let secret = generated_secret(workspace, number, seed);
    Key {
        name: format!("{workspace}-key-{number}"),
        workspace: workspace.to_owned(),
        sha256: KeyDigest::of(secret.as_bytes()),
    }
}

fn draw_route(index: usize, counts: ObjectCounts, random: &mut SmallRng) -> Route {
    let kind = match random.random_bool(NON_IDEMPOTENT_SHARE) {
        true => RequestKind::NonIdempotent,
        false => RequestKind::Idempotent,
    };
    let is_restricted = random.random_bool(RESTRICTED_SHARE) && counts.workspaces > 0;
    let workspaces = match is_restricted {
        true => vec![generated_workspace(
            random.random_range(0..counts.workspaces),
        )],
        false => Vec::new(),
    };
    let service = index % counts.services.max(1);
    Route {
        name: format!("route-{index:04}"),
        host: Some(format!("app-{service:03}.example")),
        path: format!("/part-{index:04}"),
        methods: Vec::new(),
        service: generated_service(service),
        kind,
        path_match: PathMatch::Segments,
        split: Vec::new(),
        attempts: None,
        priority: 0,
        target_latency: None,
        access: RouteAccess::Keyed,
        workspaces,
        limit: None,
        deadline: Duration::from_millis(random.random_range(500..=5000)),
    }
}
