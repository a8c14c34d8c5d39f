//! Heads and bodies of HTTP/1.1 messages, for the stand-ins.

use std::io::{self, Read};

#[derive(Debug)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found
            .next()
            .map_or(String::new(), |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (other, _) => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message head; `None` when the connection ends before one.
pub fn read_head(stream: &mut impl Read, rest: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()));
            return Ok(Some(Head {
                first,
                headers: headers.collect(),
            }));
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&chunk[..count]);
    }
}

/// Reads a body of a known length.
pub fn read_body(stream: &mut impl Read, rest: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    let mut chunk = [0; 16384];
    while rest.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..count]);
    }
    Ok(rest.drain(..length).collect())
}
