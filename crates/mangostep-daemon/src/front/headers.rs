use {
    mangostep_objects::ServiceDialect,
    reqwest::header::{HeaderMap, HeaderName, HeaderValue},
    rocket::Request,
};

use crate::prelude::*;

/// Headers that concern one connection only, and those that may carry a key.
const NEVER_FORWARDED: [&str; 13] = [
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

/// The key that a caller presents: `mangostep-key`, or a bearer token.
///
/// Two different keys in one request are no key at all.
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

/// Every text of a request that may be a key, whether it is valid or not.
fn key_texts<'r>(request: &'r Request<'_>) -> Vec<&'r str> {
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

/// Bytes of all names and values.
pub(crate) fn header_bytes(request: &Request<'_>) -> usize {
    request
        .headers()
        .iter()
        .map(|header| header.name().len() + header.value().len())
        .sum()
}

/// What the entry host itself tells the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerHeaders<'a> {
    pub(crate) dialect: &'a ServiceDialect,
    pub(crate) request_id: &'a str,
    pub(crate) time_left: Duration,
    pub(crate) workspace: Option<&'a str>,
}

/// The headers that a backend server gets.
///
/// No header that holds a presented key is among them, whatever its name.
pub(crate) fn forwarded(request: &Request<'_>, own: ServerHeaders<'_>) -> HeaderMap {
    let listed = connection_options(request.headers().get("connection"));
    let keys = key_texts(request);
    let mut map = HeaderMap::new();
    for header in request.headers().iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if is_dropped(&name, &listed) || name == "transfer-encoding" {
            continue;
        }
        if keys.iter().any(|key| header.value().contains(key)) {
            continue;
        }
        let pair = (
            HeaderName::try_from(name),
            HeaderValue::from_str(header.value()),
        );
        if let (Ok(name), Ok(value)) = pair {
            map.append(name, value);
        }
    }
    if let Some(host) = request.headers().get_one("host")
        && let Ok(value) = HeaderValue::from_str(host)
    {
        map.insert("host", value);
    }
    // What callers sent under these names is replaced.
    let dialect = own.dialect;
    set(&mut map, &dialect.id_header, own.request_id);
    set(
        &mut map,
        &dialect.deadline_header,
        &own.time_left.as_millis().to_string(),
    );
    match own.workspace {
        Some(workspace) => set(&mut map, &dialect.workspace_header, workspace),
        None => {
            map.remove(dialect.workspace_header.as_str());
        }
    }
    map
}

fn set(map: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) {
        map.insert(name, value);
    }
}

/// Whether a header of an answer goes on to the caller.
pub(crate) fn is_dropped(name: &str, listed: &[String]) -> bool {
    NEVER_FORWARDED.contains(&name) || listed.iter().any(|other| other == name)
}

/// The header names that a `connection` header lists.
pub(crate) fn connection_options<'v>(values: impl Iterator<Item = &'v str>) -> Vec<String> {
    values
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
