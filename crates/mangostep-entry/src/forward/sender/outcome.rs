//! What the end of an attempt means for the server and for the request.

use std::io::ErrorKind;

use {http::StatusCode, mangostep_http::ServerResponse, mangostep_policy::ServerSignal};

use crate::{
    back::{AttemptOutcome, FailureReason},
    forward::sender::RequestSender,
};

/// Outcome of one send.
pub(super) enum SendOutcome {
    /// A response for the caller.
    Response(Box<ServerResponse>),
    /// No connection was established, so the request did not reach the server.
    Unsent,
    /// The server did not run the request, for the given reason.
    NotRun(&'static str),
    /// The server may have run the request but gave no usable response, for
    /// the given reason. A server error is kept for the caller.
    MayHaveRun(&'static str, Option<Box<ServerResponse>>),
}

impl RequestSender<'_> {
    /// Derives the evidence about the server and the outcome of the send from
    /// the outcome of an attempt.
    pub(super) fn classify(&self, outcome: AttemptOutcome) -> (ServerSignal, SendOutcome) {
        let answer = match outcome {
            AttemptOutcome::Unsent(err) => {
                self.log_unsent(&err);
                let signal = match err.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                        ServerSignal::Refused
                    }
                    _ => ServerSignal::Unreachable,
                };
                return (signal, SendOutcome::Unsent);
            }
            AttemptOutcome::Failed(reason) => {
                let outcome = SendOutcome::MayHaveRun(reason.as_str(), None);
                return (ServerSignal::Failure, outcome);
            }
            AttemptOutcome::Answered(answer) => answer,
        };
        let dialect = &self.planned.service.dialect;
        let status = answer.head.status;
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected {
            return (
                ServerSignal::Misdirected,
                SendOutcome::NotRun("other server"),
            );
        }
        if answer
            .head
            .headers
            .contains_key(dialect.not_run_header.as_str())
        {
            return (ServerSignal::Shed, SendOutcome::NotRun("turned away"));
        }
        let is_signed = dialect.signature_header.is_empty()
            || answer
                .head
                .headers
                .contains_key(dialect.signature_header.as_str());
        let is_encoded = answer.head.headers.contains_key("content-encoding");
        if !is_signed || is_encoded {
            return (
                ServerSignal::Failure,
                SendOutcome::MayHaveRun(FailureReason::Corrupt.as_str(), None),
            );
        }
        if implies_not_run(status) {
            // The server ran the request, so the caller must not see a status
            // that implies the opposite.
            return (
                ServerSignal::Error,
                SendOutcome::MayHaveRun("false promise", None),
            );
        }
        if status.is_server_error() {
            let outcome = SendOutcome::MayHaveRun("server error", Some(answer));
            return (ServerSignal::Error, outcome);
        }
        (ServerSignal::Success, SendOutcome::Response(answer))
    }
}

/// Whether callers infer from a status that the request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
