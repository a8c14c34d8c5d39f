use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use {
    bytes::{Buf, Bytes, BytesMut},
    futures::{StreamExt, stream::BoxStream},
    mangostep_policy::AttemptFailure,
    rocket::{Response, http::Header, http::Status},
    tokio::{
        io::{AsyncRead, ReadBuf},
        time::Sleep,
    },
};

use crate::{
    back::PoolHandle,
    front::{
        body::BodyPump,
        forward::FailedAttempt,
        headers::{connection_options, is_dropped_header},
        in_flight::InFlightGuard,
    },
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome},
};

/// Largest answer with a known length that is buffered completely.
///
/// An idempotent request can be retried if such an answer is truncated.
const BUFFERED_ANSWER_BYTES_MAX: u64 = 64 << 10;

/// Resources that a request occupies until its answer has ended.
pub(crate) struct AnswerResources<'r> {
    pub(crate) pump: Option<BodyPump<'r>>,
    pub(crate) permit: OpenPermit,
    pub(crate) pool: PoolHandle,
    pub(crate) in_flight: InFlightGuard,
}

/// Bounds for reading one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerLimits {
    /// Largest accepted answer of unknown length.
    pub(crate) unsized_bytes: u64,
    /// Time within which the answer must end.
    pub(crate) time_left: Duration,
    /// Whether the request is a HEAD request, whose answer has no body.
    pub(crate) is_head: bool,
}

/// Builds the answer to the caller from a backend server's answer.
///
/// A long answer with a known length is streamed: if it is truncated, the
/// caller detects that bytes are missing. An answer of unknown length is
/// buffered completely, since Rocket would end a truncated one as if it were
/// complete.
pub(crate) async fn forward_answer<'r>(
    answer: reqwest::Response,
    resources: AnswerResources<'r>,
    limits: AnswerLimits,
) -> Result<Response<'r>, FailedAttempt> {
    let mut response = copy_head(&answer);
    let outcome = ServerOutcome::from_status(answer.status().as_u16());
    let has_no_body = limits.is_head || matches!(answer.status().as_u16(), 204 | 304);
    let length = answer.content_length().filter(|_| !limits.is_head);
    if has_no_body {
        resources.permit.close(outcome);
        return Ok(response);
    }
    let chunks = answer
        .bytes_stream()
        .map(|chunk| chunk.map_err(io::Error::other))
        .boxed();
    let mut reader = AnswerReader {
        chunks,
        current: Bytes::new(),
        remaining: length,
        pump: resources.pump,
        permit: Some(resources.permit),
        pool: resources.pool,
        timeout: Box::pin(tokio::time::sleep(limits.time_left)),
        _in_flight: resources.in_flight,
        outcome,
    };
    if let Some(length) = length.filter(|length| *length > BUFFERED_ANSWER_BYTES_MAX) {
        response.set_header(Header::new("content-length", length.to_string()));
        response.set_streamed_body(reader);
        return Ok(response);
    }
    let body = reader
        .read_to_end(limits.unsized_bytes.max(BUFFERED_ANSWER_BYTES_MAX))
        .await?;
    response.set_sized_body(body.len(), io::Cursor::new(body));
    Ok(response)
}

fn copy_head(answer: &reqwest::Response) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(answer.status().as_u16()));
    let connection = answer.headers().get_all("connection");
    let connection_listed =
        connection_options(connection.iter().filter_map(|value| value.to_str().ok()));
    for (name, value) in answer.headers() {
        let name = name.as_str();
        if is_dropped_header(name, &connection_listed) || name == "transfer-encoding" {
            continue;
        }
        if let Ok(value) = value.to_str() {
            response.adjoin_header(Header::new(name.to_owned(), value.to_owned()));
        }
    }
    response
}

/// Reads an answer's body while sending the rest of the request's body.
struct AnswerReader<'r> {
    chunks: BoxStream<'static, io::Result<Bytes>>,
    current: Bytes,
    /// Bytes not yet received, if the length is known.
    remaining: Option<u64>,
    pump: Option<BodyPump<'r>>,
    permit: Option<OpenPermit>,
    pool: PoolHandle,
    /// Ends the answer when its time has elapsed.
    timeout: Pin<Box<Sleep>>,
    /// Dropped with the reader, which ends the request's in-flight count.
    _in_flight: InFlightGuard,
    outcome: ServerOutcome,
}

impl AnswerReader<'_> {
    async fn read_to_end(&mut self, max_bytes: u64) -> Result<BytesMut, FailedAttempt> {
        let failed = |refusal, cause| Err(FailedAttempt { refusal, cause });
        let mut body = BytesMut::new();
        loop {
            match std::future::poll_fn(|cx| self.poll_chunk(cx)).await {
                Ok(None) => return Ok(body),
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Err(err) if err.kind() == io::ErrorKind::TimedOut => {
                    return failed(Refusal::unknown(504, "deadline"), AttemptFailure::TimedOut);
                }
                Err(_) => {
                    return failed(
                        Refusal::unknown(502, "answer-cut"),
                        AttemptFailure::CutAnswer,
                    );
                }
            }
            if body.len() as u64 > max_bytes {
                let refusal = Refusal::unknown(502, "unsized-answer-too-large");
                return failed(refusal, AttemptFailure::TooLarge);
            }
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if let Some(pump) = &mut self.pump
            && pump.as_mut().poll(cx).is_ready()
        {
            self.pump = None;
        }
        match self.chunks.poll_next_unpin(cx) {
            Poll::Pending => self.poll_timeout(cx),
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Ok(Some(chunk))),
            Poll::Ready(Some(Err(err))) => {
                self.close_permit(ServerOutcome::CutAnswer);
                Poll::Ready(Err(err))
            }
            Poll::Ready(None) => {
                self.close_permit(self.outcome);
                Poll::Ready(Ok(None))
            }
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if self.timeout.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.close_permit(ServerOutcome::Timeout);
        self.pool.discard();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn close_permit(&mut self, outcome: ServerOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.close(outcome);
        }
    }
}

impl AsyncRead for AnswerReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.current.is_empty() {
            match this.poll_chunk(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(err)) => return Poll::Ready(Err(err)),
                Poll::Ready(Ok(None)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(Some(chunk))) => this.current = chunk,
            }
        }
        let length = this.current.len().min(buffer.remaining());
        buffer.put_slice(&this.current[..length]);
        this.current.advance(length);
        if let Some(remaining) = &mut this.remaining {
            *remaining = remaining.saturating_sub(length as u64);
            // The permit is closed here, since the caller may stop reading
            // after the last byte.
            if *remaining == 0 {
                this.close_permit(this.outcome);
            }
        }
        Poll::Ready(Ok(()))
    }
}
