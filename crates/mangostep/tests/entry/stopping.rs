//! Responses that callers are still receiving while the host stops.

use std::{io, net::SocketAddr, time::Duration};

use {
    standins::{AnswerMode, entry_fleet::EntryBounds},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

use crate::fixture::{EntryFixture, TEST_TIMEOUT};

/// Receive buffer of a caller, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Segment size, in bytes. Over the loopback device, sockets with segments of
/// the usual size there buffer more than a megabyte.
const SEGMENT_BYTES: u32 = 1_400;

/// Size of a body that the host hands to the kernel at once.
const SHORT_BODY_BYTES: usize = 12 << 10;

/// Size of a body that the kernel takes only while the caller reads.
const LONG_BODY_BYTES: usize = 12 << 20;

/// Size of the pieces in which a slow caller reads.
const PIECE_BYTES: usize = 16 << 10;

/// Connects as a caller with small buffers.
pub async fn connect(front: SocketAddr) -> TcpStream {
    let open = || -> io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
        Ok(socket)
    };
    let socket = open().expect("the socket takes the options");
    socket.connect(front).await.expect("the host listens")
}

pub async fn send_lookup(stream: &mut TcpStream, id: &str) {
    let request = format!(
        "GET /look-ledger/1 HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 8000\r\nauthorization: Bearer north-key\r\n\r\n"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the host accepts the request");
}

/// Reads until the host closes the connection. Returns the number of bytes
/// after the head of the response, and how the connection ended.
async fn read_body(stream: &mut TcpStream) -> (usize, io::Result<()>) {
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let end = read.expect("the host closes the connection").map(drop);
    (body_length(&bytes), end)
}

pub fn body_length(bytes: &[u8]) -> usize {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    head.map_or(0, |head| bytes.len() - head - 4)
}

/// A request crossed the close of its connection, and the kernel reset the
/// connection while the caller was receiving the last response.
#[tokio::test]
async fn last_response_is_delivered_though_a_request_crosses_the_close() {
    let fixture = EntryFixture::open_with_work(Duration::from_millis(300)).await;
    fixture.set_modes(AnswerMode::Sized(SHORT_BODY_BYTES));
    let mut caller = connect(fixture.front()).await;
    send_lookup(&mut caller, "r1").await;
    sleep(Duration::from_millis(100)).await;
    fixture.terminate();
    sleep(Duration::from_millis(600)).await;
    send_lookup(&mut caller, "r2").await;
    sleep(Duration::from_millis(100)).await;
    let (length, end) = read_body(&mut caller).await;
    assert_eq!(
        length, SHORT_BODY_BYTES,
        "the connection ended with {end:?}"
    );
    end.expect("the connection is closed in order");
    assert_eq!(fixture.arrivals_of("r2").len(), 0);
    fixture.close();
}

/// The same with a connection that the host closes after a refusal: the rest
/// of the request arrives after the response was written.
#[tokio::test]
async fn refusal_is_delivered_though_the_rest_of_the_request_arrives() {
    let fixture = EntryFixture::open().await;
    let mut caller = connect(fixture.front()).await;
    let malformed = caller
        .write_all(b"POST /book-ledger/1 FTP/9.9\r\n\r\n")
        .await;
    malformed.expect("the host accepts the bytes");
    sleep(Duration::from_millis(200)).await;
    send_lookup(&mut caller, "r1").await;
    sleep(Duration::from_millis(200)).await;
    send_lookup(&mut caller, "r2").await;
    let mut text = String::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_string(&mut text)).await;
    let end = read.expect("the host closes the connection");
    end.expect("the connection is closed in order");
    assert!(text.starts_with("HTTP/1.1 400"), "{text:?}");
    fixture.close();
}

/// The process exited while it wrote a response, since the request no longer
/// counted as in flight.
#[tokio::test]
async fn response_in_writing_is_delivered_before_the_host_exits() {
    let stop_grace = Duration::from_secs(4);
    // The host accepts no more requests 700 ms before the end of the grace
    // period, and exits 300 ms before it at the latest.
    let end_of_read = Duration::from_millis(3_580);
    let fixture = EntryFixture::open_with(EntryBounds {
        stop_grace,
        ..Default::default()
    })
    .await;
    fixture.set_modes(AnswerMode::Sized(LONG_BODY_BYTES));
    let mut caller = connect(fixture.front()).await;
    send_lookup(&mut caller, "r1").await;
    sleep(Duration::from_millis(100)).await;
    fixture.terminate();
    let started = Instant::now();
    let mut bytes = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    let end = loop {
        let share = bytes.len() as f64 / LONG_BODY_BYTES as f64;
        sleep_until(started + end_of_read.mul_f64(share.min(1.0))).await;
        let read = timeout(TEST_TIMEOUT, caller.read(&mut piece)).await;
        match read.expect("the host writes on") {
            Ok(0) => break Ok(()),
            Ok(length) => bytes.extend_from_slice(&piece[..length]),
            Err(err) => break Err(err),
        }
    };
    assert_eq!(body_length(&bytes), LONG_BODY_BYTES, "ended with {end:?}");
    fixture.close();
}
