//! Checks whether a backend server is in cold start.

use {
    bytes::BytesMut,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    mangostep_http::{RequestHead, encode_request},
    mangostep_objects::{RequestKind, Service, ServiceDialect},
    mangostep_policy::{CheckReason, ServerEntry, ServerKey, ServerSignal},
    slog::info,
    tokio::time::Instant,
};

use crate::{
    back::{AttemptOutcome, AttemptRequest, attempt},
    clock,
    prelude::*,
    statements::{record_cold_left, record_own_statement},
};

/// Divisor of a request's remaining time: a check takes a quarter of it at most.
const TIME_LEFT_DIVISOR: u32 = 4;

/// Maximum time that a request with `time_left` until its deadline waits for the
/// answer to a check.
pub(crate) fn check_time(context: &HostContext, time_left: Duration) -> Duration {
    let timeout = context.pool.borrow().check_timeout();
    timeout.min(time_left / TIME_LEFT_DIVISOR)
}

/// A server to check, before a request is sent to it.
pub(crate) struct ServerCheck<'a> {
    pub(crate) key: ServerKey,
    pub(crate) entry: &'a ServerEntry,
    pub(crate) service: &'a Service,
    pub(crate) reason: CheckReason,
    /// Time until the deadline of the request.
    pub(crate) time_left: Duration,
}

impl ServerCheck<'_> {
    /// Asks the server's health path for the rest of its cold start, and records
    /// the answer. Whether the server calls itself healthy is not considered:
    /// failing servers often do.
    ///
    /// # Errors
    ///
    /// Without an answer of the server, returns what that shows about it.
    pub(crate) async fn run(self, context: &HostContext) -> Result<(), ServerSignal> {
        let started = clock::now();
        let timeout = check_time(context, self.time_left);
        context.pool.borrow_mut().begin_check(self.key, started);
        let pending = PendingCheck {
            context,
            key: self.key,
        };
        let request = AttemptRequest {
            key: self.key,
            entry: self.entry,
            kind: RequestKind::Idempotent,
            bytes: encode_check(&self.service.dialect, self.entry).freeze(),
            is_head_request: false,
            // A late answer to an earlier request has the id of that one.
            echoed: Some((&self.service.dialect.id_header, None)),
            deadline: Instant::now() + timeout,
        };
        let outcome = attempt(context, request).await;
        drop(pending);
        let result = self.record(context, &outcome);
        let label = result.map_or_else(ServerSignal::as_str, |()| "answered");
        context.counters.count(
            "server-check",
            &[("reason", self.reason.as_str()), ("outcome", label)],
        );
        info!(context.log, "server checked"; "server" => &self.entry.id,
            "reason" => self.reason.as_str(), "outcome" => label,
            "cold" => context.pool.borrow().is_cold(self.key, clock::now()),
            "ms" => clock::now().since(started).as_millis() as u64);
        result
    }

    fn record(&self, context: &HostContext, outcome: &AttemptOutcome) -> Result<(), ServerSignal> {
        let answer = match outcome {
            AttemptOutcome::Answered(answer) => answer,
            AttemptOutcome::Unsent(_) | AttemptOutcome::Failed(_) => {
                return Err(ServerSignal::Unreachable);
            }
        };
        let head = &answer.head;
        let dialect = &self.service.dialect;
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(ServerSignal::Misdirected);
        }
        record_own_statement(context, self.key, self.entry, head);
        if head.headers.contains_key(dialect.not_run_header.as_str()) {
            return Err(ServerSignal::Shed);
        }
        // A server that is not in cold start states no time.
        if !head.headers.contains_key(dialect.cold_header.as_str()) {
            record_cold_left(context, self.key, Duration::ZERO);
        }
        Ok(())
    }
}

fn encode_check(dialect: &ServiceDialect, entry: &ServerEntry) -> BytesMut {
    let mut headers = HeaderMap::new();
    let expected = HeaderName::from_bytes(dialect.expected_server_header.as_bytes());
    if let (Ok(name), Ok(id)) = (expected, HeaderValue::from_str(&entry.id)) {
        headers.insert(name, id);
    }
    if let Ok(address) = HeaderValue::from_str(&entry.address.to_string()) {
        headers.insert(header::HOST, address);
    }
    let head = RequestHead {
        method: Method::GET,
        target: dialect.health_path.clone(),
        is_http_11: true,
        headers: HeaderMap::new(),
    };
    let mut bytes = BytesMut::new();
    encode_request(&head, &headers, &[], &mut bytes);
    bytes
}

/// A check that waits for its answer. It ends when dropped, also if the caller
/// disconnects.
struct PendingCheck<'a> {
    context: &'a HostContext,
    key: ServerKey,
}

impl Drop for PendingCheck<'_> {
    fn drop(&mut self) {
        self.context.pool.borrow_mut().end_check(self.key);
        self.context.check_ended.notify_waiters();
    }
}
