use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, StatusCode, header},
};

use crate::prelude::*;

/// An answer that goes to a caller.
#[derive(Debug)]
pub(crate) struct FrontAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer of the fleet's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Refusal {
    /// No route takes the request.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The workspace may not use the route.
    NotGranted,
    /// The workspace is over its rate; not run.
    OverRate(Duration),
    /// Nothing can run it now; not run.
    NoRoom(Duration),
    /// This host knows no configuration yet; not run.
    NotReady,
    /// This host ends before the request would; not run.
    Leaving,
    /// A backend server failed; it may have run.
    Failed,
    /// No answer came in time; it may have run.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::BadKey => StatusCode::UNAUTHORIZED,
            Refusal::NotGranted => StatusCode::FORBIDDEN,
            Refusal::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Refusal::NoRoom(_) | Refusal::NotReady | Refusal::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Failed => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The name of the reason in logs and counters.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no-route",
            Refusal::BadKey => "bad-key",
            Refusal::NotGranted => "not-granted",
            Refusal::OverRate(_) => "over-rate",
            Refusal::NoRoom(_) => "no-room",
            Refusal::NotReady => "not-ready",
            Refusal::Leaving => "leaving",
            Refusal::Failed => "failed",
            Refusal::TimedOut => "timed-out",
        }
    }

    pub(crate) fn answer(self) -> FrontAnswer {
        let mut headers = HeaderMap::new();
        let retry_after = match self {
            Refusal::OverRate(after) | Refusal::NoRoom(after) => Some(after),
            // A host that starts knows enough within half a second.
            Refusal::NotReady => Some(Duration::from_millis(300)),
            // Other hosts have room.
            Refusal::Leaving => Some(Duration::from_millis(50)),
            _ => None,
        };
        if let Some(after) = retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        FrontAnswer {
            status: self.status(),
            headers,
            body: Bytes::from_static(self.as_str().as_bytes()),
        }
    }
}
