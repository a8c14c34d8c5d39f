use std::time::Duration;

use serde_json::{Value, json};

/// A workspace of an [`EntryConfiguration`].
#[derive(Clone, Debug)]
pub struct EntryWorkspace {
    /// Name, unique in the configuration.
    pub name: String,
    /// Keys with which callers authenticate.
    pub keys: Vec<String>,
    /// Rate limit, in requests per second.
    pub rate_per_s: f64,
    /// Burst of the rate limit, in requests.
    pub burst: f64,
}

/// A configuration in the form that operators publish.
///
/// Each service has a route for idempotent requests at `/look-SERVICE/`, and one
/// for requests that must run at most once at `/book-SERVICE/`.
#[derive(Clone, Debug)]
pub struct EntryConfiguration {
    /// Version; each publication must have a larger one than the last.
    pub version: u64,
    /// Workspaces with their keys and rate limits.
    pub workspaces: Vec<EntryWorkspace>,
    /// Number of additional routes to the first service.
    pub extra_routes: usize,
    /// Requests per second that a backend server can handle in cold start.
    pub cold_rate_per_s: Option<f64>,
    /// Duration of a cold start.
    pub cold_time: Duration,
}

impl Default for EntryConfiguration {
    fn default() -> Self {
        EntryConfiguration {
            version: 1,
            workspaces: vec![EntryWorkspace {
                name: "north".to_owned(),
                keys: vec!["north-key".to_owned()],
                rate_per_s: 1_000.0,
                burst: 1_000.0,
            }],
            extra_routes: 0,
            cold_rate_per_s: None,
            cold_time: Duration::from_secs(3),
        }
    }
}

impl EntryConfiguration {
    pub(crate) fn to_json<'s>(&self, services: impl Iterator<Item = &'s str>) -> Value {
        let services: Vec<&str> = services.collect();
        let route = |name: String, kind: &str, service: &str| {
            json!({ "name": name, "host": "app.example", "pathPrefix": format!("/{name}/"),
                "routeType": kind, "timeoutS": 3, "targetLatencyS": 1, "priority": 0,
                "service": service, "attempts": 2, "public": false })
        };
        let mut routes = Vec::new();
        for service in &services {
            routes.push(route(format!("look-{service}"), "idempotent", service));
            routes.push(route(format!("book-{service}"), "non_idempotent", service));
        }
        for number in 0..self.extra_routes {
            let name = format!("further-{number}");
            routes.push(route(name, "idempotent", services[0]));
        }
        let services = services.iter().map(|name| {
            json!({ "name": name, "healthCheckPath": "/health",
                "warmupS": self.cold_time.as_secs_f64(), "warmupPerS": self.cold_rate_per_s })
        });
        let tenants = self.workspaces.iter().map(|workspace| {
            json!({ "name": workspace.name, "apiKeys": workspace.keys,
                "ratePerS": workspace.rate_per_s, "burst": workspace.burst })
        });
        json!({
            "version": format!("r{}", self.version),
            "routes": routes,
            "services": services.collect::<Vec<_>>(),
            "tenants": tenants.collect::<Vec<_>>(),
        })
    }
}
