use std::{io, mem::MaybeUninit, net::SocketAddr};

use {
    bytes::BytesMut,
    socket2::{SockRef, TcpKeepalive},
    tokio::net::TcpStream,
};

use crate::prelude::*;

/// Maximum time to connect to a backend server: many round trips between
/// zones. After a lost packet, which is retransmitted after one second,
/// another server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without acknowledgement of sent data after which a connection is
/// closed, so that unresponsive connections are detected.
const USER_TIMEOUT: Duration = Duration::from_millis(900);

/// Size of a request, in bytes, up to which a server's buffers hold it even if
/// the server does not read. The kernel takes a server that does not read a
/// longer one for unresponsive.
const BUFFERED_REQUEST_BYTES_MAX: usize = 16 << 10;

/// Idle time before the first keep-alive probe, and the interval between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection so that an unresponsive peer is detected
/// within seconds; while data waits for a peer that does not read, only after
/// `user_timeout`.
pub(crate) fn configure_socket(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// A connection to a backend server.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    pub(crate) stream: TcpStream,
    pub(crate) buffer: BytesMut,
    /// Time of the last response. `None` for a new connection.
    pub(crate) last_used: Option<MonotonicTime>,
    /// Time for which the server keeps the connection open without a request,
    /// if announced.
    pub(crate) idle_limit: Option<Duration>,
    /// `TCP_USER_TIMEOUT` of the socket.
    user_timeout: Duration,
}

impl ServerConnection {
    pub(crate) async fn connect(address: SocketAddr, time_left: Duration) -> io::Result<Self> {
        let timeout = CONNECT_TIMEOUT.min(time_left);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream, USER_TIMEOUT)?;
        Ok(ServerConnection {
            stream,
            buffer: BytesMut::new(),
            last_used: None,
            idle_limit: None,
            user_timeout: USER_TIMEOUT,
        })
    }

    /// Prepares the connection for a request. A server may read a long one late
    /// while it is at work, so that only the request's own time bounds the send.
    pub(crate) fn prepare(&mut self, request_bytes: usize, time_left: Duration) -> io::Result<()> {
        let timeout = match request_bytes > BUFFERED_REQUEST_BYTES_MAX {
            true => time_left.max(USER_TIMEOUT),
            false => USER_TIMEOUT,
        };
        if std::mem::replace(&mut self.user_timeout, timeout) == timeout {
            return Ok(());
        }
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))
    }

    /// Whether the server closed or reset the idle connection. Leaves unread
    /// bytes in place.
    pub(crate) fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(length) => length == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether the idle connection is still open and has no unread bytes.
    pub(crate) fn is_open_and_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}
