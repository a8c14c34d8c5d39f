use std::{io, net::SocketAddr, time::Duration};

use {
    bytes::BytesMut,
    mangostep_http::{MessageLimits, ResponseDecoder, ServerResponse},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// The parameters of a request on a [`CallerConnection`].
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with an optional query.
    pub path: &'a str,
    /// Value of the header `x-request-id`.
    pub id: &'a str,
    /// Key of the workspace, sent as a bearer token.
    pub key: &'a str,
    /// Deadline that is sent to the host, in milliseconds.
    pub deadline_ms: u32,
}

impl Default for RequestSpec<'_> {
    fn default() -> Self {
        RequestSpec {
            method: "GET",
            path: "/look/1",
            id: "r1",
            key: "north-key",
            deadline_ms: 1_500,
        }
    }
}

/// An answer on a [`CallerConnection`].
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Request id that the answer echoes, if any.
    pub id: Option<String>,
    /// Whether the answer has the signature of a backend server.
    pub is_signed: bool,
    /// Whether the host closes the connection after this answer.
    pub closes: bool,
    /// Value of the header `retry-after`, in seconds.
    pub retry_after: Option<f64>,
    /// Body; invalid UTF-8 is replaced.
    pub body: String,
}

impl CallerAnswer {
    fn of(answer: &ServerResponse) -> Self {
        let head = &answer.head;
        CallerAnswer {
            status: head.status.as_u16(),
            id: head.header("x-request-id").map(str::to_owned),
            is_signed: head.header("x-response-signature").is_some(),
            closes: !answer.keeps_connection,
            retry_after: head
                .header("retry-after")
                .and_then(|text| text.parse().ok()),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        }
    }
}

/// A persistent connection of a caller to an entry host.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl CallerConnection {
    /// Connects to an entry host.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(CallerConnection {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Sends a request and waits for the next answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes, the answer is malformed, or `limit`
    /// passes without data from the host.
    pub async fn request(
        &mut self,
        spec: RequestSpec<'_>,
        limit: Duration,
    ) -> io::Result<CallerAnswer> {
        self.send(spec).await?;
        self.read(limit).await
    }

    /// Sends a request without waiting for its answer, so that several can be
    /// pipelined.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub async fn send(&mut self, spec: RequestSpec<'_>) -> io::Result<()> {
        let RequestSpec {
            method,
            path,
            id,
            key,
            deadline_ms,
        } = spec;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {deadline_ms}\r\nauthorization: Bearer {key}\r\n\
             content-length: 0\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await
    }

    /// Waits for the next answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes, the answer is malformed, or `limit`
    /// passes without data from the host.
    pub async fn read(&mut self, limit: Duration) -> io::Result<CallerAnswer> {
        let mut decoder = ResponseDecoder::new(MessageLimits::default(), false);
        loop {
            let decoded = decoder.decode(&mut self.buffer);
            if let Some(answer) = decoded.map_err(io::Error::other)? {
                return Ok(CallerAnswer::of(&answer));
            }
            let read = timeout(limit, self.stream.read_buf(&mut self.buffer)).await;
            let length = read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
