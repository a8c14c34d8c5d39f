use serde_json::{Value, json};

/// A workspace of a configuration.
#[derive(Clone, Debug)]
pub struct EntryWorkspace {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests after a quiet time.
    pub burst: f64,
}

/// A configuration as operators write it.
///
/// Each service has a route for requests that may be repeated, at
/// `/look-SERVICE/`, and one for those that run once, at `/book-SERVICE/`.
#[derive(Clone, Debug)]
pub struct EntryConfiguration {
    /// Version; later ones are larger.
    pub version: u64,
    /// Workspaces with their keys.
    pub workspaces: Vec<EntryWorkspace>,
    /// Routes that go to the first service besides.
    pub extra_routes: usize,
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
        let services = services
            .iter()
            .map(|name| json!({ "name": name, "healthCheckPath": "/health" }));
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
