//! Decoding of requests and responses from arbitrary and malformed bytes.

use {
    bolero::check,
    bytes::BytesMut,
    mangostep_http::{MessageFault, MessageLimits, RequestDecoder, ResponseDecoder},
    mangostep_testing::seeded,
};

const PIPELINED: &[u8] = b"POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc\
    PUT /d/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n\
    GET /e HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

fn read_requests(parts: &[&[u8]]) -> Result<Vec<(String, Vec<u8>, bool)>, MessageFault> {
    let mut decoder = RequestDecoder::new(MessageLimits::default());
    let mut buffer = BytesMut::new();
    let mut requests = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        while let Some(request) = decoder.decode(&mut buffer)? {
            let keeps_connection = request.head.keeps_connection();
            requests.push((request.head.target, request.body.to_vec(), keeps_connection));
        }
    }
    Ok(requests)
}

#[test]
fn split_reads_do_not_change_requests() {
    let whole = read_requests(&[PIPELINED]).expect("the bytes are well formed");
    let expected = [
        ("/a/b?c", &b"abc"[..], true),
        ("/d/", b"hello", true),
        ("/e", b"", false),
    ];
    assert!(
        whole
            .iter()
            .map(|(t, b, k)| (t.as_str(), b.as_slice(), *k))
            .eq(expected)
    );
    for at in 0..PIPELINED.len() {
        let (first, second) = PIPELINED.split_at(at);
        assert_eq!(
            read_requests(&[first, second]).as_ref(),
            Ok(&whole),
            "split at {at}"
        );
    }
}

#[test]
fn ambiguously_framed_requests_are_refused() {
    let heads = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for head in heads {
        let bytes = format!("POST / HTTP/1.1\r\nHost: x\r\n{head}\r\n\r\nabc");
        let fault = read_requests(&[bytes.as_bytes()]).expect_err(head);
        assert!(
            matches!(fault, MessageFault::Malformed { .. }),
            "{head}: {fault}"
        );
    }
}

#[test]
fn oversized_requests_are_refused() {
    let long = format!("GET / HTTP/1.1\r\nhost: {}\r\n\r\n", "x".repeat(20_000));
    assert_eq!(
        read_requests(&[long.as_bytes()]),
        Err(MessageFault::HeadTooLarge)
    );
    let large = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n";
    assert_eq!(read_requests(&[large]), Err(MessageFault::BodyTooLarge));
}

#[test]
fn arbitrary_bytes_never_panic() {
    let inputs = check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u8>>(20_000));
    inputs.for_each(|bytes: &Vec<u8>| {
        let _ = read_requests(&[bytes]);
        let mut decoder = ResponseDecoder::new(MessageLimits::default(), false);
        let mut buffer = BytesMut::from(bytes.as_slice());
        while decoder.decode(&mut buffer).is_err() && decoder.resume(&mut buffer) {}
        let _ = decoder.finish();
    });
}

fn response_decoder() -> ResponseDecoder {
    ResponseDecoder::new(MessageLimits::default(), false)
}

#[test]
fn truncated_response_is_never_complete() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    for length in 0..bytes.len() {
        let mut decoder = response_decoder();
        let mut buffer = BytesMut::from(&bytes[..length]);
        assert!(matches!(decoder.decode(&mut buffer), Ok(None)));
        assert_eq!(
            decoder.finish().expect_err("the response is truncated"),
            MessageFault::Truncated
        );
    }
}

#[test]
fn response_without_length_ends_with_the_connection() {
    let mut decoder = response_decoder();
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nhello");
    assert!(matches!(decoder.decode(&mut buffer), Ok(None)));
    let response = decoder.finish().expect("the connection has closed");
    assert_eq!(
        (&response.body[..], response.keeps_connection),
        (&b"hello"[..], false)
    );
}

/// A server sends malformed bytes followed by a valid response, which the
/// decoder must find.
#[test]
fn resume_finds_response_after_malformed_bytes() {
    let mut decoder = response_decoder();
    let mut buffer =
        BytesMut::from("HTTP/1.1 !!\r\n\r\nHTTP/1.1 204 No Content\r\nx-request-id: 7\r\n\r\n");
    assert!(decoder.decode(&mut buffer).is_err());
    assert!(decoder.resume(&mut buffer));
    let response = decoder
        .decode(&mut buffer)
        .expect("the bytes are well formed")
        .expect("the response is complete");
    assert_eq!(response.head.header("x-request-id"), Some("7"));
}
