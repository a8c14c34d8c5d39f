use {
    bytes::{BufMut, BytesMut},
    http::{HeaderMap, StatusCode},
};

use crate::{RequestHead, is_hop_by_hop_header};

/// How a response is written, apart from its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseOptions {
    /// Whether the connection closes after the response.
    pub closes: bool,
    /// Whether the response is to a HEAD request and is sent without its body.
    pub is_head_request: bool,
}

/// Writes a request with the method and target of a caller's request.
///
/// The headers come from `headers`, without hop-by-hop headers. Those of
/// `head` only decide whether an empty body gets a `content-length`.
pub fn encode_request(head: &RequestHead, headers: &HeaderMap, body: &[u8], out: &mut BytesMut) {
    out.reserve(512 + body.len());
    out.put_slice(head.method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(head.target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    put_headers(headers, out);
    let has_body = !body.is_empty() || head.headers.contains_key("content-length");
    let has_body = has_body || head.headers.contains_key("transfer-encoding");
    if has_body {
        put_length(body.len(), out);
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
}

/// Writes a response framed by its `content-length`, without hop-by-hop
/// headers.
///
/// The response to a HEAD request has the `content-length` of `headers`, if
/// present.
pub fn encode_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    options: ResponseOptions,
    out: &mut BytesMut,
) {
    out.reserve(256 + body.len());
    encode_response_head(status, headers, body.len(), options, out);
    if !options.is_head_request {
        out.put_slice(body);
    }
}

/// Writes the head of a response as [`encode_response`] does, for a body of
/// `body_length` bytes that follows.
pub fn encode_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    body_length: usize,
    options: ResponseOptions,
    out: &mut BytesMut,
) {
    out.reserve(256);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    let reason = status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(reason.as_bytes());
    out.put_slice(b"\r\n");
    put_headers(headers, out);
    if options.is_head_request {
        if let Some(length) = headers.get("content-length") {
            put_header("content-length", length.as_bytes(), out);
        }
    } else if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        put_length(body_length, out);
    }
    if options.closes {
        put_header("connection", b"close", out);
    }
    out.put_slice(b"\r\n");
}

fn put_headers(headers: &HeaderMap, out: &mut BytesMut) {
    for (name, value) in headers {
        if !is_hop_by_hop_header(name) {
            put_header(name.as_str(), value.as_bytes(), out);
        }
    }
}

fn put_length(length: usize, out: &mut BytesMut) {
    put_header("content-length", length.to_string().as_bytes(), out);
}

fn put_header(name: &str, value: &[u8], out: &mut BytesMut) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
