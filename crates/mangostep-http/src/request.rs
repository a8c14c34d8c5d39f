use bytes::{Bytes, BytesMut};

use crate::{
    MessageFault, MessageLimits, RequestHead,
    body::BodyDecoder,
    head::{request_framing, take_request_head},
};

/// A complete request from a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Body without its framing.
    pub body: Bytes,
}

/// Reads the successive requests of one connection.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: MessageLimits,
    partial: Option<(RequestHead, BodyDecoder)>,
    continue_due: bool,
}

impl RequestDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: MessageLimits) -> Self {
        RequestDecoder {
            limits,
            partial: None,
            continue_due: false,
        }
    }

    /// Removes the next request from the buffer; `None` until it is complete.
    ///
    /// # Errors
    ///
    /// Fails when the request is malformed or exceeds a limit. The end of the
    /// request is then unknown, so the connection must be closed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<CallerRequest>, MessageFault> {
        if self.partial.is_none() {
            skip_empty_lines(buffer);
            let Some(head) = take_request_head(buffer, self.limits.head_bytes)? else {
                return Ok(None);
            };
            let body = BodyDecoder::new(request_framing(&head)?, self.limits.body_bytes)?;
            self.continue_due = head.expects_continue() && buffer.is_empty();
            self.partial = Some((head, body));
        }
        let Some((_, body)) = self.partial.as_mut() else {
            return Ok(None);
        };
        let Some(body) = body.decode(buffer)? else {
            return Ok(None);
        };
        self.continue_due = false;
        let head = self.partial.take().map(|(head, _)| head);
        Ok(head.map(|head| CallerRequest { head, body }))
    }

    /// Whether the head of the current request has been read but not yet its
    /// whole body.
    pub fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// Bytes of the current request's body that have been received.
    pub fn body_received(&self) -> u64 {
        self.partial.as_ref().map_or(0, |(_, body)| body.received())
    }

    /// Bytes of memory that the body of the current request takes, or will take
    /// once it is complete; 0 before its head has been read.
    pub fn body_memory(&self) -> u64 {
        self.partial.as_ref().map_or(0, |(_, body)| body.memory())
    }

    /// Whether a `100 Continue` response is due before the caller sends the
    /// body; `true` only once per request.
    pub fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.continue_due)
    }
}

fn skip_empty_lines(buffer: &mut BytesMut) {
    let empty = buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n'));
    let length = empty.count();
    if length > 0 {
        let _ = buffer.split_to(length);
    }
}
