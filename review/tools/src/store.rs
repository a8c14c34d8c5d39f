//! Stand-in for the platform's metadata store: rows, change feed, transactions.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::http::Connection;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value of each row by table and key; a dropped row has no
    /// value.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

#[derive(Default)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
}

/// A store that serves until the process ends. Clones share their rows.
#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

impl Store {
    pub fn open() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store::default();
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                // A caller may end its connection at any time.
                std::thread::spawn(move || store.serve(Connection::new(stream)).ok());
            }
        });
        Ok((store, address))
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.0.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a text, or drops the row if there is none.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.put_encoded(table, key, value.map(|text| base64(text.as_bytes())));
    }

    fn put_encoded(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows();
        rows.version += 1;
        let row = (rows.version, value);
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.0.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(head.length().unwrap_or(0))?;
            let target = head.start.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let field = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut found = pairs.filter(|(other, _)| *other == name);
                found.next().map_or("", |(_, value)| value).to_owned()
            };
            let answer = match path {
                "/rows-get" => Some(self.read_table(&field("table"), &field("from"))),
                "/rows-feed" => {
                    let after = field("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                    Some(self.read_changes(&field("table"), after, wait))
                }
                "/rows-tx" => Some(self.transact(&String::from_utf8_lossy(&body))),
                _ => None,
            };
            let (status, text) = match answer {
                Some(text) => ("200 OK", text),
                None => ("404 Not Found", "{}".to_owned()),
            };
            let length = text.len();
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n\
                 content-length: {length}\r\n\r\n"
            );
            connection.stream.write_all(head.as_bytes())?;
            connection.stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn read_table(&self, table: &str, from: &str) -> String {
        let from = from.replace("%00", "\0");
        let rows = self.rows();
        let wanted = rows
            .rows
            .iter()
            .filter(|((other, key), (_, value))| other == table && *key >= from && value.is_some());
        let texts: Vec<String> = wanted.map(row_text).collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowS\":1.0}}",
            texts.join(","),
            rows.version
        )
    }

    fn read_changes(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut rows = self.rows();
        loop {
            let wanted = rows
                .rows
                .iter()
                .filter(|((other, _), (version, _))| other == table && *version > after);
            let mut found: Vec<_> = wanted.collect();
            found.sort_by_key(|(_, (version, _))| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let texts: Vec<String> = found.into_iter().map(row_text).collect();
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowS\":1.0}}",
                    texts.join(","),
                    rows.version
                );
            }
            let waited = self.0.changed.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Applies the `puts` of a transaction. Hosts only write rows of their own,
    /// without conditions, and their names need no escapes.
    fn transact(&self, body: &str) -> String {
        let puts = body.split("\"puts\":[").nth(1).unwrap_or_default();
        let puts = puts.split(']').next().unwrap_or_default();
        for row in puts.split('}') {
            let text = |field: &str| {
                let marker = format!("\"{field}\":\"");
                let rest = row.split(&marker).nth(1)?;
                rest.split('"').next().map(str::to_owned)
            };
            if let (Some(table), Some(key)) = (text("table"), text("key")) {
                self.put_encoded(&table, &key, text("value"));
            }
        }
        format!("{{\"ver\":{},\"nowS\":1.0}}", self.rows().version)
    }
}

fn row_text(
    ((table, key), (version, value)): (&(String, String), &(u64, Option<String>)),
) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
