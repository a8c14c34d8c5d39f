use std::io;

use serde::de::DeserializeOwned;

/// Headers that one request may have.
const HEADERS_MAX: usize = 100;

/// The request line and the headers of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    /// Names in lower case.
    pub(crate) headers: Vec<(String, String)>,
}

/// The body of a request, of which only the first bytes are stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    pub(crate) kept: Vec<u8>,
    pub(crate) length: u64,
    /// XXH3 of the whole body.
    pub(crate) hash: u64,
}

impl RequestHead {
    /// Parses a head and returns it with its length in bytes; `None` when
    /// more bytes are needed.
    pub(crate) fn parse(bytes: &[u8]) -> io::Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(io::Error::other)?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let head = RequestHead {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers: parsed.headers.iter().map(copy_header).collect(),
        };
        Ok(Some((head, length)))
    }

    /// The first value of a header, by its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// The target without its query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A value of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value)
    }

    /// A number of the query.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub(crate) fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    pub(crate) fn content_length(&self) -> u64 {
        self.header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }

    pub(crate) fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn copy_header(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).trim().to_owned();
    (header.name.to_ascii_lowercase(), value)
}

impl RequestBody {
    /// Parses the stored bytes as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.kept).map_err(|err| err.to_string())
    }
}
