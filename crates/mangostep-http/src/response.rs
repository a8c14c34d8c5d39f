use bytes::{Buf, Bytes, BytesMut};

use crate::{
    MessageFault, MessageLimits, ResponseHead,
    body::{BodyDecoder, BodyFraming},
    head::{response_framing, take_response_head},
};

/// A complete response from a backend server.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Body without its framing.
    pub body: Bytes,
    /// Whether the connection can be reused for another request.
    pub keeps_connection: bool,
}

/// Reads the responses on a connection to a backend server.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: MessageLimits,
    is_head_request: bool,
    partial: Option<(ResponseHead, BodyDecoder)>,
    /// Number of informational responses that were skipped.
    informational: u32,
}

/// The bytes that every response head starts with.
const HEAD_PREFIX: &[u8] = b"HTTP/1.";

/// Maximum number of informational responses before a response; servers send
/// one or two.
const INFORMATIONAL_MAX: u32 = 16;

impl ResponseDecoder {
    /// Creates a decoder for the response to a request. Set `is_head_request`
    /// for a HEAD request, whose response has no body.
    pub fn new(limits: MessageLimits, is_head_request: bool) -> Self {
        ResponseDecoder {
            limits,
            is_head_request,
            partial: None,
            informational: 0,
        }
    }

    /// Removes the next response from the buffer; `None` until it is complete.
    /// Informational (1xx) responses are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the response is malformed or exceeds a limit.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ServerResponse>, MessageFault> {
        loop {
            if let Some((_, body)) = self.partial.as_mut() {
                let Some(body) = body.decode(buffer)? else {
                    return Ok(None);
                };
                return Ok(self.complete(body, true));
            }
            let Some(head) = take_response_head(buffer, self.limits.head_bytes)? else {
                return Ok(None);
            };
            if head.status.is_informational() {
                self.informational += 1;
                if self.informational > INFORMATIONAL_MAX {
                    return Err(MessageFault::malformed(
                        "informational responses without end",
                    ));
                }
                continue;
            }
            let framing = response_framing(&head, self.is_head_request)?;
            let body_bytes = match framing {
                BodyFraming::Length(_) => self.limits.body_bytes,
                BodyFraming::Chunked | BodyFraming::UntilClose => self.limits.unsized_body_bytes,
            };
            let body = BodyDecoder::new(framing, body_bytes)?;
            self.partial = Some((head, body));
        }
    }

    /// Returns the response whose end is the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails with [`MessageFault::Truncated`] when no response head was read
    /// or the body's framing requires more bytes.
    pub fn finish(&mut self) -> Result<ServerResponse, MessageFault> {
        let body = self.partial.as_mut().and_then(|(_, body)| body.finish());
        let body = body.ok_or(MessageFault::Truncated)?;
        self.complete(body, false).ok_or(MessageFault::Truncated)
    }

    /// Discards a malformed response and all bytes before the next response
    /// head; returns whether there is one in the buffer.
    pub fn resume(&mut self, buffer: &mut BytesMut) -> bool {
        self.partial = None;
        let candidates = buffer.windows(HEAD_PREFIX.len()).skip(1);
        let next = candidates
            .into_iter()
            .position(|bytes| bytes == HEAD_PREFIX);
        match next {
            Some(index) => buffer.advance(index + 1),
            None => buffer.clear(),
        }
        next.is_some()
    }

    fn complete(&mut self, body: Bytes, is_framed: bool) -> Option<ServerResponse> {
        let (head, _) = self.partial.take()?;
        let keeps_connection = is_framed && head.keeps_connection();
        Some(ServerResponse {
            head,
            body,
            keeps_connection,
        })
    }
}
