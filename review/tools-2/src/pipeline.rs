//! Clients that pipeline, while their host stops.

use std::{
    collections::VecDeque,
    io::{self, Read, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    host::{self, Host},
    http::read_head,
    instance::{self, InstanceSettings, Runs},
    store::Store,
    Folder, Record,
};

const CONFIG: &str = r#"{"version":"r3","routes":[{"name":"lookup","host":"app.example","pathPrefix":"/lookup/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.8,"priority":2,"service":"registry","attempts":2,"public":false}],"services":[{"name":"registry","healthCheckPath":"/health","maxConnections":390}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":10},"tenants":[{"name":"north","apiKeys":["north-key"],"ratePerS":0,"burst":0}]}"#;
const BOUNDS: &str = r#""stop_grace_s": 6, "lookup_keep_max_s": 5, "retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10, "limit_window_s": 5, "limit_overshoot": 0.1, "limit_slack": 20"#;

/// Largest answer of the lookups of crespella-varco, and their mean work.
const ANSWER_BYTES: usize = 30_000;
const WORK: Duration = Duration::from_millis(220);

/// Delay of the link between clients and hosts, one way.
const LINK_DELAY: Duration = Duration::from_millis(8);

/// Bytes that the link passes on to a client in one delay.
const LINK_BYTES: usize = 8 << 10;

const DEADLINE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 48;
const STOPS: usize = 4;

/// Shortest and longest time between two requests of a client.
const GAP_MS: (u64, u64) = (60, 400);

/// Time of the clients' requests before and after the stop signal.
const BEFORE: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_millis(2_500);

/// A request as its client saw it.
struct Sent {
    id: String,
    at: Instant,
    /// Whether the whole answer arrived.
    is_answered: bool,
    /// Bytes of the answer's body that arrived before the connection ended.
    received: usize,
    has_head: bool,
}

pub fn run(record: &Record, folder: &Folder, has_trouble: bool) -> io::Result<bool> {
    let store = Store::open()?;
    store.put("op", "config", CONFIG);
    let runs = Runs::default();
    for index in 0..24 {
        let settings = InstanceSettings {
            id: format!("i-{index}"),
            service: "registry".to_owned(),
            zone: if index % 2 == 0 { "a" } else { "b" }.to_owned(),
            slots: 4,
            work: WORK,
            answer_bytes: ANSWER_BYTES,
        };
        instance::open(settings, &store, &runs)?;
    }
    let plans = [
        host::plan("h0", "a", store.address, folder.path())?,
        host::plan("h1", "b", store.address, folder.path())?,
    ];
    let seeds: Vec<_> = plans.iter().map(|plan| plan.copies).collect();
    let mut hosts = Vec::new();
    for plan in &plans {
        hosts.push(Host::start(plan, &seeds, BOUNDS)?);
    }
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("a host did not become ready"));
        }
    }
    thread::sleep(Duration::from_secs(2));
    record.line("both hosts are ready");
    let mut lost = 0;
    for stop in 0..STOPS {
        let index = stop % 2;
        let front = plans[index].front;
        let stop_at = Instant::now() + BEFORE;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let name = format!("look-{stop}-{number}");
                let seed = (stop * CLIENTS + number) as u64 + 1;
                thread::spawn(move || pipeline(front, &name, seed, stop_at + AFTER))
            })
            .collect();
        thread::sleep(stop_at.saturating_duration_since(Instant::now()));
        if has_trouble {
            hosts[index].signal(host::SIGTERM);
            record.line(&format!("SIGTERM to {}", plans[index].name));
        }
        let mut sent = Vec::new();
        for client in clients {
            match client.join() {
                Ok(Ok(requests)) => sent.extend(requests),
                Ok(Err(err)) => record.line(&format!("a client could not connect: {err}")),
                Err(_) => return Err(io::Error::other("a client failed")),
            }
        }
        let answered = sent.iter().filter(|request| request.is_answered).count();
        record.line(&format!(
            "{} requests on kept connections, {answered} answered",
            sent.len()
        ));
        let runs = runs.lock().unwrap();
        for request in &sent {
            let run = runs.iter().find(|run| run.id == request.id);
            let at = |instant: Instant| match instant.checked_duration_since(stop_at) {
                Some(after) => format!("{:.3} s after", after.as_secs_f64()),
                None => format!(
                    "{:.3} s before",
                    stop_at.duration_since(instant).as_secs_f64()
                ),
            };
            let Some(run) = run.filter(|_| !request.is_answered) else {
                record.line(&format!(
                    "{}: sent {} the stop signal, run by an instance: {}, answered: {}",
                    request.id,
                    at(request.at),
                    run.is_some(),
                    request.is_answered,
                ));
                continue;
            };
            record.line(&format!(
                "{}: sent {} the stop signal, run by an instance that had written its answer {}; the connection ended with {} of {ANSWER_BYTES} bytes (head: {})",
                request.id,
                at(request.at),
                run.answered.map_or("never".to_owned(), at),
                request.received,
                request.has_head,
            ));
            if run.answered.is_some() {
                lost += 1;
            }
        }
        drop(runs);
        if has_trouble {
            let end = stop_at + Duration::from_secs(6);
            while Instant::now() < end && hosts[index].ended().is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            hosts[index] = Host::start(&plans[index], &seeds, BOUNDS)?;
            if !hosts[index].wait_ready(Duration::from_secs(15)) {
                return Err(io::Error::other("a host did not become ready again"));
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
    record.line(&format!(
        "requests that were passed on and whose connection ended without a complete answer: {lost}"
    ));
    Ok(lost > 0)
}

/// Bytes on a link, each with the time at which it arrives.
#[derive(Default)]
struct Link(VecDeque<(Instant, Vec<u8>)>);

impl Link {
    fn push(&mut self, bytes: Vec<u8>) {
        self.0.push_back((Instant::now() + LINK_DELAY, bytes));
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let is_due = self.0.front().is_some_and(|(at, _)| *at <= Instant::now());
        is_due.then(|| self.0.pop_front()).flatten().map(|(_, b)| b)
    }
}

/// Sends requests on one connection over a link with a delay, without waiting
/// for their answers, until an answer closes the connection or `end`.
fn pipeline(front: SocketAddr, name: &str, seed: u64, end: Instant) -> io::Result<Vec<Sent>> {
    let mut stream = client::open(front, client::RECEIVE_BYTES)?;
    stream.set_nonblocking(true)?;
    let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut gap = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        Duration::from_millis(GAP_MS.0 + random % (GAP_MS.1 - GAP_MS.0))
    };
    let (mut up, mut down) = (Link::default(), Link::default());
    let mut sent: Vec<Sent> = Vec::new();
    let mut answered = 0;
    let mut next_send = Instant::now() + gap();
    let mut next_read = Instant::now();
    let mut received = Vec::new();
    let mut is_closing = false;
    let mut has_ended = false;
    loop {
        let now = Instant::now();
        if !is_closing && now >= next_send && now < end {
            let id = format!("{name}-{}", sent.len());
            let text = format!(
                "GET /lookup/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer north-key\r\n\r\n",
                DEADLINE.as_millis()
            );
            up.push(text.into_bytes());
            sent.push(Sent {
                id,
                at: now,
                is_answered: false,
                received: 0,
                has_head: false,
            });
            next_send = now + gap();
        }
        while let Some(bytes) = up.pop() {
            if !has_ended && stream.write_all(&bytes).is_err() {
                // Answers that are under way still arrive.
                up.0.clear();
            }
        }
        if !has_ended && now >= next_read {
            next_read = now + LINK_DELAY;
            let mut chunk = vec![0; LINK_BYTES];
            match stream.read(&mut chunk) {
                Ok(0) => has_ended = true,
                Ok(count) => down.push(chunk[..count].to_vec()),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => has_ended = true,
            }
        }
        while let Some(bytes) = down.pop() {
            received.extend_from_slice(&bytes);
        }
        // Answers come in the order of the requests.
        while answered < sent.len() {
            let mut rest = received.clone();
            let Ok(Some(head)) = read_head(&mut io::empty(), &mut rest) else {
                break;
            };
            sent[answered].has_head = true;
            is_closing |= head.get("connection") == Some("close");
            let length = head.length().unwrap_or(0);
            sent[answered].received = rest.len().min(length);
            if rest.len() < length {
                break;
            }
            sent[answered].is_answered = true;
            answered += 1;
            rest.drain(..length);
            received = rest;
        }
        let is_idle = answered == sent.len() && (is_closing || now >= end);
        let is_over = has_ended && down.0.is_empty();
        if is_idle || is_over || now >= end + DEADLINE {
            return Ok(sent);
        }
        thread::sleep(Duration::from_millis(1));
    }
}
