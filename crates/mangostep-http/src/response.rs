use bytes::{Buf, Bytes, BytesMut};

use crate::{
    MessageFault, MessageLimits, ResponseHead,
    body::BodyDecoder,
    head::{response_framing, take_response_head},
};

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Start line and headers.
    pub head: ResponseHead,
    /// Body without its framing.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub keeps_connection: bool,
}

/// Reads the answers on a connection to a backend server.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: MessageLimits,
    is_head_request: bool,
    partial: Option<(ResponseHead, BodyDecoder)>,
}

/// How every head of an answer begins.
const HEAD_START: &[u8] = b"HTTP/1.";

impl ResponseDecoder {
    /// Opens a decoder for the answer to a request; `is_head_request` tells
    /// that its answer has no body.
    pub fn new(limits: MessageLimits, is_head_request: bool) -> Self {
        ResponseDecoder {
            limits,
            is_head_request,
            partial: None,
        }
    }

    /// Takes the next answer off the buffer; none until it is whole.
    /// Informational answers are passed over.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no answer or pass a limit.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ServerResponse>, MessageFault> {
        loop {
            if let Some((_, body)) = self.partial.as_mut() {
                let Some(body) = body.decode(buffer)? else {
                    return Ok(None);
                };
                return Ok(self.whole(body, true));
            }
            let Some(head) = take_response_head(buffer, self.limits.head_bytes)? else {
                return Ok(None);
            };
            if head.status.is_informational() {
                continue;
            }
            let framing = response_framing(&head, self.is_head_request)?;
            let body = BodyDecoder::new(framing, self.limits.body_bytes)?;
            self.partial = Some((head, body));
        }
    }

    /// Takes the answer that ends with its connection.
    ///
    /// # Errors
    ///
    /// Fails when the answer was cut.
    pub fn finish(&mut self) -> Result<ServerResponse, MessageFault> {
        let body = self.partial.as_mut().and_then(|(_, body)| body.finish());
        let body = body.ok_or(MessageFault::Truncated)?;
        self.whole(body, false).ok_or(MessageFault::Truncated)
    }

    /// Drops a broken answer and all bytes up to the next head, if there is
    /// one; tells whether there is.
    pub fn resume(&mut self, buffer: &mut BytesMut) -> bool {
        self.partial = None;
        let starts = buffer.windows(HEAD_START.len()).skip(1);
        let next = starts.into_iter().position(|bytes| bytes == HEAD_START);
        match next {
            Some(at) => buffer.advance(at + 1),
            None => buffer.clear(),
        }
        next.is_some()
    }

    fn whole(&mut self, body: Bytes, is_framed: bool) -> Option<ServerResponse> {
        let (head, _) = self.partial.take()?;
        let keeps_connection = is_framed && head.keeps_connection();
        Some(ServerResponse {
            head,
            body,
            keeps_connection,
        })
    }
}
