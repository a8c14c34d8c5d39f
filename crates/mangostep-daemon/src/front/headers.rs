use {
    mangostep_objects::ServiceDialect,
    reqwest::header::{HeaderMap, HeaderName, HeaderValue},
    rocket::Request,
};

use crate::prelude::*;

/// Headers that are never forwarded: those that apply to a single connection,
/// and those that may carry a key.
const DROPPED_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "mangostep-key",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

const KEY_HEADER: &str = "mangostep-key";

/// Returns the key that a caller presents, as `mangostep-key` or as a bearer
/// token.
///
/// Returns `None` if a request contains two different keys.
pub(crate) fn presented_key<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    let plain = request.headers().get(KEY_HEADER).map(str::trim);
    let bearer = request
        .headers()
        .get("authorization")
        .filter_map(bearer_token);
    let mut keys = plain.chain(bearer);
    let first = keys.next()?;
    keys.all(|other| other == first).then_some(first)
}

/// Returns every header text of a request that may be a key, valid or not.
fn key_candidates<'r>(request: &'r Request<'_>) -> Vec<&'r str> {
    let headers = request.headers();
    let plain = headers.get(KEY_HEADER);
    let tokens = ["authorization", "proxy-authorization"]
        .into_iter()
        .flat_map(|name| headers.get(name))
        .filter_map(|value| value.split_once(' ').map(|(_, token)| token));
    plain
        .chain(tokens)
        .map(str::trim)
        .filter(|text| !text.is_empty())
        .collect()
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Total length of all header names and values.
pub(crate) fn header_bytes(request: &Request<'_>) -> usize {
    request
        .headers()
        .iter()
        .map(|header| header.name().len() + header.value().len())
        .sum()
}

/// Values of the headers that the entry host itself sends to backend servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerHeaders<'a> {
    pub(crate) dialect: &'a ServiceDialect,
    pub(crate) request_id: &'a str,
    pub(crate) time_left: Duration,
    pub(crate) workspace: Option<&'a str>,
}

/// Returns the headers to send to a backend server.
///
/// Headers whose value contains a presented key are omitted, whatever their
/// name.
pub(crate) fn forwarded_headers(
    request: &Request<'_>,
    host_headers: ServerHeaders<'_>,
) -> HeaderMap {
    let connection_listed = connection_options(request.headers().get("connection"));
    let keys = key_candidates(request);
    let mut map = HeaderMap::new();
    for header in request.headers().iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if is_dropped_header(&name, &connection_listed) || name == "transfer-encoding" {
            continue;
        }
        if keys.iter().any(|key| header.value().contains(key)) {
            continue;
        }
        let parsed = (
            HeaderName::try_from(name),
            HeaderValue::from_str(header.value()),
        );
        if let (Ok(name), Ok(value)) = parsed {
            map.append(name, value);
        }
    }
    if let Some(host) = request.headers().get_one("host")
        && let Ok(value) = HeaderValue::from_str(host)
    {
        map.insert("host", value);
    }
    // These replace headers of the same names sent by the caller.
    let dialect = host_headers.dialect;
    set_header(&mut map, &dialect.id_header, host_headers.request_id);
    set_header(
        &mut map,
        &dialect.deadline_header,
        &host_headers.time_left.as_millis().to_string(),
    );
    match host_headers.workspace {
        Some(workspace) => set_header(&mut map, &dialect.workspace_header, workspace),
        None => {
            map.remove(dialect.workspace_header.as_str());
        }
    }
    map
}

fn set_header(map: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) {
        map.insert(name, value);
    }
}

/// Whether a header is not to be forwarded; `connection_listed` are the names
/// that the `connection` header lists.
pub(crate) fn is_dropped_header(name: &str, connection_listed: &[String]) -> bool {
    DROPPED_HEADERS.contains(&name) || connection_listed.iter().any(|other| other == name)
}

/// Returns the header names listed in `connection` headers, in lower case.
pub(crate) fn connection_options<'v>(values: impl Iterator<Item = &'v str>) -> Vec<String> {
    values
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
