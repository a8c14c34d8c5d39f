use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use {
    bytes::{Buf, Bytes, BytesMut},
    futures::{StreamExt, stream::BoxStream},
    rocket::{Response, http::Header, http::Status},
    tokio::io::{AsyncRead, ReadBuf},
};

use crate::{
    front::{
        body::BodyPump,
        headers::{connection_options, is_dropped},
        running::RunningGuard,
    },
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome},
};

/// What a request holds until its answer ends.
pub(crate) struct OpenAnswer<'r> {
    pub(crate) pump: Option<BodyPump<'r>>,
    pub(crate) permit: OpenPermit,
    pub(crate) running: RunningGuard,
}

/// Builds the caller's answer from a backend server's.
///
/// An answer with a length is streamed: when it is cut, the caller sees that
/// bytes are missing. One without is held until it is whole, since Rocket
/// would end it cleanly where it was cut.
pub(crate) async fn relay<'r>(
    answer: reqwest::Response,
    open: OpenAnswer<'r>,
    unsized_bytes: u64,
    is_head: bool,
) -> Result<Response<'r>, Refusal> {
    let mut response = copy_head(&answer);
    let outcome = ServerOutcome::from_status(answer.status().as_u16());
    let has_no_body = is_head || matches!(answer.status().as_u16(), 204 | 304);
    let length = answer.content_length().filter(|_| !is_head);
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
        _running: open.running,
        outcome,
    };
    if let Some(length) = length {
        response.set_header(Header::new("content-length", length.to_string()));
        response.set_streamed_body(reader);
        return Ok(response);
    }
    let whole = reader.read_whole(unsized_bytes).await?;
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
    /// Held until the answer ends; only its drop matters.
    _running: RunningGuard,
    outcome: ServerOutcome,
}

impl AnswerReader<'_> {
    async fn read_whole(&mut self, most: u64) -> Result<BytesMut, Refusal> {
        let mut whole = BytesMut::new();
        loop {
            match std::future::poll_fn(|cx| self.poll_chunk(cx)).await {
                Ok(None) => return Ok(whole),
                Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
                Err(_) => return Err(Refusal::unknown(502, "answer-cut")),
            }
            if whole.len() as u64 > most {
                return Err(Refusal::unknown(502, "unsized-answer-too-large"));
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
            Poll::Pending => Poll::Pending,
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
