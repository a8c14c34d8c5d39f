use bytes::{Bytes, BytesMut};

use crate::{
    MessageFault, MessageLimits, RequestHead,
    body::BodyDecoder,
    head::{request_framing, take_request_head},
};

/// A whole request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Start line and headers.
    pub head: RequestHead,
    /// Body without its framing.
    pub body: Bytes,
}

/// Reads the requests of one connection, one behind the other.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: MessageLimits,
    partial: Option<(RequestHead, BodyDecoder)>,
    continue_due: bool,
}

impl RequestDecoder {
    /// Opens a decoder at the start of a connection.
    pub fn new(limits: MessageLimits) -> Self {
        RequestDecoder {
            limits,
            partial: None,
            continue_due: false,
        }
    }

    /// Takes the next request off the buffer; none until it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no request or pass a limit; the connection
    /// cannot carry another one.
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

    /// Whether a head was read whose body is not whole.
    pub fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the caller waits for leave to send the body; asked once.
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
