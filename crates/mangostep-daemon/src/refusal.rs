use rocket::{
    Response,
    http::{Header, Status},
};

use crate::prelude::*;

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    NotRun,
    Unknown,
}

impl RunState {
    /// The value of the header `mangostep-outcome`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}

/// A refusal that the entry host answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) run: RunState,
    /// One of a fixed set of words, since it is also a counter label.
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no backend server has run.
    pub(crate) const fn not_run(status: u16, reason: &'static str) -> Self {
        Refusal {
            status,
            run: RunState::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that a backend server may have run.
    pub(crate) const fn unknown(status: u16, reason: &'static str) -> Self {
        Refusal {
            status,
            run: RunState::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Converts the refusal to one of a request that an earlier attempt may
    /// have run; removes `retry_after`.
    pub(crate) const fn into_unknown(self) -> Self {
        Refusal {
            run: RunState::Unknown,
            retry_after: None,
            ..self
        }
    }

    pub(crate) fn with_retry_after(self, retry_after: Duration) -> Self {
        Refusal {
            retry_after: Some(retry_after),
            ..self
        }
    }

    pub(crate) fn into_response(self) -> Response<'static> {
        let outcome = self.run.as_str();
        let body = format!(
            "{{\"outcome\":\"{outcome}\",\"reason\":\"{}\"}}\n",
            self.reason
        );
        let mut response = Response::build()
            .status(Status::new(self.status))
            .header(Header::new("content-type", "application/json"))
            .header(Header::new("mangostep-outcome", outcome))
            .header(Header::new("mangostep-reason", self.reason))
            .sized_body(body.len(), std::io::Cursor::new(body))
            .finalize();
        if let Some(wait) = self.retry_after {
            // Whole seconds, rounded up, so that no caller retries too early.
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            response.set_header(Header::new("retry-after", seconds.to_string()));
        }
        response
    }
}
