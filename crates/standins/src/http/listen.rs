use std::{net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections indefinitely.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    accepted: impl Fn(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => accepted(stream, source),
            Err(err) => {
                eprintln!("accept: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
