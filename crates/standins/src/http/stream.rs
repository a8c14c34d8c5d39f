use std::io;

use {
    bytes::{Buf, BytesMut},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    xxhash_rust::xxh3::Xxh3,
};

use crate::http::{HttpResponse, RequestBody, RequestHead, ResponseBody, TruncationPoint};

const HEAD_BYTES_MAX: usize = 256 << 10;
const FILL_PIECE_BYTES: usize = 64 << 10;

/// One connection of a client.
#[derive(Debug)]
pub(crate) struct HttpStream {
    stream: TcpStream,
    buffer: BytesMut,
}

impl HttpStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Small answers must not wait; a failure only costs time.
        let _ = stream.set_nodelay(true);
        HttpStream {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the head of the next request; `None` at the end of the stream.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            if let Some((head, length)) = RequestHead::parse(&self.buffer)? {
                self.buffer.advance(length);
                return Ok(Some(head));
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the whole body and stores its first bytes.
    pub(crate) async fn read_body(
        &mut self,
        head: &RequestHead,
        stored_bytes_max: usize,
    ) -> io::Result<RequestBody> {
        if head.header("expect").is_some() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        let mut reader = BodyReader {
            body: RequestBody::default(),
            hash: Xxh3::new(),
            stored_bytes_max,
        };
        if !head.is_chunked() {
            self.read_part(&mut reader, head.content_length()).await?;
            return Ok(reader.finish());
        }
        loop {
            let line = self.read_line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = u64::from_str_radix(size, 16).map_err(io::Error::other)?;
            if size == 0 {
                break;
            }
            self.read_part(&mut reader, size).await?;
            self.read_line().await?;
        }
        // Trailers end with an empty line.
        while !self.read_line().await?.is_empty() {}
        Ok(reader.finish())
    }

    async fn read_part(&mut self, reader: &mut BodyReader, length: u64) -> io::Result<()> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() && self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let take = left.min(self.buffer.len() as u64);
            let piece = self.buffer.split_to(take as usize);
            reader.push(&piece);
            left -= take;
        }
        Ok(())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.split_to(end + 2);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(16 << 10);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Waits until the client has closed the connection.
    ///
    /// It never returns once the client has pipelined another request.
    pub(crate) async fn closed(&mut self) {
        let mut byte = [0];
        if self.buffer.is_empty() && matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_)) {
            return;
        }
        std::future::pending::<()>().await;
    }

    /// Writes an answer, up to its truncation point.
    ///
    /// # Errors
    ///
    /// Truncation is reported as an error too; the connection must then be
    /// dropped.
    pub(crate) async fn write_response(&mut self, answer: &HttpResponse) -> io::Result<()> {
        let head = answer.head();
        if answer.truncation == Some(TruncationPoint::Header) {
            let half = &head.as_bytes()[..head.len() / 2];
            self.stream.write_all(half).await?;
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let whole = answer.body.length();
        let length = match answer.truncation {
            Some(_) => whole / 2,
            None => whole,
        };
        match &answer.body {
            ResponseBody::Bytes(bytes) => {
                let piece = &bytes[..length as usize];
                self.write_small(head, piece, answer.chunked).await?;
            }
            ResponseBody::Fill(_) => {
                self.stream.write_all(head.as_bytes()).await?;
                self.write_fill(length, answer.chunked).await?;
            }
        }
        if answer.truncation.is_some() {
            self.stream.flush().await?;
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if answer.chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Writes the head and the body at once, so that they share a packet.
    async fn write_small(&mut self, head: String, body: &[u8], chunked: bool) -> io::Result<()> {
        let mut bytes = head.into_bytes();
        if chunked && !body.is_empty() {
            bytes.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        } else {
            bytes.extend_from_slice(body);
        }
        self.stream.write_all(&bytes).await
    }

    async fn write_fill(&mut self, length: u64, chunked: bool) -> io::Result<()> {
        let piece = vec![b'm'; FILL_PIECE_BYTES];
        let mut left = length;
        while left > 0 {
            let take = left.min(piece.len() as u64) as usize;
            if chunked {
                let size = format!("{take:x}\r\n");
                self.stream.write_all(size.as_bytes()).await?;
            }
            self.stream.write_all(&piece[..take]).await?;
            if chunked {
                self.stream.write_all(b"\r\n").await?;
            }
            left -= take as u64;
        }
        Ok(())
    }

    /// Ends the connection with a reset.
    pub(crate) fn reset(self) {
        // If the option cannot be set, the connection closes with a FIN.
        let _ = self.stream.set_zero_linger();
    }
}

struct BodyReader {
    body: RequestBody,
    hash: Xxh3,
    stored_bytes_max: usize,
}

impl BodyReader {
    fn push(&mut self, piece: &[u8]) {
        let capacity = self.stored_bytes_max.saturating_sub(self.body.kept.len());
        let take = capacity.min(piece.len());
        self.body.kept.extend_from_slice(&piece[..take]);
        self.body.length += piece.len() as u64;
        self.hash.update(piece);
    }

    fn finish(self) -> RequestBody {
        RequestBody {
            hash: self.hash.digest(),
            ..self.body
        }
    }
}
