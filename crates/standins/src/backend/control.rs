use serde::{Deserialize, Serialize};

use crate::http::TruncationPoint;

/// Initial state of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Name, as the host directory lists it.
    pub name: String,
    /// Requests that run concurrently when warm; further ones wait.
    pub slots: usize,
    /// Concurrent requests that it can handle in cold start; one more makes
    /// it fail.
    pub cold_slots: usize,
    /// Whether it starts cold.
    pub cold: bool,
    /// Time from its first request to warm, in milliseconds.
    pub warm_ms: u64,
    /// Downtime after a failure in cold start, in milliseconds.
    pub fall_ms: u64,
    /// In-flight requests from which on it sheds load; never when absent.
    pub shed_above: Option<usize>,
    /// Work of a request without `?work_ms=`, in milliseconds.
    pub work_ms: u64,
    /// Delay before a new connection is served, in milliseconds.
    pub connect_ms: u64,
    /// Delay before a probe is answered, in milliseconds.
    pub probe_ms: u64,
    /// Seed of the random draws of faults.
    pub seed: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        BackendSettings {
            name: String::new(),
            slots: 2,
            cold_slots: 1,
            cold: false,
            warm_ms: 3000,
            fall_ms: 2000,
            shed_above: None,
            work_ms: 0,
            connect_ms: 0,
            probe_ms: 0,
            seed: 1,
        }
    }
}

/// Kind of fault injected into a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrayMode {
    /// It runs and is answered with code 500.
    Error,
    /// It takes longer by this many milliseconds.
    Slow(u64),
    /// It runs and is never answered.
    Hang,
    /// It runs and its answer is truncated.
    Cut(TruncationPoint),
    /// It runs and its answer carries another request's id and body.
    WrongId,
    /// It runs, and its answer is delayed by this many milliseconds, even
    /// past the deadline.
    Late(u64),
    /// The connection is reset before it runs.
    Reset,
}

/// A gray failure of a backend server's real work.
///
/// A request gets the first fault whose draw succeeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrayFault {
    /// Kind of fault.
    pub mode: GrayMode,
    /// Share of the requests that get it, from 0 to 1.
    pub share: f64,
    /// Only requests under this path; all when empty.
    #[serde(default)]
    pub path_prefix: String,
}

impl GrayFault {
    /// A fault of all requests.
    pub fn always(mode: GrayMode) -> Self {
        GrayFault {
            mode,
            share: 1.0,
            path_prefix: String::new(),
        }
    }
}

/// How the health endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// According to the actual state.
    #[default]
    True,
    /// Always healthy.
    Healthy,
    /// Always unhealthy.
    Unhealthy,
    /// It never answers.
    Hang,
}

/// The body of `POST /control`; absent fields leave the state unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Replaces all gray faults.
    pub faults: Option<Vec<GrayFault>>,
    /// The faults are active in every other period of this many
    /// milliseconds; always when 0.
    pub flap_ms: Option<u64>,
    /// How the health endpoint answers.
    pub health: Option<HealthReport>,
    /// Requests that the load endpoint reports as running; the actual count
    /// when null.
    #[serde(with = "double_option", skip_serializing_if = "Option::is_none")]
    pub load_claim: Option<Option<u64>>,
    /// Turns the server cold, or warm.
    pub cold: Option<bool>,
    /// Starts or ends draining: new work is refused as not run.
    pub draining: Option<bool>,
    /// In-flight requests from which on it sheds load; never when null.
    #[serde(with = "double_option", skip_serializing_if = "Option::is_none")]
    pub shed_above: Option<Option<usize>>,
    /// Work of a request without `?work_ms=`, in milliseconds.
    pub work_ms: Option<u64>,
    /// Clears all records and the summary.
    pub clear_records: bool,
}

/// Distinguishes an absent field from null.
mod double_option {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<T: Serialize, S: Serializer>(
        value: &Option<Option<T>>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        value.as_ref().and_then(Option::as_ref).serialize(to)
    }

    pub(super) fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Option<T>>, D::Error> {
        Option::<T>::deserialize(from).map(Some)
    }
}
