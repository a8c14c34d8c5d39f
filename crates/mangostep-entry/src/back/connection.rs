use std::{io, net::SocketAddr};

use {
    bytes::BytesMut,
    socket2::{SockRef, TcpKeepalive},
    tokio::net::TcpStream,
};

use crate::prelude::*;

/// Time to connect to a backend server: many passes between zones. A lost
/// packet is sent again after a second; another server is reached sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without acknowledged data after which a connection is broken; it
/// shows connections that went silent.
const USER_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before and between keep-alive probes of a silent connection.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes that break a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets a connection up so that silence is found within seconds.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PAUSE)
        .with_interval(KEEPALIVE_PAUSE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// A connection to one backend server.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    pub(crate) stream: TcpStream,
    pub(crate) buffer: BytesMut,
    /// When it last carried an answer; none while it is new.
    pub(crate) used: Option<MonotonicTime>,
    /// Time that the server keeps it open without a request, if told.
    pub(crate) idle_limit: Option<Duration>,
}

impl ServerConnection {
    /// Connects to a backend server.
    pub(crate) async fn connect(address: SocketAddr, time_left: Duration) -> io::Result<Self> {
        let timeout = CONNECT_TIMEOUT.min(time_left);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream)?;
        Ok(ServerConnection {
            stream,
            buffer: BytesMut::new(),
            used: None,
            idle_limit: None,
        })
    }

    /// Whether nothing arrived on the idle connection and it is still open.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}
