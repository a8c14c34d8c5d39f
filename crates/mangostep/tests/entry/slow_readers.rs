//! Callers that read long responses slowly.

use std::{net::SocketAddr, time::Duration};

use {
    standins::{AnswerMode, entry_fleet::EntryBounds},
    tokio::{
        io::AsyncReadExt,
        time::{sleep, timeout},
    },
};

use crate::{
    fixture::{EntryFixture, TEST_TIMEOUT},
    stopping::{body_length, connect, send_lookup},
};

/// Memory of the host, in MiB.
const MEMORY_MB: u64 = 96;

/// Size of a response body, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Number of callers that read slowly at the same time. Twice their responses do
/// not fit into the host's memory.
const CALLERS: usize = 80;

/// Time before a caller reads.
const READ_DELAY: Duration = Duration::from_secs(2);

/// Sends a lookup and reads the response late. Returns its head and the length
/// of its body.
async fn read_late(front: SocketAddr, id: String) -> (String, usize) {
    let mut caller = connect(front).await;
    send_lookup(&mut caller, &id).await;
    sleep(READ_DELAY).await;
    let mut bytes = Vec::new();
    let is_complete = |bytes: &[u8]| {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(1024)]).to_lowercase();
        let length = text.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
        length.is_some_and(|length: usize| body_length(bytes) >= length)
    };
    while !is_complete(&bytes) {
        let read = timeout(TEST_TIMEOUT, caller.read_buf(&mut bytes)).await;
        match read.expect("the host writes on") {
            Ok(length) if length > 0 => {}
            _ => break,
        }
    }
    let head = String::from_utf8_lossy(&bytes[..bytes.len().min(256)]).to_lowercase();
    (head, body_length(&bytes))
}

/// Responses that waited for their callers counted against no bound, and the
/// host exceeded its memory.
#[tokio::test]
async fn responses_for_slow_callers_stay_within_the_memory_of_the_host() {
    let fixture = EntryFixture::open_with(EntryBounds {
        stop_grace: Duration::from_secs(2),
        memory_mb: MEMORY_MB,
        ..Default::default()
    })
    .await;
    fixture.set_modes(AnswerMode::Sized(BODY_BYTES));
    let first = fixture
        .request("GET", "/look-ledger/1", "first", "north-key")
        .await;
    assert_eq!(first.status, 200);
    let front = fixture.front();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(read_late(front, format!("d{number}"))))
        .collect();
    let mut served = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let (head, length) = caller.await.expect("the caller ends");
        let arrivals = fixture.arrivals_of(&format!("d{number}")).len();
        match head.split(' ').nth(1) {
            Some("200") => {
                assert_eq!(length, BODY_BYTES, "the response is whole");
                served += 1;
            }
            Some("503") => {
                assert!(head.contains("retry-after: "), "{head}");
                assert_eq!(arrivals, 0, "a refused request reaches no server");
            }
            _ => panic!("caller {number} got no response: {head:?}"),
        }
    }
    assert!(served >= 10, "{served} responses that fit are served");
    let peak = fixture.peak_memory();
    assert!(
        peak <= MEMORY_MB << 20,
        "peak of {peak} bytes, {served} served"
    );
    let later = fixture
        .request("GET", "/look-ledger/1", "later", "north-key")
        .await;
    assert_eq!(later.status, 200, "memory is free again");
    fixture.close();
}
