use rocket::{
    Response,
    http::{Header, Status},
};

use crate::prelude::*;

/// Whether a request may have run at a backend server.
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

/// An answer that the entry host itself writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) run: RunState,
    /// Bounded set of words, also a label of counters.
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no backend server has seen.
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

    /// The same refusal of a request that an earlier try may have run.
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
            // Whole seconds, rounded up, so that a caller never comes early.
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            response.set_header(Header::new("retry-after", seconds.to_string()));
        }
        response
    }
}
