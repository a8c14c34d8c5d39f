//! Stub of the platform's table store with its change feed.

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
    http::{HeaderMap, HeaderValue, StatusCode},
    mangostep_http::{
        CallerRequest, MessageLimits, RequestDecoder, ResponseOptions, encode_response,
    },
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Maximum number of rows per page, lower than the platform's so that tests
/// read several pages.
const PAGE_ROWS: usize = 3;

/// How a [`TableStub`] handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Executes the call and answers it.
    #[default]
    Healthy,
    /// Answers with the status and does not execute the call.
    Refuses(u16),
    /// Executes the call and closes the connection without an answer.
    LosesAnswers,
    /// Executes the call and answers with a malformed body.
    AnswersMalformed,
    /// Answers watch calls with the current version and without the changes.
    OmitsChanges,
}

/// Version and value of each row, by table and key. Removed rows have no value.
type StoredRows = BTreeMap<(String, String), (u64, Option<String>)>;

/// Header with the number of times that the store lost writes.
const ERA_HEADER: &str = "store-era";

#[derive(Debug, Default)]
struct StoreState {
    mode: StoreMode,
    version: u64,
    /// Oldest version after which changes can be read; older readers get 410.
    history_from: u64,
    rows: StoredRows,
    /// Number of times that the store came back from its saved copy.
    era: u64,
    /// Version and rows of the saved copy.
    saved: (u64, StoredRows),
    /// Rows that were lost with the last return and not written again.
    lost: StoredRows,
}

/// A table store that runs in the test process. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct TableStub(Arc<Mutex<StoreState>>);

impl TableStub {
    /// Serves on a free loopback port until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn open() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = TableStub::default();
        let shared = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Sets how the next calls are handled.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state().mode = mode;
    }

    /// Discards the change history before a version.
    pub fn discard_history_before(&self, version: u64) {
        self.state().history_from = version;
    }

    /// Discards the whole change history.
    pub fn discard_history(&self) {
        let mut state = self.state();
        state.history_from = state.version;
    }

    /// Saves a copy of all rows.
    pub fn save_copy(&self) {
        let mut state = self.state();
        state.saved = (state.version, state.rows.clone());
    }

    /// Replaces all rows by the saved copy, like a store that was restored: the
    /// writes since are lost, and their versions are given out again.
    pub fn restore_copy(&self) {
        let mut state = self.state();
        let (version, rows) = state.saved.clone();
        let mut lost = std::mem::replace(&mut state.rows, rows);
        lost.retain(|_, (written, _)| *written > version);
        (state.version, state.lost) = (version, lost);
        state.era += 1;
    }

    /// Writes and removes the rows of the operator and of the backend servers
    /// again that the store lost, unless they were written since.
    pub fn rewrite_lost(&self) {
        let (lost, returned) = {
            let mut state = self.state();
            (std::mem::take(&mut state.lost), state.saved.0)
        };
        for ((table, key), (_, value)) in lost {
            let is_written = self.row_version(&table, &key) > Some(returned);
            if !is_written && ["op", "servers"].contains(&table.as_str()) {
                self.put_encoded(&table, &key, value);
            }
        }
    }

    /// Version at which a row was last written or removed.
    pub fn row_version(&self, table: &str, key: &str) -> Option<u64> {
        let key = (table.to_owned(), key.to_owned());
        self.state().rows.get(&key).map(|(version, _)| *version)
    }

    /// Current version.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, or removes it if `value` is `None`.
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
                let mut headers = HeaderMap::new();
                let era = self.state().era;
                if era > 0 {
                    headers.insert(ERA_HEADER, HeaderValue::from(era));
                }
                encode_response(status, &headers, &body, end, &mut out);
                if stream.write_all(&out).await.is_err() {
                    return;
                }
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(length) if length > 0) {
                return;
            }
        }
    }

    /// Executes a call. Returns its answer, or `None` to close the connection
    /// without one.
    async fn answer(&self, request: &CallerRequest) -> Option<(StatusCode, Bytes)> {
        let mode = self.state().mode;
        if let StoreMode::Refuses(status) = mode {
            return Some((
                StatusCode::from_u16(status).expect("the status is valid"),
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
            "/rows-get" => Ok(self.read_page(&fields)),
            "/rows-feed" => self.read_changes(&fields).await,
            "/rows-tx" => match self.transact(&request.body) {
                (StatusCode::OK, body) => Ok(body),
                (status, body) if mode != StoreMode::LosesAnswers => {
                    return Some((status, body.to_string().into()));
                }
                (status, _) => Err(status),
            },
            _ => Err(StatusCode::NOT_FOUND),
        };
        match (mode, answer) {
            (StoreMode::LosesAnswers, _) => None,
            (StoreMode::AnswersMalformed, _) => {
                Some((StatusCode::OK, Bytes::from_static(b"{\"rows\":7}")))
            }
            (_, Ok(body)) => Some((StatusCode::OK, body.to_string().into())),
            (_, Err(status)) => Some((status, Bytes::new())),
        }
    }

    fn read_page(&self, fields: &BTreeMap<&str, &str>) -> Value {
        let state = self.state();
        let from = fields["from"].replace("%00", "\0");
        let rows = state.rows.iter().filter(|((table, key), (_, value))| {
            table == fields["table"] && *key >= from && value.is_some()
        });
        let rows: Vec<Value> = rows.map(row_json).collect();
        let has_more = rows.len() > PAGE_ROWS;
        json!({ "rows": &rows[..rows.len().min(PAGE_ROWS)], "hasMore": has_more,
            "ver": state.version, "nowS": 1.5 })
    }

    async fn read_changes(&self, fields: &BTreeMap<&str, &str>) -> Result<Value, StatusCode> {
        let after: u64 = fields["after"].parse().expect("`after` is a version");
        let wait: u64 = fields["waitMs"].parse().expect("`waitMs` is a number");
        let end = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state();
                if state.mode == StoreMode::OmitsChanges && state.version > after {
                    return Ok(json!({ "rows": [], "ver": state.version, "nowS": 1.5 }));
                }
                if after < state.history_from || after > state.version {
                    return Err(StatusCode::GONE);
                }
                let rows = state.rows.iter().filter(|((table, _), (version, _))| {
                    table == fields["table"] && *version > after
                });
                let rows: Vec<Value> = rows.map(row_json).collect();
                if !rows.is_empty() || tokio::time::Instant::now() >= end {
                    return Ok(json!({ "rows": rows, "ver": state.version, "nowS": 1.5 }));
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Applies a transaction if all rows in `expected` have their versions.
    /// Returns the status and the body of the answer.
    fn transact(&self, body: &[u8]) -> (StatusCode, Value) {
        let transaction: Value = serde_json::from_slice(body).expect("the body is JSON");
        let key_of = |row: &Value| {
            let text = |field: &str| {
                let text = row[field].as_str();
                text.expect("the field is a string").to_owned()
            };
            (text("table"), text("key"))
        };
        let expected = transaction["expected"].as_array();
        let expected = expected.expect("`expected` is an array");
        let puts = transaction["puts"].as_array();
        let puts = puts.expect("`puts` is an array");
        let mut state = self.state();
        let present = |state: &StoreState, row: &Value| {
            let key = key_of(row);
            let found = state.rows.get_key_value(&key);
            let found = found.filter(|(_, (_, value))| value.is_some());
            found.map(|(key, row)| (key.clone(), row.clone()))
        };
        let is_met = expected.iter().all(|row| {
            let version = present(&state, row).map_or(0, |(_, (version, _))| version);
            row["ver"].as_u64() == Some(version)
        });
        if !is_met {
            let rows = expected.iter().filter_map(|row| present(&state, row));
            let rows: Vec<Value> = rows.map(|(key, row)| row_json((&key, &row))).collect();
            let body = json!({ "rows": rows, "ver": state.version, "nowS": 1.5 });
            return (StatusCode::PRECONDITION_FAILED, body);
        }
        state.version += 1;
        let version = state.version;
        for row in puts {
            let value = row["value"].as_str().expect("`value` is a string");
            let value = (version, Some(value.to_owned()));
            state.rows.insert(key_of(row), value);
        }
        (StatusCode::OK, json!({ "ver": version, "nowS": 1.5 }))
    }

    /// Value of a row, if it exists.
    ///
    /// # Panics
    ///
    /// Panics if the value is not base64.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let (_, value) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let decoded = STANDARD.decode(value.as_ref()?);
        Some(decoded.expect("the value is base64"))
    }
}

fn row_json(
    ((table, key), (version, value)): (&(String, String), &(u64, Option<String>)),
) -> Value {
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": version })
        }
        None => json!({ "table": table, "part": "", "key": key, "ver": version, "removed": true }),
    }
}
