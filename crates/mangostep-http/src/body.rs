use bytes::{Buf, Bytes, BytesMut};

use crate::MessageFault;

/// Maximum length of a chunk-size line or a trailer line, in bytes.
const CHUNK_LINE_BYTES_MAX: usize = 4 << 10;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Reads one body and removes its framing.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: BodyState,
    limit: u64,
    body: BytesMut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
}

impl BodyDecoder {
    pub(crate) fn new(framing: BodyFraming, limit: u64) -> Result<Self, MessageFault> {
        let state = match framing {
            BodyFraming::Length(length) if length > limit => {
                return Err(MessageFault::BodyTooLarge);
            }
            BodyFraming::Length(length) => BodyState::Length(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Ok(BodyDecoder {
            state,
            limit,
            body: BytesMut::new(),
        })
    }

    /// Removes the bytes of the body from the buffer; returns the body once it
    /// is complete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, MessageFault> {
        loop {
            match self.state {
                BodyState::Length(remaining) => {
                    let remaining = self.take(buffer, remaining)?;
                    self.state = BodyState::Length(remaining);
                    return Ok((remaining == 0).then(|| self.take_body()));
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        self.state = match size {
                            0 => BodyState::Trailer,
                            size => BodyState::Chunk(size),
                        };
                    }
                    Ok(httparse::Status::Partial) => return Self::check_line_limit(buffer),
                    Err(_) => return Err(MessageFault::malformed("chunk size")),
                },
                BodyState::Chunk(remaining) => {
                    let remaining = self.take(buffer, remaining)?;
                    if remaining > 0 {
                        self.state = BodyState::Chunk(remaining);
                        return Ok(None);
                    }
                    self.state = BodyState::ChunkEnd;
                }
                BodyState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(MessageFault::malformed("chunk terminator"));
                    }
                    buffer.advance(2);
                    self.state = BodyState::ChunkSize;
                }
                BodyState::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        return Self::check_line_limit(buffer);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        return Ok(Some(self.take_body()));
                    }
                }
                BodyState::UntilClose => {
                    let available = buffer.len() as u64;
                    self.take(buffer, available)?;
                    return Ok(None);
                }
            }
        }
    }

    /// Bytes of the body that have been received.
    pub(crate) fn received(&self) -> u64 {
        self.body.len() as u64
    }

    /// Bytes of memory that the body takes: its declared length, or the memory
    /// allocated so far.
    pub(crate) fn memory(&self) -> u64 {
        let declared = match self.state {
            BodyState::Length(remaining) => self.body.len() as u64 + remaining,
            _ => 0,
        };
        declared.max(self.body.capacity() as u64)
    }

    /// Returns the body if it is framed by the end of the connection.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        (self.state == BodyState::UntilClose).then(|| self.take_body())
    }

    fn check_line_limit(buffer: &BytesMut) -> Result<Option<Bytes>, MessageFault> {
        match buffer.len() > CHUNK_LINE_BYTES_MAX {
            true => Err(MessageFault::malformed("line too long in a chunked body")),
            false => Ok(None),
        }
    }

    /// Moves at most `wanted` bytes from the buffer into the body; returns how
    /// many are still missing.
    fn take(&mut self, buffer: &mut BytesMut, wanted: u64) -> Result<u64, MessageFault> {
        let length =
            usize::try_from(wanted).map_or(buffer.len(), |wanted| wanted.min(buffer.len()));
        if self.body.len() as u64 + length as u64 > self.limit {
            return Err(MessageFault::BodyTooLarge);
        }
        if self.body.is_empty() && length as u64 == wanted {
            self.body = buffer.split_to(length);
        } else {
            let has_length = matches!(self.state, BodyState::Length(_));
            if has_length && self.body.is_empty() {
                // Growing by doubling would take up to twice the memory.
                self.body.reserve(usize::try_from(wanted).unwrap_or(length));
            }
            self.body.extend_from_slice(&buffer[..length]);
            buffer.advance(length);
        }
        Ok(wanted - length as u64)
    }

    fn take_body(&mut self) -> Bytes {
        std::mem::take(&mut self.body).freeze()
    }
}
