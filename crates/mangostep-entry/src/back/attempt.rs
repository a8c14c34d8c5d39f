use std::io;

use {
    bytes::Bytes,
    mangostep_http::{MessageFault, MessageLimits, ResponseDecoder, ServerResponse},
    mangostep_objects::RequestKind,
    mangostep_policy::{ServerEntry, ServerKey},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
    tokio::time::{Instant, timeout_at},
};

use crate::{back::connection::ServerConnection, clock, prelude::*};

/// Maximum size of a response body, which is buffered until it is complete, in
/// bytes.
const RESPONSE_BODY_BYTES_MAX: u64 = 16 << 20;

/// Maximum size of a response body without a declared length, in bytes.
const UNSIZED_BODY_BYTES_MAX: u64 = 4 << 20;

/// Maximum size of a response head, in bytes.
const RESPONSE_HEAD_BYTES_MAX: usize = 64 << 10;

/// Maximum number of received bytes that belong to no response, after which
/// the connection is closed. A server may send such bytes without end.
const INVALID_BYTES_MAX: usize = 64 << 10;

/// Maximum number of responses to earlier requests that are skipped.
const FOREIGN_RESPONSES_MAX: u32 = 4;

/// Divisor of the host's memory: a quarter of it may hold responses that are
/// being received.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;

/// Parameters of one attempt at a backend server.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) key: ServerKey,
    pub(crate) entry: &'a ServerEntry,
    pub(crate) kind: RequestKind,
    /// The complete encoded request.
    pub(crate) bytes: Bytes,
    pub(crate) is_head_request: bool,
    /// Name of the id header that the server echoes, and the id of the request;
    /// `None` if it has none.
    pub(crate) echoed: Option<(&'a str, Option<&'a str>)>,
    pub(crate) deadline: Instant,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server returned a complete response to this request.
    Answered(Box<ServerResponse>),
    /// No connection was established, so the request was not run.
    Unsent(io::Error),
    /// The request was sent but there is no response. It may have run.
    Failed(FailureReason),
}

/// Reason why a sent request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// The connection was reset.
    Reset,
    /// The connection was closed before the response was complete.
    Closed,
    /// The received bytes are not a valid response to the request.
    Corrupt,
    /// No response arrived by the deadline.
    TimedOut,
    /// The responses that are being received take up all their memory.
    OutOfMemory,
}

impl FailureReason {
    /// Label of the reason in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            FailureReason::Reset => "reset",
            FailureReason::Closed => "closed",
            FailureReason::Corrupt => "spoiled answer",
            FailureReason::TimedOut => "no answer by the deadline",
            FailureReason::OutOfMemory => "no memory for the answer",
        }
    }
}

/// Sends a request to a backend server and waits for the response.
pub(crate) async fn attempt(context: &HostContext, request: AttemptRequest<'_>) -> AttemptOutcome {
    let idle_connection = context
        .connections
        .take(request.key, request.kind, clock::now());
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => {
            let time_left = request.deadline.saturating_duration_since(Instant::now());
            match ServerConnection::connect(request.entry.address, time_left).await {
                Ok(connection) => connection,
                Err(err) => return AttemptOutcome::Unsent(err),
            }
        }
    };
    let time_left = request.deadline.saturating_duration_since(Instant::now());
    if let Err(err) = connection.prepare(request.bytes.len(), time_left) {
        return AttemptOutcome::Unsent(err);
    }
    let idle = connection
        .last_used
        .map(|last_used| clock::now().since(last_used));
    let outcome = match timeout_at(
        request.deadline,
        exchange(context, &mut connection, &request),
    )
    .await
    {
        Ok(Ok(answer)) => AttemptOutcome::Answered(Box::new(answer)),
        Ok(Err(reason)) => AttemptOutcome::Failed(reason),
        Err(_) => AttemptOutcome::Failed(FailureReason::TimedOut),
    };
    match &outcome {
        AttemptOutcome::Answered(answer) if answer.keeps_connection => {
            connection.last_used = Some(clock::now());
            connection.idle_limit = idle_limit(answer);
            context.connections.put(request.key, connection);
        }
        AttemptOutcome::Failed(FailureReason::Reset | FailureReason::Closed) => {
            if let Some(idle) = idle {
                context.connections.record_loss(idle);
            }
        }
        _ => {}
    }
    outcome
}

/// Returns the time for which the server keeps an idle connection open, from
/// its `Keep-Alive` header.
fn idle_limit(answer: &ServerResponse) -> Option<Duration> {
    let text = answer.head.header("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .into_iter()
        .find_map(|part| part.strip_prefix("timeout="));
    let seconds: u64 = seconds?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

async fn exchange(
    context: &HostContext,
    connection: &mut ServerConnection,
    request: &AttemptRequest<'_>,
) -> Result<ServerResponse, FailureReason> {
    let limits = MessageLimits {
        head_bytes: RESPONSE_HEAD_BYTES_MAX,
        body_bytes: RESPONSE_BODY_BYTES_MAX,
        unsized_body_bytes: UNSIZED_BODY_BYTES_MAX,
    };
    let mut decoder = ResponseDecoder::new(limits, request.is_head_request);
    let is_first = connection.last_used.is_none();
    let is_own = |answer: &ServerResponse| belongs_to_request(answer, request.echoed, is_first);
    let ServerConnection { stream, buffer, .. } = connection;
    let (mut reader, mut writer) = stream.split();
    let mut unsent: &[u8] = &request.bytes;
    let mut is_reset = false;
    let mut is_corrupt = false;
    let (mut invalid_bytes, mut foreign_responses) = (0, 0);
    let mut received = ReceivedBytes::open(context);
    loop {
        loop {
            match decoder.decode(buffer) {
                Ok(Some(answer)) if is_own(&answer) => {
                    let mut answer = answer;
                    // Otherwise the server still waits for the rest of a long
                    // body, or sent bytes that belong to no request.
                    answer.keeps_connection &= unsent.is_empty() && buffer.is_empty();
                    return Ok(answer);
                }
                // A late duplicate response to an earlier request.
                Ok(Some(_)) => {
                    foreign_responses += 1;
                    if foreign_responses > FOREIGN_RESPONSES_MAX {
                        return Err(FailureReason::Corrupt);
                    }
                }
                Ok(None) => break,
                // A valid response may follow after the invalid bytes.
                Err(fault) => {
                    is_corrupt = true;
                    let length = buffer.len();
                    let has_next = decoder.resume(buffer);
                    // This is the response, and the caller need not wait for
                    // another one.
                    if fault == MessageFault::InvalidStatus && !has_next {
                        return Err(FailureReason::Corrupt);
                    }
                    invalid_bytes += length - buffer.len();
                    if invalid_bytes > INVALID_BYTES_MAX {
                        return Err(FailureReason::Corrupt);
                    }
                    if !has_next {
                        break;
                    }
                }
            }
        }
        let read = tokio::select! {
            written = writer.write(unsent), if !unsent.is_empty() => {
                match written {
                    Ok(length) => unsent = &unsent[length..],
                    // The server may have responded before it closed the
                    // connection. The error is reported once, so that the next
                    // read may look like an orderly end.
                    Err(_) => (unsent, is_reset) = (&[], true),
                }
                continue;
            }
            read = reader.read_buf(buffer) => read,
        };
        match read {
            Ok(0) if is_reset => return Err(failure_reason(FailureReason::Reset, is_corrupt)),
            Ok(0) => {
                // A server that ends the connection before it has read the
                // request may have ended in the middle of its answer.
                let has_ended_early =
                    |answer: &ServerResponse| !unsent.is_empty() && answer.head.status.is_success();
                let answer = decoder.finish().ok();
                let answer = answer.filter(|answer| !has_ended_early(answer));
                let own = answer.filter(is_own);
                return own.ok_or(failure_reason(FailureReason::Closed, is_corrupt));
            }
            Ok(length) => {
                if !received.add(length as u64) {
                    return Err(FailureReason::OutOfMemory);
                }
            }
            Err(_) => return Err(failure_reason(FailureReason::Reset, is_corrupt)),
        }
    }
}

/// Bytes of a response that is being received, counted against the host's
/// memory for responses.
struct ReceivedBytes<'a> {
    context: &'a HostContext,
    bytes: u64,
}

impl<'a> ReceivedBytes<'a> {
    fn open(context: &'a HostContext) -> Self {
        ReceivedBytes { context, bytes: 0 }
    }

    /// Counts received bytes. Returns whether the memory suffices.
    fn add(&mut self, bytes: u64) -> bool {
        self.bytes += bytes;
        let all = self.context.received_bytes.get() + bytes;
        self.context.received_bytes.set(all);
        all <= (self.context.settings.memory_mb << 20) / RESPONSE_MEMORY_DIVISOR
    }
}

impl Drop for ReceivedBytes<'_> {
    fn drop(&mut self) {
        let all = &self.context.received_bytes;
        all.set(all.get() - self.bytes);
    }
}

/// Returns the reason to report when a connection ends. Invalid bytes before
/// its end are the more specific reason.
fn failure_reason(end: FailureReason, is_corrupt: bool) -> FailureReason {
    match is_corrupt {
        true => FailureReason::Corrupt,
        false => end,
    }
}

/// Whether a response belongs to the request, based on the echoed id. A
/// successful response must echo the id. An error response from the server's
/// listener may lack it, but only if the request is the first one on its
/// connection: the server may repeat the refusal of an earlier one. A request
/// without an id gets a response without one.
fn belongs_to_request(
    answer: &ServerResponse,
    echoed: Option<(&str, Option<&str>)>,
    is_first: bool,
) -> bool {
    let Some((header, id)) = echoed else {
        return true;
    };
    match (answer.head.header(header), id) {
        (other, None) => other.is_none(),
        (Some(other), Some(id)) => other == id,
        (None, Some(_)) => is_first && !answer.head.status.is_success(),
    }
}
