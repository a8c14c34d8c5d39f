use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, header},
    mangostep_http::{RequestHead, encode_request},
    mangostep_objects::ServiceDialect,
    mangostep_policy::ServerEntry,
};

use crate::prelude::*;

/// What a request to a backend server carries besides the caller's headers.
pub(crate) struct OutgoingHeaders<'a> {
    pub(crate) dialect: &'a ServiceDialect,
    pub(crate) workspace: Option<&'a str>,
    pub(crate) server: &'a ServerEntry,
    pub(crate) time_left: Duration,
}

/// Writes a caller's request as it goes to a backend server.
pub(crate) fn outgoing_request(
    head: &RequestHead,
    body: &[u8],
    outgoing: &OutgoingHeaders<'_>,
) -> Bytes {
    let mut headers = end_to_end(&head.headers);
    headers.remove(header::AUTHORIZATION);
    let dialect = outgoing.dialect;
    let millis = outgoing.time_left.as_millis().max(1).to_string();
    set(&mut headers, &dialect.deadline_header, Some(&millis));
    set(&mut headers, &dialect.workspace_header, outgoing.workspace);
    let expected = Some(outgoing.server.id.as_str());
    set(&mut headers, &dialect.expected_server_header, expected);
    let mut bytes = BytesMut::new();
    encode_request(head, &headers, body, &mut bytes);
    bytes.freeze()
}

/// The headers of a message that do not concern its connection alone.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let text = value.to_str().unwrap_or_default();
        for name in text.split(',').map(str::trim) {
            match HeaderName::from_bytes(name.as_bytes()) {
                Ok(name) if name != header::HOST => drop(kept.remove(name)),
                _ => {}
            }
        }
    }
    kept
}

/// Replaces a header that the fleet sets; an empty name means none.
fn set(headers: &mut HeaderMap, name: &str, value: Option<&str>) {
    let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else {
        return;
    };
    headers.remove(&name);
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}
