//! Stands in for a platform's store of tables with a change feed.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, StatusCode},
    mangostep_http::{
        CallerRequest, MessageLimits, RequestDecoder, ResponseOptions, encode_response,
    },
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Rows of one page, fewer than the platform's so that a test has several.
const PAGE_ROWS: usize = 3;

/// How the stand-in treats the next call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMood {
    /// Answers truly.
    #[default]
    Sound,
    /// Answers with the status, and does nothing.
    Refuses(u16),
    /// Does the call and loses the answer.
    LosesAnswers,
    /// Answers with bytes that are no rows.
    Babbles,
}

#[derive(Debug, Default)]
struct StoreState {
    mood: StoreMood,
    version: u64,
    /// Version before which changes are forgotten.
    history_from: u64,
    /// Version and value of each row by table and key; removed ones without
    /// a value.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// A store that tests control from within their process.
#[derive(Clone, Debug, Default)]
pub struct TableStandIn(Arc<Mutex<StoreState>>);

impl TableStandIn {
    /// Serves on a free port of the loopback address until the test ends.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn open() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = TableStandIn::default();
        let shared = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Sets how the next calls are treated.
    pub fn set_mood(&self, mood: StoreMood) {
        self.state().mood = mood;
    }

    /// Forgets the changes before a version.
    pub fn forget_before(&self, version: u64) {
        self.state().history_from = version;
    }

    /// Forgets all changes so far.
    pub fn forget_all(&self) {
        let mut state = self.state();
        state.history_from = state.version;
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) {
        self.put_encoded(table, key, value.map(|value| STANDARD.encode(value)));
    }

    fn put_encoded(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state();
        state.version += 1;
        let row = (state.version, value);
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut decoder = RequestDecoder::new(MessageLimits::default());
        let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
        loop {
            while let Ok(Some(request)) = decoder.decode(&mut buffer) {
                let Some((status, body)) = self.answer(&request).await else {
                    return;
                };
                out.clear();
                let end = ResponseOptions::default();
                encode_response(status, &HeaderMap::new(), &body, end, &mut out);
                if stream.write_all(&out).await.is_err() {
                    return;
                }
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(length) if length > 0) {
                return;
            }
        }
    }

    /// The answer to a call; none when it is lost.
    async fn answer(&self, request: &CallerRequest) -> Option<(StatusCode, Bytes)> {
        let mood = self.state().mood;
        if let StoreMood::Refuses(status) = mood {
            return Some((
                StatusCode::from_u16(status).expect("a status"),
                Bytes::new(),
            ));
        }
        let (path, query) = request
            .head
            .target
            .split_once('?')
            .unwrap_or((&request.head.target, ""));
        let fields: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let answer = match path {
            "/rows-get" => Ok(self.page(&fields)),
            "/rows-feed" => self.changes(&fields).await,
            "/rows-tx" => Ok(self.transact(&request.body)),
            _ => Err(StatusCode::NOT_FOUND),
        };
        match (mood, answer) {
            (StoreMood::LosesAnswers, _) => None,
            (StoreMood::Babbles, _) => Some((StatusCode::OK, Bytes::from_static(b"{\"rows\":7}"))),
            (_, Ok(body)) => Some((StatusCode::OK, body.to_string().into())),
            (_, Err(status)) => Some((status, Bytes::new())),
        }
    }

    fn page(&self, fields: &BTreeMap<&str, &str>) -> Value {
        let state = self.state();
        let from = fields["from"].replace("%00", "\0");
        let rows = state.rows.iter().filter(|((table, key), (_, value))| {
            table == fields["table"] && *key >= from && value.is_some()
        });
        let rows: Vec<Value> = rows.map(row_value).collect();
        let has_more = rows.len() > PAGE_ROWS;
        json!({ "rows": &rows[..rows.len().min(PAGE_ROWS)], "hasMore": has_more,
            "ver": state.version, "nowS": 1.5 })
    }

    async fn changes(&self, fields: &BTreeMap<&str, &str>) -> Result<Value, StatusCode> {
        let after: u64 = fields["after"].parse().expect("a version");
        let wait: u64 = fields["waitMs"].parse().expect("a time");
        for _ in 0..=wait / 10 {
            {
                let state = self.state();
                if after < state.history_from {
                    return Err(StatusCode::GONE);
                }
                let rows = state.rows.iter().filter(|((table, _), (version, _))| {
                    table == fields["table"] && *version > after
                });
                let rows: Vec<Value> = rows.map(row_value).collect();
                if !rows.is_empty() {
                    return Ok(json!({ "rows": rows, "ver": state.version, "nowS": 1.5 }));
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(json!({ "rows": [], "ver": self.state().version, "nowS": 1.5 }))
    }

    fn transact(&self, body: &[u8]) -> Value {
        let transaction: Value = serde_json::from_slice(body).expect("it is JSON");
        for row in transaction["puts"].as_array().expect("rows to put") {
            let text = |field: &str| row[field].as_str().expect("a text").to_owned();
            self.put_encoded(&text("table"), &text("key"), Some(text("value")));
        }
        json!({ "ver": self.state().version, "nowS": 1.5 })
    }
}

fn row_value(
    ((table, key), (version, value)): (&(String, String), &(u64, Option<String>)),
) -> Value {
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": version })
        }
        None => json!({ "table": table, "part": "", "key": key, "ver": version, "removed": true }),
    }
}
