use bytes::{Buf, Bytes, BytesMut};

use crate::MessageFault;

/// Longest line of a chunk's size or of a trailer, in bytes.
const CHUNK_LINE_MAX: usize = 4 << 10;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Reads one body.
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

    /// Takes what belongs to the body off the buffer; returns the body once
    /// it is whole.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, MessageFault> {
        loop {
            match self.state {
                BodyState::Length(left) => {
                    let left = self.take(buffer, left)?;
                    self.state = BodyState::Length(left);
                    return Ok((left == 0).then(|| self.whole()));
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        self.state = match size {
                            0 => BodyState::Trailer,
                            size => BodyState::Chunk(size),
                        };
                    }
                    Ok(httparse::Status::Partial) => return Self::more(buffer),
                    Err(_) => return Err(MessageFault::malformed("size of a chunk")),
                },
                BodyState::Chunk(left) => {
                    let left = self.take(buffer, left)?;
                    if left > 0 {
                        self.state = BodyState::Chunk(left);
                        return Ok(None);
                    }
                    self.state = BodyState::ChunkEnd;
                }
                BodyState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(MessageFault::malformed("end of a chunk"));
                    }
                    buffer.advance(2);
                    self.state = BodyState::ChunkSize;
                }
                BodyState::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        return Self::more(buffer);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        return Ok(Some(self.whole()));
                    }
                }
                BodyState::UntilClose => {
                    let all = buffer.len() as u64;
                    self.take(buffer, all)?;
                    return Ok(None);
                }
            }
        }
    }

    /// The body, when the end of the connection is its end.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        (self.state == BodyState::UntilClose).then(|| self.whole())
    }

    fn more(buffer: &BytesMut) -> Result<Option<Bytes>, MessageFault> {
        match buffer.len() > CHUNK_LINE_MAX {
            true => Err(MessageFault::malformed("line in a chunked body")),
            false => Ok(None),
        }
    }

    /// Moves at most `wanted` bytes into the body; returns how many are
    /// missing.
    fn take(&mut self, buffer: &mut BytesMut, wanted: u64) -> Result<u64, MessageFault> {
        let length = usize::try_from(wanted).map_or(buffer.len(), |most| most.min(buffer.len()));
        if self.body.len() as u64 + length as u64 > self.limit {
            return Err(MessageFault::BodyTooLarge);
        }
        if self.body.is_empty() {
            self.body = buffer.split_to(length);
        } else {
            self.body.extend_from_slice(&buffer[..length]);
            buffer.advance(length);
        }
        Ok(wanted - length as u64)
    }

    fn whole(&mut self) -> Bytes {
        std::mem::take(&mut self.body).freeze()
    }
}
