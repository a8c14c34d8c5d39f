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
        forward::TryFailure,
        headers::{connection_options, is_dropped},
        running::RunningGuard,
    },
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome},
};

/// An answer of at most so many bytes is held until it is whole, so that an
/// idempotent request whose answer was cut can be sent again.
const HELD_ANSWER_BYTES: u64 = 64 << 10;

/// What a request holds until its answer ends.
pub(crate) struct OpenAnswer<'r> {
    pub(crate) pump: Option<BodyPump<'r>>,
    pub(crate) permit: OpenPermit,
    pub(crate) pool: PoolHandle,
    pub(crate) running: RunningGuard,
}

/// Bounds of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerLimits {
    /// Most bytes of an answer of unknown length.
    pub(crate) unsized_bytes: u64,
    /// Time to the end of the answer.
    pub(crate) time_left: Duration,
    /// Whether the request asked for the head alone.
    pub(crate) is_head: bool,
}

/// Builds the caller's answer from a backend server's.
///
/// A long answer with a length is streamed: when it is cut, the caller sees
/// that bytes are missing. One without is held until it is whole, since
/// Rocket would end it cleanly where it was cut.
pub(crate) async fn relay<'r>(
    answer: reqwest::Response,
    open: OpenAnswer<'r>,
    limits: AnswerLimits,
) -> Result<Response<'r>, TryFailure> {
    let mut response = copy_head(&answer);
    let outcome = ServerOutcome::from_status(answer.status().as_u16());
    let has_no_body = limits.is_head || matches!(answer.status().as_u16(), 204 | 304);
    let length = answer.content_length().filter(|_| !limits.is_head);
    if has_no_body {
        open.permit.close(outcome);
        return Ok(response);
    }
    let chunks = answer
        .bytes_stream()
        .map(|chunk| chunk.map_err(io::Error::other))
        .boxed();
    let mut reader = AnswerReader {
        chunks,
        current: Bytes::new(),
        left: length,
        pump: open.pump,
        permit: Some(open.permit),
        pool: open.pool,
        timeout: Box::pin(tokio::time::sleep(limits.time_left)),
        _running: open.running,
        outcome,
    };
    if let Some(length) = length.filter(|length| *length > HELD_ANSWER_BYTES) {
        response.set_header(Header::new("content-length", length.to_string()));
        response.set_streamed_body(reader);
        return Ok(response);
    }
    let whole = reader
        .read_whole(limits.unsized_bytes.max(HELD_ANSWER_BYTES))
        .await?;
    response.set_sized_body(whole.len(), io::Cursor::new(whole));
    Ok(response)
}

fn copy_head(answer: &reqwest::Response) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(answer.status().as_u16()));
    let connection = answer.headers().get_all("connection");
    let listed = connection_options(connection.iter().filter_map(|value| value.to_str().ok()));
    for (name, value) in answer.headers() {
        let name = name.as_str();
        if is_dropped(name, &listed) || name == "transfer-encoding" {
            continue;
        }
        if let Ok(value) = value.to_str() {
            response.adjoin_header(Header::new(name.to_owned(), value.to_owned()));
        }
    }
    response
}

/// Reads an answer's body, and moves what is left of the request's body.
struct AnswerReader<'r> {
    chunks: BoxStream<'static, io::Result<Bytes>>,
    current: Bytes,
    /// Bytes that must still come, when the length is known.
    left: Option<u64>,
    pump: Option<BodyPump<'r>>,
    permit: Option<OpenPermit>,
    pool: PoolHandle,
    /// Ends an answer that does not end by itself.
    timeout: Pin<Box<Sleep>>,
    /// Held until the answer ends; only its drop matters.
    _running: RunningGuard,
    outcome: ServerOutcome,
}

impl AnswerReader<'_> {
    async fn read_whole(&mut self, most: u64) -> Result<BytesMut, TryFailure> {
        let failed = |refusal, end| Err(TryFailure { refusal, end });
        let mut whole = BytesMut::new();
        loop {
            match std::future::poll_fn(|cx| self.poll_chunk(cx)).await {
                Ok(None) => return Ok(whole),
                Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
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
            if whole.len() as u64 > most {
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
                self.end(ServerOutcome::CutAnswer);
                Poll::Ready(Err(err))
            }
            Poll::Ready(None) => {
                self.end(self.outcome);
                Poll::Ready(Ok(None))
            }
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if self.timeout.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.end(ServerOutcome::Timeout);
        self.pool.discard();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn end(&mut self, outcome: ServerOutcome) {
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
        if let Some(left) = &mut this.left {
            *left = left.saturating_sub(length as u64);
            // The caller may stop reading after the last byte.
            if *left == 0 {
                this.end(this.outcome);
            }
        }
        Poll::Ready(Ok(()))
    }
}
