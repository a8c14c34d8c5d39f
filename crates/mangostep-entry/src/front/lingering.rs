use std::io;

use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

use crate::{context::HostPhase, prelude::*};

/// Longest time for which a closed connection is read: a caller may take as
/// long to read its last response as to read any other one.
const LINGER_TIME: Duration = Duration::from_secs(10);

/// Most bytes that are read and dropped from a closed connection.
const LINGER_BYTES_MAX: usize = 64 << 20;

/// Most closed connections that are held open for reading while the host
/// serves. Each of them takes a file descriptor.
const LINGERING_MAX: u64 = 256;

/// Size of the buffer for dropped bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Closes a connection without losing responses that the caller has not
/// received yet.
///
/// A socket that is closed with unread bytes, or that receives more after its
/// close, resets the connection, and the kernel discards what it has not
/// delivered. So only the sending side is closed, and requests that cross the
/// close are read and dropped until the caller closes its side too (RFC 9112,
/// section 9.6).
pub(super) async fn close_lingering(context: &HostContext, mut stream: TcpStream) {
    // Fails if the caller has reset the connection. It gets no response then.
    if stream.shutdown().await.is_err() {
        return;
    }
    let lingering = &context.lingering_connections;
    let is_serving = context.phase.get() == HostPhase::Serving;
    if is_serving && lingering.get() >= LINGERING_MAX {
        context.counters.count("linger-skipped", &[]);
        return;
    }
    lingering.set(lingering.get() + 1);
    // The caller's next connection does not depend on how this one ends.
    let _ = timeout(LINGER_TIME, discard_received(&stream)).await;
    lingering.set(lingering.get() - 1);
}

/// Reads and drops what the caller sends until it closes the connection.
async fn discard_received(stream: &TcpStream) -> io::Result<()> {
    let mut discarded = 0;
    while discarded < LINGER_BYTES_MAX {
        stream.readable().await?;
        match discard_available(stream) {
            Ok(0) => return Ok(()),
            Ok(bytes) => discarded += bytes,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

/// Drops bytes that have arrived. The buffer is on the stack, so that a
/// connection that waits takes no memory for it.
fn discard_available(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_BUFFER_BYTES])
}
