use std::io;

use {
    bytes::Bytes,
    mangostep_http::{AnswerDecoder, MessageLimits, ServerAnswer},
    mangostep_objects::RequestKind,
    mangostep_policy::{ServerEntry, ServerKey},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
    tokio::time::{Instant, timeout_at},
};

use crate::{back::connection::ServerConnection, clock, prelude::*};

/// Largest answer that is held until it is whole, in bytes.
const ANSWER_BYTES_MAX: u64 = 16 << 20;

/// Largest head of an answer, in bytes.
const ANSWER_HEAD_MAX: usize = 64 << 10;

/// One attempt of a request at a backend server.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) key: ServerKey,
    pub(crate) entry: &'a ServerEntry,
    pub(crate) kind: RequestKind,
    /// The whole request as it goes to the server.
    pub(crate) bytes: Bytes,
    pub(crate) is_head_request: bool,
    /// Header in which the server echoes the request's id, with the id.
    pub(crate) echoed: Option<(&'a str, &'a str)>,
    pub(crate) deadline: Instant,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server gave a whole answer to this request.
    Answered(Box<ServerAnswer>),
    /// No connection could be made, so the request has not run.
    Unsent(io::Error),
    /// The request was sent and has no answer; it may have run.
    Lost(FailureReason),
}

/// Why a request that was sent has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// The connection was reset.
    Reset,
    /// The connection was closed before a whole answer.
    Closed,
    /// Bytes came that are no answer to the request.
    Corrupt,
    /// No answer came by the deadline.
    TimedOut,
}

impl FailureReason {
    /// The name of the reason in logs and counters.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            FailureReason::Reset => "reset",
            FailureReason::Closed => "closed",
            FailureReason::Corrupt => "spoiled answer",
            FailureReason::TimedOut => "no answer by the deadline",
        }
    }
}

/// Sends a request to a backend server and waits for its answer.
pub(crate) async fn attempt(context: &HostContext, order: AttemptRequest<'_>) -> AttemptOutcome {
    let kept = context
        .connections
        .take(order.key, order.kind, clock::now());
    let mut connection = match kept {
        Some(connection) => connection,
        None => {
            let left = order.deadline.saturating_duration_since(Instant::now());
            match ServerConnection::connect(order.entry.address, left).await {
                Ok(connection) => connection,
                Err(err) => return AttemptOutcome::Unsent(err),
            }
        }
    };
    let idle = connection.used.map(|used| clock::now().since(used));
    let end = match timeout_at(order.deadline, exchange(&mut connection, &order)).await {
        Ok(Ok(answer)) => AttemptOutcome::Answered(Box::new(answer)),
        Ok(Err(what)) => AttemptOutcome::Lost(what),
        Err(_) => AttemptOutcome::Lost(FailureReason::TimedOut),
    };
    match &end {
        AttemptOutcome::Answered(answer) if answer.keeps_connection => {
            connection.used = Some(clock::now());
            connection.idle_limit = idle_limit(answer);
            context.connections.put(order.key, connection);
        }
        AttemptOutcome::Lost(FailureReason::Reset | FailureReason::Closed) => {
            if let Some(idle) = idle {
                context.connections.record_loss(idle);
            }
        }
        _ => {}
    }
    end
}

/// Time that the server keeps an idle connection open, if it tells.
fn idle_limit(answer: &ServerAnswer) -> Option<Duration> {
    let text = answer.head.text("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .into_iter()
        .find_map(|part| part.strip_prefix("timeout="));
    let seconds: u64 = seconds?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

async fn exchange(
    connection: &mut ServerConnection,
    order: &AttemptRequest<'_>,
) -> Result<ServerAnswer, FailureReason> {
    let limits = MessageLimits {
        head_bytes: ANSWER_HEAD_MAX,
        body_bytes: ANSWER_BYTES_MAX,
    };
    let mut decoder = AnswerDecoder::open(limits, order.is_head_request);
    let ServerConnection { stream, buffer, .. } = connection;
    let (mut reader, mut writer) = stream.split();
    let mut unsent: &[u8] = &order.bytes;
    let mut is_corrupt = false;
    loop {
        loop {
            match decoder.decode(buffer) {
                Ok(Some(answer)) if is_own(&answer, order.echoed) => {
                    let mut answer = answer;
                    // The server still waits for the rest of a long body, or
                    // sent bytes that belong to no request.
                    answer.keeps_connection &= unsent.is_empty() && buffer.is_empty();
                    return Ok(answer);
                }
                // A late second answer to an earlier request.
                Ok(Some(_)) => {}
                Ok(None) => break,
                // The answer may stand behind bytes that are none.
                Err(_) => {
                    is_corrupt = true;
                    if !decoder.resume(buffer) {
                        break;
                    }
                }
            }
        }
        let read = tokio::select! {
            written = writer.write(unsent), if !unsent.is_empty() => {
                match written {
                    Ok(length) => unsent = &unsent[length..],
                    // The server may have answered before it closed.
                    Err(_) => unsent = &[],
                }
                continue;
            }
            read = reader.read_buf(buffer) => read,
        };
        match read {
            Ok(0) => {
                let answer = decoder.finish().ok();
                let own = answer.filter(|answer| is_own(answer, order.echoed));
                return own.ok_or(lost(FailureReason::Closed, is_corrupt));
            }
            Ok(_) => {}
            Err(_) => return Err(lost(FailureReason::Reset, is_corrupt)),
        }
    }
}

/// The reason to tell when a connection ends: spoiled bytes before its end say
/// more than the end.
fn lost(end: FailureReason, is_corrupt: bool) -> FailureReason {
    match is_corrupt {
        true => FailureReason::Corrupt,
        false => end,
    }
}

/// Whether an answer belongs to the request, by the id that it echoes. A
/// success must echo it; a refusal of the server's listener may lack it.
fn is_own(answer: &ServerAnswer, echoed: Option<(&str, &str)>) -> bool {
    let Some((header, id)) = echoed else {
        return true;
    };
    match answer.head.text(header) {
        Some(other) => other == id,
        None => !answer.head.status.is_success(),
    }
}
