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

/// A request of a [`KeptCaller`].
#[derive(Clone, Copy, Debug)]
pub struct CallerAsk<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Id of the request.
    pub id: &'a str,
    /// Key of the workspace.
    pub key: &'a str,
    /// Milliseconds that the caller waits.
    pub deadline_ms: u32,
}

impl Default for CallerAsk<'_> {
    fn default() -> Self {
        CallerAsk {
            method: "GET",
            path: "/look/1",
            id: "r1",
            key: "north-key",
            deadline_ms: 1_500,
        }
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Status.
    pub status: u16,
    /// Id that the answer echoes.
    pub id: Option<String>,
    /// Whether a backend server signed it.
    pub is_signed: bool,
    /// Whether the host closes the connection after it.
    pub closes: bool,
    /// Seconds after which the caller may come back.
    pub retry_after: Option<f64>,
    /// Body.
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

/// A connection of a caller to an entry host, for any number of requests.
#[derive(Debug)]
pub struct KeptCaller {
    stream: TcpStream,
    buffer: BytesMut,
}

impl KeptCaller {
    /// Connects to an entry host.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(KeptCaller {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or no answer comes within `limit`.
    pub async fn ask(&mut self, ask: CallerAsk<'_>, limit: Duration) -> io::Result<CallerAnswer> {
        self.send(ask).await?;
        self.read(limit).await
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends.
    pub async fn send(&mut self, ask: CallerAsk<'_>) -> io::Result<()> {
        let CallerAsk {
            method,
            path,
            id,
            key,
            deadline_ms,
        } = ask;
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
    /// Fails when the connection ends, an answer is malformed or none comes
    /// within `limit`.
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
