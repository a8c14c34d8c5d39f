use {
    serde::{Deserialize, Serialize},
    std::fmt::Write,
};

/// Where an answer is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TruncationPoint {
    /// In the middle of the header.
    Header,
    /// In the middle of a body with a content length.
    Length,
    /// In the middle of a chunked body, before its last chunk.
    Chunked,
}

/// An answer that is still to be written.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: ResponseBody,
    pub(crate) chunked: bool,
    pub(crate) truncation: Option<TruncationPoint>,
}

/// The body of an answer.
#[derive(Clone, Debug)]
pub(crate) enum ResponseBody {
    Bytes(Vec<u8>),
    /// This many copies of one byte.
    Fill(u64),
}

impl ResponseBody {
    pub(crate) fn length(&self) -> u64 {
        match self {
            ResponseBody::Bytes(bytes) => bytes.len() as u64,
            ResponseBody::Fill(length) => *length,
        }
    }
}

impl HttpResponse {
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        HttpResponse {
            status,
            headers: Vec::new(),
            body: ResponseBody::Bytes(body.into()),
            chunked: false,
            truncation: None,
        }
    }

    /// An answer of code 200 with a JSON body.
    pub(crate) fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => HttpResponse::new(200, body).with("content-type", "application/json"),
            Err(err) => HttpResponse::new(500, err.to_string()),
        }
    }

    pub(crate) fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// The status line and the headers.
    pub(crate) fn head(&self) -> String {
        let mut head = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            // Writing into a string cannot fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if self.chunked {
            head.push_str("transfer-encoding: chunked\r\n\r\n");
        } else {
            let _ = write!(head, "content-length: {}\r\n\r\n", self.body.length());
        }
        head
    }
}
