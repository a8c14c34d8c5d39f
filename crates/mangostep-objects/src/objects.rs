use std::{fmt, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// A tenant, whose callers share one rate and one burst.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name, unique among workspaces.
    pub name: String,
    /// Name of the [`Limit`] that holds for all hosts together; none when
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// Rank of its requests when room is short, 0 the most urgent; that of
    /// the route when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}

/// The SHA-256 digest of a key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde(with = "hex_digest")] [u8; 32]);

impl KeyDigest {
    /// Digests a key as a caller presents it.
    pub fn of(secret: &[u8]) -> Self {
        KeyDigest(Sha256::digest(secret).into())
    }

    /// The digest's bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Compares in a time that does not depend on the contents.
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

    pub(super) fn serialize<S: Serializer>(bytes: &[u8; 32], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&hex::encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<[u8; 32], D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(from)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.as_bytes(), &mut bytes)
            .map_err(|_| D::Error::custom("must be 64 hexadecimal digits"))?;
        Ok(bytes)
    }
}

/// A key that callers present to act for a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name, unique among keys; safe to show in logs.
    pub name: String,
    /// Name of the workspace that the key acts for.
    pub workspace: String,
    /// Digest of the key.
    pub sha256: KeyDigest,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// May be sent again within its deadline and the retry budget.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Only callers that present the key of a workspace.
    #[default]
    Keyed,
    /// Everyone; no key is looked at.
    Open,
}

/// How the path of a route is compared with the path of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PathMatch {
    /// Normalised paths, by whole segments.
    #[default]
    Segments,
    /// The path as it was sent must begin with the route's path, which ends
    /// with a slash.
    Literal,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other services of the route.
    pub weight: f64,
}

/// Leads requests to a service, by host name, path prefix and method.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among routes.
    pub name: String,
    /// Host name that the route answers to; any when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix, normalised unless it is matched literally.
    pub path: String,
    /// How `path` is compared.
    #[serde(default)]
    pub path_match: PathMatch,
    /// Methods that the route takes; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Name of the service behind the route.
    pub service: String,
    /// Services that share the requests by weight; `service` takes all of
    /// them when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Most backend servers that may run one request; the fleet's own bound
    /// when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Rank of its requests when room is short, 0 the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether its requests may be sent again.
    #[serde(rename = "request_kind")]
    pub kind: RequestKind,
    /// Who may use it.
    #[serde(default)]
    pub access: RouteAccess,
    /// Workspaces that may use it; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<String>,
    /// Limit for an open route, by its fleet-wide rate; none when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// Longest time from a request's arrival to the end of its answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Time within which an answer is of full use to the caller; half of the
    /// deadline when absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "target_latency_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub target_latency: Option<Duration>,
}

/// The headers and paths that the backend servers of a service speak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDialect {
    /// Header that carries the request id; echoed when `echoes_id` is set.
    pub id_header: String,
    /// Whether the server echoes the request id.
    pub echoes_id: bool,
    /// Header that carries the time left, in milliseconds.
    pub deadline_header: String,
    /// Header that names the workspace to the server.
    pub workspace_header: String,
    /// Answer header by which the server says that it did not run a request.
    pub not_run_header: String,
    /// Answer header by which the server says that it leaves.
    pub draining_header: String,
    /// Answer header by which the server says that it is in cold start.
    pub cold_header: String,
    /// Path of the health probe.
    pub health_path: String,
    /// Path of the load report.
    pub load_path: String,
    /// Path that cancels a request by id, by POST; empty for none.
    pub cancel_path: String,
    /// Header that names the backend server that alone may run a request;
    /// empty for none.
    pub expected_server_header: String,
    /// Answer header by which a backend server proves that an answer is its
    /// own; empty for none.
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

/// A kind of backend server, as many as the host directory lists for it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Availability zones that its backend servers stand in.
    pub zones: Vec<String>,
    /// Requests that one warm backend server runs at once.
    pub slots: u32,
    /// Requests that one backend server in cold start runs at once.
    pub cold_slots: u32,
    /// Time from cold to warm under load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cold_ramp_ms")]
    pub warm_up: Duration,
    /// Requests a second that one backend server in cold start bears, over
    /// all hosts; bounded by `cold_slots` alone when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_rate_per_s: Option<f64>,
    /// Backend servers that stay in use, over all zones, whatever they do.
    pub floor: u32,
    /// Connections that one backend server takes.
    pub connections: u32,
    /// Time between two probes of a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "probe_every_ms")]
    pub probe_interval: Duration,
    /// Longest time to connect to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Longest time that one try may take, within the route's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "try_timeout_ms")]
    pub attempt_timeout: Duration,
    /// Largest answer of unknown length, which is held until it is whole.
    pub unsized_answer_bytes: u64,
    /// The headers and paths that its backend servers speak.
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

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// It takes work.
    #[default]
    In,
    /// It takes no new work.
    Out,
}

/// A part of a region that fails on its own.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that it lies in.
    pub region: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ZoneState,
    /// Time over which work returns to it after it was out.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_return_ramp", rename = "return_ramp_ms")]
    pub return_ramp: Duration,
}

fn default_return_ramp() -> Duration {
    Duration::from_secs(10)
}

/// A rate and a burst, counted over all hosts together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name, unique among limits.
    pub name: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once after a quiet time.
    pub burst: f64,
}

/// What callers may send, and how long they may take or stay idle.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Time after which a connection without requests is closed.
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
