//! A stand-in for the platform's table store, reduced to what hosts call.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use {
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Rows on a page.
const PAGE_ROWS: usize = 3;

/// Version and value, in base64, by table and key. Removed rows have no value.
type Rows = BTreeMap<(String, String), (u64, Option<String>)>;

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: Rows,
}

/// A table store that runs in this process. Clones share their state.
#[derive(Clone, Default)]
pub struct TableStore(Arc<Mutex<StoreState>>);

impl TableStore {
    /// Serves on a free loopback port until the process ends.
    pub async fn open() -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = TableStore::default();
        let shared = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        Ok((store, address))
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.0.lock().expect("no holder panics")
    }

    /// Writes a row, or removes it if `value` is `None`.
    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let mut state = self.state();
        state.version += 1;
        let row = (state.version, value.map(encode_base64));
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        let mut bytes = Vec::new();
        loop {
            let end = loop {
                match bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                    Some(end) => break end + 4,
                    None => read_more(&mut stream, &mut bytes).await?,
                }
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            let whole = end + length.unwrap_or(0);
            while bytes.len() < whole {
                read_more(&mut stream, &mut bytes).await?;
            }
            let target = head.split(' ').nth(1)?.to_owned();
            let (status, answer) = self.answer(&target, &bytes[end..whole]).await?;
            bytes.drain(..whole);
            let body = match answer {
                Value::Null => String::new(),
                answer => answer.to_string(),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes()).await.ok()?;
        }
    }

    async fn answer(&self, target: &str, body: &[u8]) -> Option<(u16, Value)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match path {
            "/rows-get" => Some((200, self.read_page(&fields)?)),
            "/rows-feed" => self.read_changes(&fields).await,
            "/rows-tx" => self.transact(&serde_json::from_slice(body).ok()?),
            _ => Some((404, Value::Null)),
        }
    }

    fn read_page(&self, fields: &BTreeMap<&str, &str>) -> Option<Value> {
        let from = fields.get("from")?.replace("%00", "\0");
        let table = fields.get("table")?;
        let state = self.state();
        let rows: Vec<Value> = state
            .rows
            .iter()
            .filter(|((name, key), (_, value))| name == table && *key >= from && value.is_some())
            .map(row_json)
            .collect();
        Some(json!({ "rows": &rows[..rows.len().min(PAGE_ROWS)],
            "hasMore": rows.len() > PAGE_ROWS, "ver": state.version, "nowS": 1.5 }))
    }

    async fn read_changes(&self, fields: &BTreeMap<&str, &str>) -> Option<(u16, Value)> {
        let after: u64 = fields.get("after")?.parse().ok()?;
        let wait: u64 = fields.get("waitMs")?.parse().ok()?;
        let table = fields.get("table")?;
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state();
                if after > state.version {
                    return Some((410, Value::Null));
                }
                let changed = |((name, _), (version, _)): &(&(String, String), &(u64, _))| {
                    name == table && *version > after
                };
                let rows: Vec<Value> = state.rows.iter().filter(changed).map(row_json).collect();
                if !rows.is_empty() || Instant::now() >= end {
                    let answer = json!({ "rows": rows, "ver": state.version, "nowS": 1.5 });
                    return Some((200, answer));
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Applies a transaction if all rows in `expected` have their versions.
    fn transact(&self, transaction: &Value) -> Option<(u16, Value)> {
        let key_of = |row: &Value| {
            Some((
                row["table"].as_str()?.to_owned(),
                row["key"].as_str()?.to_owned(),
            ))
        };
        let expected = transaction["expected"].as_array()?;
        let mut state = self.state();
        let mut present = Vec::new();
        let mut is_met = true;
        for row in expected {
            let found = state.rows.get_key_value(&key_of(row)?);
            let found = found.filter(|(_, (_, value))| value.is_some());
            is_met &= row["ver"].as_u64() == Some(found.map_or(0, |(_, (version, _))| *version));
            present.extend(found.map(row_json));
        }
        if !is_met {
            let answer = json!({ "rows": present, "ver": state.version, "nowS": 1.5 });
            return Some((412, answer));
        }
        state.version += 1;
        let version = state.version;
        for row in transaction["puts"].as_array()? {
            let value = row["value"].as_str()?.to_owned();
            state.rows.insert(key_of(row)?, (version, Some(value)));
        }
        Some((200, json!({ "ver": version, "nowS": 1.5 })))
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 << 10];
    match stream.read(&mut piece).await {
        Ok(length) if length > 0 => bytes.extend_from_slice(&piece[..length]),
        _ => return None,
    }
    Some(())
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

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = group >> (18 - 6 * digit) & 63;
            text.push(match digit <= three.len() {
                true => char::from(DIGITS[value as usize]),
                false => '=',
            });
        }
    }
    text
}
