use {
    bytes::{Buf, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
};

use crate::{MessageFault, body::BodyFraming};

/// Maximum number of headers in a message; the byte limit of the head is
/// usually reached first.
const HEADERS_MAX: usize = 128;

/// The request line and headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Path and query, without any normalization.
    pub target: String,
    /// Whether the caller speaks HTTP/1.1 rather than 1.0.
    pub is_http_11: bool,
    /// Headers by name; names are in lower case.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// The path of the target without the query, not normalized.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// The first value of a header; `None` when the header is absent or its
    /// value has other characters than visible ASCII, spaces and tabs.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the caller keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        match self.is_http_11 {
            true => !has_token(&self.headers, &header::CONNECTION, "close"),
            false => has_token(&self.headers, &header::CONNECTION, "keep-alive"),
        }
    }

    /// Whether the caller waits for a `100 Continue` response before it sends
    /// the body.
    pub(crate) fn expects_continue(&self) -> bool {
        self.is_http_11 && has_token(&self.headers, &header::EXPECT, "100-continue")
    }
}

/// The status line and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code; its reason phrase is discarded.
    pub status: StatusCode,
    /// Whether the server speaks HTTP/1.1 rather than 1.0.
    pub is_http_11: bool,
    /// Headers by name; names are in lower case.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// The first value of a header; `None` when the header is absent or its
    /// value has other characters than visible ASCII, spaces and tabs.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn keeps_connection(&self) -> bool {
        match self.is_http_11 {
            true => !has_token(&self.headers, &header::CONNECTION, "close"),
            false => has_token(&self.headers, &header::CONNECTION, "keep-alive"),
        }
    }
}

/// Whether a header applies to a single connection and is not forwarded.
///
/// Includes `expect` and `content-length`, which a proxy that buffers messages
/// handles itself.
pub fn is_hop_by_hop_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "expect"
            | "content-length"
    )
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Removes the head of a request from the buffer once it is complete.
pub(crate) fn take_request_head(
    buffer: &mut BytesMut,
    head_bytes: usize,
) -> Result<Option<RequestHead>, MessageFault> {
    let mut header_buffer = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut header_buffer);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > head_bytes => {
            return Err(MessageFault::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageFault::HeadTooLarge),
        Err(_) => return Err(MessageFault::malformed("request head")),
    };
    if length > head_bytes {
        return Err(MessageFault::HeadTooLarge);
    }
    let method = parsed.method.unwrap_or_default().as_bytes();
    let head = RequestHead {
        method: Method::from_bytes(method).map_err(|_| MessageFault::malformed("method"))?,
        target: parsed.path.unwrap_or_default().to_owned(),
        is_http_11: parsed.version == Some(1),
        headers: header_map(parsed.headers)?,
    };
    buffer.advance(length);
    Ok(Some(head))
}

/// Removes the head of a response from the buffer once it is complete.
pub(crate) fn take_response_head(
    buffer: &mut BytesMut,
    head_bytes: usize,
) -> Result<Option<ResponseHead>, MessageFault> {
    let mut header_buffer = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut header_buffer);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > head_bytes => {
            return Err(MessageFault::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Status) => return Err(MessageFault::InvalidStatus),
        Err(_) => return Err(MessageFault::malformed("response head")),
    };
    let head = ResponseHead {
        status: valid_status(parsed.code.unwrap_or_default())?,
        is_http_11: parsed.version == Some(1),
        headers: header_map(parsed.headers)?,
    };
    buffer.advance(length);
    Ok(Some(head))
}

/// Converts a status code, of which HTTP defines 100 to 599.
fn valid_status(code: u16) -> Result<StatusCode, MessageFault> {
    let status = StatusCode::from_u16(code).ok();
    status
        .filter(|status| status.as_u16() < 600)
        .ok_or(MessageFault::InvalidStatus)
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, MessageFault> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| MessageFault::malformed("header name"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| MessageFault::malformed("header value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

pub(crate) fn request_framing(head: &RequestHead) -> Result<BodyFraming, MessageFault> {
    let has_transfer_encoding = head.headers.contains_key(header::TRANSFER_ENCODING);
    let length = content_length(&head.headers)?;
    match (has_transfer_encoding, length) {
        // Another HTTP implementation could disagree on where such a request
        // ends, which allows request smuggling.
        (true, Some(_)) => Err(MessageFault::malformed(
            "both content-length and transfer-encoding",
        )),
        (true, None) if is_chunked(&head.headers) && head.is_http_11 => Ok(BodyFraming::Chunked),
        (true, None) => Err(MessageFault::malformed("unsupported transfer-encoding")),
        (false, length) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

pub(crate) fn response_framing(
    head: &ResponseHead,
    is_head_request: bool,
) -> Result<BodyFraming, MessageFault> {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if is_head_request || has_no_body {
        return Ok(BodyFraming::Length(0));
    }
    let has_transfer_encoding = head.headers.contains_key(header::TRANSFER_ENCODING);
    match (has_transfer_encoding, content_length(&head.headers)?) {
        (true, Some(_)) => Err(MessageFault::malformed(
            "both content-length and transfer-encoding",
        )),
        (true, None) if is_chunked(&head.headers) => Ok(BodyFraming::Chunked),
        (true, None) => Err(MessageFault::malformed("unsupported transfer-encoding")),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
        (false, None) => Ok(BodyFraming::UntilClose),
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let only = (values.next(), values.next());
    matches!(only, (Some(value), None)
        if value.to_str().is_ok_and(|text| text.trim().eq_ignore_ascii_case("chunked")))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MessageFault> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().unwrap_or_default().trim();
        let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let number = text.parse::<u64>().ok().filter(|_| is_number);
        let number = number.ok_or(MessageFault::malformed("invalid content-length"))?;
        if length.is_some_and(|other| other != number) {
            return Err(MessageFault::malformed(
                "conflicting content-length headers",
            ));
        }
        length = Some(number);
    }
    Ok(length)
}
