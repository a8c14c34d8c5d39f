use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, StatusCode, header},
};

use crate::{forward::ResponseReservation, prelude::*};

/// A response to a caller.
pub(crate) struct FrontResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body. `None` for a response of the host itself.
    pub(crate) reservation: Option<ResponseReservation>,
}

/// A response that the host generates itself because it has none from a
/// backend server. Unless noted otherwise, the request was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Refusal {
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
    /// The workspace has no access to the route.
    NotGranted,
    /// The workspace exceeds its rate limit. Holds the time after which to
    /// retry.
    OverRate(Duration),
    /// No server or memory has capacity. Holds the time after which to retry.
    NoCapacity(Duration),
    /// The route or the workspace names an object that the host cannot use.
    Misconfigured,
    /// The host has not loaded a configuration yet.
    NotReady,
    /// The host stops before the deadline of the request.
    Stopping,
    /// A backend server failed. The request may have run.
    Failed,
    /// No response arrived in time. The request may have run.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::BadKey => StatusCode::UNAUTHORIZED,
            Refusal::NotGranted => StatusCode::FORBIDDEN,
            Refusal::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Refusal::NoCapacity(_)
            | Refusal::Misconfigured
            | Refusal::NotReady
            | Refusal::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Label of the reason in logs and metrics, and body of the response.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no-route",
            Refusal::BadKey => "bad-key",
            Refusal::NotGranted => "not-granted",
            Refusal::OverRate(_) => "over-rate",
            Refusal::NoCapacity(_) => "no-room",
            Refusal::Misconfigured => "misconfigured",
            Refusal::NotReady => "not-ready",
            Refusal::Stopping => "leaving",
            Refusal::Failed => "failed",
            Refusal::TimedOut => "timed-out",
        }
    }

    pub(crate) fn response(self) -> FrontResponse {
        let mut headers = HeaderMap::new();
        let retry_after = match self {
            Refusal::OverRate(after) | Refusal::NoCapacity(after) => Some(after),
            // A starting host loads its configuration within half a second.
            Refusal::NotReady => Some(Duration::from_millis(300)),
            // Other hosts have capacity.
            Refusal::Stopping => Some(Duration::from_millis(50)),
            _ => None,
        };
        if let Some(after) = retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        FrontResponse {
            status: self.status(),
            headers,
            body: Bytes::from_static(self.as_str().as_bytes()),
            reservation: None,
        }
    }
}
