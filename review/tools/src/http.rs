//! The parts of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The start line and headers of a message. Header names are in lower case.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The number in the header `content-length`, if there is one.
    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn closes(&self) -> bool {
        let value = self.header("connection");
        value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A missing option only makes the stand-in slower.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, wait)?))
    }

    fn read_more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65_536];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a head. `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if self.read_more()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body with a known length.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// What a client got for one request.
pub struct Answer {
    pub status: u16,
    pub is_signed: bool,
    pub closes: bool,
    pub body: Vec<u8>,
}

/// Sends a request and reads its answer. An error means that the connection
/// ended, or the time was over, before the answer was whole.
pub fn exchange(
    connection: &mut Connection,
    head: &str,
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + within;
    connection.stream.set_write_timeout(Some(within))?;
    connection.stream.write_all(head.as_bytes())?;
    connection.stream.write_all(body)?;
    let left = end.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    let answer = connection.read_head()?;
    let answer = answer.ok_or(ErrorKind::UnexpectedEof)?;
    let status = answer.start.split(' ').nth(1);
    let status = status.and_then(|text| text.parse().ok());
    let status = status.ok_or(ErrorKind::InvalidData)?;
    let length = answer.length().ok_or(ErrorKind::InvalidData)?;
    Ok(Answer {
        status,
        is_signed: answer.header("x-response-signature").is_some(),
        closes: answer.closes(),
        body: connection.read_body(length)?,
    })
}
