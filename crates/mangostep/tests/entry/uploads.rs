//! Callers that send more and longer bodies than a host can hold.

use std::{net::SocketAddr, time::Duration};

use {
    standins::entry_fleet::EntryBounds,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

use crate::fixture::{EntryFixture, TEST_TIMEOUT};

/// Memory of the host, in MiB.
const MEMORY_MB: u64 = 96;

/// Size of one upload, in bytes: a host holds two of them.
const UPLOAD_BYTES: usize = 11 << 20;

/// Number of uploads at once.
const UPLOADS: usize = 12;

/// Size of the pieces in which an upload is sent.
const PIECE_BYTES: usize = 512 << 10;

/// Sends an upload in pieces, and returns the head of the response.
async fn upload(front: SocketAddr, id: String, is_chunked: bool) -> String {
    let mut stream = TcpStream::connect(front).await.expect("the host listens");
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {UPLOAD_BYTES}"),
    };
    let head = format!(
        "POST /book-ledger/1 HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 8000\r\nauthorization: Bearer north-key\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("is sent");
    let (mut reader, mut writer) = stream.split();
    let send = async {
        let mut piece = vec![b'u'; PIECE_BYTES];
        if is_chunked {
            piece.splice(0..0, format!("{PIECE_BYTES:x}\r\n").into_bytes());
            piece.extend_from_slice(b"\r\n");
        }
        for _ in 0..UPLOAD_BYTES / PIECE_BYTES {
            writer.write_all(&piece).await?;
            sleep(Duration::from_millis(10)).await;
        }
        match is_chunked {
            true => writer.write_all(b"0\r\n\r\n").await,
            false => Ok(()),
        }
    };
    let read = async {
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            let mut bytes = [0; 1024];
            match reader.read(&mut bytes).await {
                Ok(length) if length > 0 => head.extend_from_slice(&bytes[..length]),
                _ => break,
            }
        }
        String::from_utf8_lossy(&head).to_lowercase()
    };
    // The host may refuse the upload before its end, and reads on for a while.
    let (_, head) = timeout(TEST_TIMEOUT, async { tokio::join!(send, read) })
        .await
        .expect("the upload ends");
    head
}

/// Uploads at once took the host over its memory: bodies that were being
/// received counted against no bound.
#[tokio::test]
async fn uploads_stay_within_the_memory_of_the_host() {
    for is_chunked in [false, true] {
        let fixture = EntryFixture::open_with(EntryBounds {
            stop_grace: Duration::from_secs(2),
            memory_mb: MEMORY_MB,
            ..Default::default()
        })
        .await;
        let front = fixture.front();
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|number| tokio::spawn(upload(front, format!("u{number}"), is_chunked)))
            .collect();
        for number in 0..20 {
            sleep(Duration::from_millis(10)).await;
            let id = format!("b{number}");
            let booking = fixture
                .request("POST", "/book-ledger/1", &id, "north-key")
                .await;
            assert_eq!(booking.status, 200, "bookings are served meanwhile");
        }
        let mut served = 0;
        for (number, upload) in uploads.into_iter().enumerate() {
            let head = upload.await.expect("the upload ends");
            let arrivals = fixture.arrivals_of(&format!("u{number}")).len();
            match head.split(' ').nth(1) {
                Some("200") => served += 1,
                Some("503") => {
                    assert!(head.contains("retry-after: "), "{head}");
                    assert_eq!(arrivals, 0, "a refused upload reaches no server");
                }
                _ => panic!("upload {number} got no response: {head:?}"),
            }
        }
        assert!(served >= 1, "uploads that fit are served");
        let peak = fixture.peak_memory();
        assert!(
            peak <= MEMORY_MB << 20,
            "peak of {peak} bytes, chunked: {is_chunked}"
        );
        println!("chunked: {is_chunked}, served {served} of {UPLOADS}, peak {peak} bytes");
        fixture.close();
    }
}
