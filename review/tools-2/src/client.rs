//! Stand-in for a client that reads its answer at a steady pace.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_head, Head};

/// Segment size of a link of Ethernet.
const SEGMENT_BYTES: i32 = 1_400;

/// Receive buffer of a client, which the kernel doubles.
pub const RECEIVE_BYTES: i32 = 8 << 10;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
    pub fn kill(pid: i32, signal: i32) -> i32;
}

/// Connects like a client on a link of Ethernet: with its segment size and a
/// small window, instead of those of the loopback interface.
pub fn open(address: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain system calls on a socket that this function owns; the
    // pointers are valid for the calls.
    unsafe {
        let raw = socket(2, 1, 0);
        if raw < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(raw);
        for (level, name, value) in [(6, 2, SEGMENT_BYTES), (1, 8, receive_bytes)] {
            if setsockopt(raw, level, name, &value, 4) < 0 {
                return Err(io::Error::last_os_error());
            }
        }
        let target = SocketAddress {
            family: 2,
            port: address.port().to_be(),
            ip: address.ip().octets(),
            zero: [0; 8],
        };
        if connect(raw, &target, 16) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// What a client got for one request.
#[derive(Debug)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub ended: Instant,
    pub error: String,
}

impl Answer {
    pub fn is_complete(&self) -> bool {
        let length = self.head.as_ref().and_then(Head::length);
        length.is_some_and(|length| length == self.body.len())
    }

    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }
}

/// Reads one answer at `bytes_per_s`.
pub fn read_answer(stream: &mut TcpStream, bytes_per_s: f64) -> Answer {
    let mut answer = Answer {
        head: None,
        body: Vec::new(),
        ended: Instant::now(),
        error: String::new(),
    };
    if let Err(err) = read_into(stream, bytes_per_s, &mut answer) {
        answer.error = err.to_string();
    }
    answer.ended = Instant::now();
    answer
}

fn read_into(stream: &mut TcpStream, bytes_per_s: f64, answer: &mut Answer) -> io::Result<()> {
    let mut rest = Vec::new();
    answer.head = read_head(stream, &mut rest)?;
    let Some(length) = answer.head.as_ref().and_then(Head::length) else {
        return Ok(());
    };
    answer.body = rest;
    let started = Instant::now();
    let mut chunk = [0; 8192];
    while answer.body.len() < length {
        let due = started + Duration::from_secs_f64(answer.body.len() as f64 / bytes_per_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..count]);
    }
    Ok(())
}

/// Sends a request without a body.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> io::Result<()> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer north-key\r\nContent-Length: 0\r\n\r\n",
        deadline.as_millis()
    );
    stream.write_all(text.as_bytes())
}

/// Status of a GET request to one of the host's own pages, and its body.
pub fn get_page(address: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes())?;
    let mut rest = Vec::new();
    let head = read_head(&mut stream, &mut rest)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = crate::http::read_body(&mut stream, &mut rest, head.length().unwrap_or(0))?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
