use std::{fmt, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// A customer, whose callers share one rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name, unique among workspaces.
    pub name: String,
    /// Name of the [`Limit`] on the workspace's requests over all hosts
    /// together; absent for no rate limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// Priority of its requests under overload, where 0 is the most urgent;
    /// the priority of the route when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}

/// The SHA-256 digest of a key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde(with = "hex_digest")] [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as presented by a caller.
    pub fn of(secret: &[u8]) -> Self {
        KeyDigest(Sha256::digest(secret).into())
    }

    /// The 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

mod hex_digest {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        bytes: &[u8; 32],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<[u8; 32], D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.as_bytes(), &mut bytes)
            .map_err(|_| D::Error::custom("must be 64 hexadecimal digits"))?;
        Ok(bytes)
    }
}

/// A key that authenticates callers as a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name, unique among keys. It is not secret and may appear in logs.
    pub name: String,
    /// Name of the workspace that the key belongs to.
    pub workspace: String,
    /// SHA-256 digest of the key, written as 64 hexadecimal digits.
    pub sha256: KeyDigest,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// It may be retried within its deadline and the retry budget.
    Idempotent,
    /// It runs at most once. It is retried only while every earlier attempt is
    /// known not to have run.
    NonIdempotent,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Only callers that present a key of a workspace.
    #[default]
    Keyed,
    /// All callers; keys are ignored.
    Open,
}

/// How the path of a route is matched against the path of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PathMatch {
    /// The normalized paths are compared by whole segments.
    #[default]
    Segments,
    /// The request's path, as sent and without normalization, must start with
    /// the route's path, which ends with a slash.
    Literal,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the weights of the route's other services; 0 for no
    /// requests.
    pub weight: f64,
}

/// Routes requests to a service by host name, path prefix and method.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among routes.
    pub name: String,
    /// Host name that requests must have; absent for any host name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix, normalized unless it is matched literally.
    pub path: String,
    /// How `path` is matched.
    #[serde(default)]
    pub path_match: PathMatch,
    /// Methods that the route matches; empty for all methods.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Name of the service that handles the requests.
    pub service: String,
    /// Services that share the requests by weight; when empty, `service`
    /// receives all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Maximum number of backend servers that may run one idempotent request;
    /// the default of the entry hosts when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Priority of its requests under overload, where 0 is the most urgent.
    /// The priority of the workspace takes precedence.
    #[serde(default)]
    pub priority: u32,
    /// Whether its requests may be retried.
    #[serde(rename = "request_kind")]
    pub kind: RequestKind,
    /// Who may use the route.
    #[serde(default)]
    pub access: RouteAccess,
    /// Workspaces that may use a keyed route; empty for all workspaces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<String>,
    /// Name of the [`Limit`] on the requests of an open route over all hosts
    /// together; absent for no rate limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// Maximum time from the arrival of a request to the end of its response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Latency up to which a response has its full value for the caller; half
    /// of the deadline when absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "target_latency_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub target_latency: Option<Duration>,
}

/// The headers and paths by which entry hosts and the backend servers of a
/// service communicate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDialect {
    /// Request header with the request ID; the response repeats it when
    /// `echoes_id` is set.
    pub id_header: String,
    /// Whether the server repeats the request ID in the response.
    pub echoes_id: bool,
    /// Request header with the time until the deadline, in milliseconds.
    pub deadline_header: String,
    /// Request header with the name of the workspace.
    pub workspace_header: String,
    /// Response header that states that the server did not run the request.
    pub not_run_header: String,
    /// Response header that states that the server is draining.
    pub draining_header: String,
    /// Response header that states that the server is in cold start.
    pub cold_header: String,
    /// Path of the health probe.
    pub health_path: String,
    /// Path of the load report.
    pub load_path: String,
    /// Path for a POST that cancels a request by ID; empty if the servers
    /// cannot cancel requests.
    pub cancel_path: String,
    /// Request header with the name of the only backend server that may run
    /// the request; empty to send no such header.
    pub expected_server_header: String,
    /// Response header with the signature by which a backend server proves
    /// that it produced the response; empty if the servers do not sign.
    pub signature_header: String,
}

impl Default for ServiceDialect {
    fn default() -> Self {
        ServiceDialect {
            id_header: "x-request-id".to_owned(),
            echoes_id: true,
            deadline_header: "x-deadline-ms".to_owned(),
            workspace_header: "x-workspace".to_owned(),
            not_run_header: "x-not-run".to_owned(),
            draining_header: "x-draining".to_owned(),
            cold_header: "x-cold".to_owned(),
            health_path: "/healthz".to_owned(),
            load_path: "/loadz".to_owned(),
            cancel_path: String::new(),
            expected_server_header: String::new(),
            signature_header: String::new(),
        }
    }
}

/// How hosts distribute the requests for a service over its backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadBalancing {
    /// Each request goes to the server with the lowest expected cost of all.
    LeastCost,
    /// Each request goes to the best of a few servers that are drawn at random,
    /// which keeps the load even while hosts know late of each other's
    /// requests.
    Spread,
}

/// A kind of backend server. The host directory lists the servers of each
/// service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Availability zones in which its backend servers run.
    pub zones: Vec<String>,
    /// Maximum number of concurrent requests on a warm backend server.
    pub slots: u32,
    /// Maximum number of concurrent requests on a backend server in cold
    /// start.
    pub cold_slots: u32,
    /// Duration of the warm-up under load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cold_ramp_ms")]
    pub warm_up: Duration,
    /// Maximum rate of requests to a backend server in cold start, from all
    /// hosts together; when absent, only `cold_slots` limits its load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_rate_per_s: Option<f64>,
    /// How requests are distributed over the backend servers; when absent, as
    /// [`Service::load_balancing`] states.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub balancing: Option<LoadBalancing>,
    /// Minimum number of backend servers in use, over all zones. No ejection
    /// goes below it, even when the servers are failing.
    pub floor: u32,
    /// Maximum number of connections to one backend server.
    pub connections: u32,
    /// Interval between two health probes of a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "probe_every_ms")]
    pub probe_interval: Duration,
    /// Maximum time to connect to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Maximum duration of one attempt, within the route's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "try_timeout_ms")]
    pub attempt_timeout: Duration,
    /// Maximum size of a response without a declared length, in bytes. Such a
    /// response is buffered until it is complete.
    pub unsized_answer_bytes: u64,
    /// The headers and paths that its backend servers use.
    pub dialect: ServiceDialect,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            name: String::new(),
            zones: Vec::new(),
            slots: 2,
            cold_slots: 1,
            warm_up: Duration::from_secs(10),
            cold_rate_per_s: None,
            balancing: None,
            floor: 1,
            connections: 400,
            probe_interval: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            attempt_timeout: Duration::from_secs(2),
            unsized_answer_bytes: 4 << 20,
            dialect: ServiceDialect::default(),
        }
    }
}

impl Service {
    /// How requests are distributed over the backend servers. The default is
    /// [`LoadBalancing::Spread`], but [`LoadBalancing::LeastCost`] for a service
    /// with a warm-up rate.
    pub fn load_balancing(&self) -> LoadBalancing {
        self.balancing.unwrap_or(match self.cold_rate_per_s {
            None => LoadBalancing::Spread,
            Some(_) => LoadBalancing::LeastCost,
        })
    }
}

/// Whether an availability zone receives new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone receives requests.
    #[default]
    In,
    /// The zone receives no new requests.
    Out,
}

/// A part of a region that fails independently of the others.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that contains the zone.
    pub region: String,
    /// Whether the zone receives new requests.
    #[serde(default)]
    pub state: ZoneState,
    /// Time over which its share of requests ramps up after its state returns
    /// to `in`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_return_ramp", rename = "return_ramp_ms")]
    pub return_ramp: Duration,
}

fn default_return_ramp() -> Duration {
    Duration::from_secs(10)
}

/// A rate limit, counted over all hosts together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name, unique among limits.
    pub name: String,
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Maximum number of requests at once after a period without requests.
    pub burst: f64,
}

/// Size limits and timeouts for the requests and connections of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Time without requests after which a connection is closed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
