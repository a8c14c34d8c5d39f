use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, header},
    mangostep_http::{RequestHead, encode_request},
    mangostep_objects::ServiceDialect,
    mangostep_policy::ServerEntry,
};

use crate::prelude::*;

/// Values of the headers that the host sets on a request to a backend server.
pub(crate) struct OutgoingHeaders<'a> {
    pub(crate) dialect: &'a ServiceDialect,
    pub(crate) workspace: Option<&'a str>,
    pub(crate) server: &'a ServerEntry,
    pub(crate) time_left: Duration,
}

/// Encodes a caller's request for a backend server.
pub(crate) fn outgoing_request(
    head: &RequestHead,
    body: &[u8],
    outgoing: &OutgoingHeaders<'_>,
) -> Bytes {
    let mut headers = end_to_end(&head.headers);
    headers.remove(header::AUTHORIZATION);
    let dialect = outgoing.dialect;
    let millis = outgoing.time_left.as_millis().max(1).to_string();
    set_header(&mut headers, &dialect.deadline_header, Some(&millis));
    set_header(&mut headers, &dialect.workspace_header, outgoing.workspace);
    let expected = Some(outgoing.server.id.as_str());
    set_header(&mut headers, &dialect.expected_server_header, expected);
    let mut bytes = BytesMut::new();
    encode_request(head, &headers, body, &mut bytes);
    bytes.freeze()
}

/// Returns the headers without those that the `Connection` header names, which
/// apply to one connection only.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let text = value.to_str().unwrap_or_default();
        for name in text.split(',').map(str::trim) {
            match HeaderName::from_bytes(name.as_bytes()) {
                Ok(name) if name != header::HOST => drop(forwarded.remove(name)),
                _ => {}
            }
        }
    }
    forwarded
}

/// Replaces a header that only the host may set. An empty name means that the
/// service does not use the header.
fn set_header(headers: &mut HeaderMap, name: &str, value: Option<&str>) {
    let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    headers.remove(&name);
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}
