//! Stand-in for the platform's store: rows, transactions and the feed of
//! changes, as PROTOCOL.md describes them.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head, Head},
    json::{self, Value},
};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Value (base64; `None` once removed) and version by table and key.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    opened: Instant,
}

impl Store {
    pub fn open() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            rows: Arc::default(),
            opened: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or an instance does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (value, ver));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut rest = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut rest).ok()??;
            let length = head.length().unwrap_or(0);
            let body = read_body(&mut stream, &mut rest, length).ok()?;
            thread::sleep(CALL_TIME);
            let (status, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            stream.write_all(text.as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let path = head.target().split('?').next().unwrap_or_default();
        match (head.method(), path) {
            ("GET", "/rows-get") => (200, self.get(head)),
            ("GET", "/rows-feed") => (200, self.feed(head)),
            ("POST", "/rows-tx") => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, head: &Head) -> String {
        let (table, from) = (head.query("table"), head.query("from"));
        let limit: usize = head.query("limit").parse().unwrap_or(500);
        let rows = self.rows.0.lock().unwrap();
        let found = rows
            .rows
            .iter()
            .filter(|((t, key), (value, _))| *t == table && *key >= from && value.is_some());
        let texts: Vec<String> = found.map(row_text).collect();
        let has_more = texts.len() > limit;
        let texts = &texts[..texts.len().min(limit)];
        self.page(texts, rows.ver, has_more)
    }

    fn feed(&self, head: &Head) -> String {
        let table = head.query("table");
        let after: u64 = head.query("after").parse().unwrap_or(0);
        let wait: u64 = head.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let found = rows.rows.iter();
            let found = found.filter(|((t, _), (_, ver))| *t == table && *ver > after);
            let mut found: Vec<_> = found.collect();
            found.sort_by_key(|(_, (_, ver))| *ver);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let texts: Vec<String> = found.into_iter().map(row_text).collect();
                return self.page(&texts, rows.ver, false);
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, text: &str) -> (u16, String) {
        let Some(call) = json::parse(text) else {
            return (400, "{}".to_owned());
        };
        let entries = |name| call.get(name).map(Value::list).unwrap_or_default();
        let name = |row: &Value, field| row.get(field).map_or("", Value::text).to_owned();
        {
            let rows = self.rows.0.lock().unwrap();
            for row in entries("expected") {
                let key = (name(row, "table"), name(row, "key"));
                let known = rows.rows.get(&key).filter(|(value, _)| value.is_some());
                let wanted = row.get("ver").map_or(0.0, Value::number) as u64;
                if known.map_or(0, |(_, ver)| *ver) != wanted {
                    return (412, self.page(&[], rows.ver, false));
                }
            }
        }
        for row in entries("puts").iter().chain(entries("remove")) {
            let table = name(row, "table");
            if table == "op" || table == "servers" {
                return (403, "{}".to_owned());
            }
            let value = row.get("value").map(|value| value.text().to_owned());
            self.write(&table, &name(row, "key"), value);
        }
        let rows = self.rows.0.lock().unwrap();
        (200, self.page(&[], rows.ver, false))
    }

    fn page(&self, rows: &[String], ver: u64, has_more: bool) -> String {
        let now = self.opened.elapsed().as_secs_f64();
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"ver":{ver},"nowS":{now},"hasMore":{has_more}}}"#)
    }
}

fn row_text(row: (&(String, String), &(Option<String>, u64))) -> String {
    let ((table, key), (value, ver)) = row;
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
        ),
        None => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{ver},"removed":true}}"#)
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*three.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(match index > three.len() {
                true => '=',
                false => char::from(digit),
            });
        }
    }
    text
}
