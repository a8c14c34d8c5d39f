//! Answers that are held for clients that read slowly.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    host::{self, Host},
    instance::{self, InstanceSettings, Runs},
    store::Store,
    Folder, Record,
};

const CONFIG: &str = r#"{"version":"r3","routes":[{"name":"certs","host":"app.example","pathPrefix":"/certs/","routeType":"download","timeoutS":10,"targetLatencyS":6,"priority":2,"service":"docs","attempts":2,"public":false},{"name":"book","host":"app.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutS":2.5,"targetLatencyS":0.8,"priority":1,"service":"bind","attempts":1,"public":false}],"services":[{"name":"docs","healthCheckPath":"/health","maxConnections":390},{"name":"bind","healthCheckPath":"/health","maxConnections":390}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":10},"tenants":[{"name":"north","apiKeys":["north-key"],"ratePerS":0,"burst":0}]}"#;
const BOUNDS: &str = r#""stop_grace_s": 6, "lookup_keep_max_s": 5, "retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10, "limit_window_s": 5, "limit_overshoot": 0.1, "limit_slack": 20"#;

/// Memory of a machine of the small deployments.
const MEMORY_MB: u64 = 260;

/// Largest answer of the downloads of qcq-perth-grown.
const ANSWER_BYTES: usize = 540_000;
const DEADLINE: Duration = Duration::from_secs(10);

/// Downloads of one round at each host, and the time between two of them: as many
/// at both hosts together as the sheet has in a second (87).
const DOWNLOADS: usize = 420;
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(23);

/// Time that a slow client takes to read its answer.
const READ_TIME: f64 = 9.0;

const ROUNDS: usize = 4;

/// Time after which the platform starts a process that ended again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Callers that book one after the other on a kept connection, at each host.
const BOOKERS: usize = 4;

/// Bookings that were passed on and not answered, beyond which LOST is broken.
const LOST_MAX: usize = 3;

/// Ends of processes on one machine that count as a fault.
const ENDS_MAX: usize = 3;

pub fn run(record: &Record, folder: &Folder, has_trouble: bool) -> io::Result<bool> {
    let store = Store::open()?;
    store.put("op", "config", CONFIG);
    let runs = Runs::default();
    for index in 0..8 {
        let settings = InstanceSettings {
            id: format!("i-{index}"),
            service: "docs".to_owned(),
            zone: if index % 2 == 0 { "a" } else { "b" }.to_owned(),
            slots: 4,
            work: Duration::from_millis(110),
            answer_bytes: ANSWER_BYTES,
        };
        instance::open(settings, &store, &runs)?;
    }
    for index in 0..8 {
        let settings = InstanceSettings {
            id: format!("b-{index}"),
            service: "bind".to_owned(),
            zone: if index % 2 == 0 { "a" } else { "b" }.to_owned(),
            slots: 4,
            work: Duration::from_millis(290),
            answer_bytes: 1_500,
        };
        instance::open(settings, &store, &runs)?;
    }
    let mut plans = [
        host::plan("h0", "a", store.address, folder.path())?,
        host::plan("h1", "b", store.address, folder.path())?,
    ];
    for plan in &mut plans {
        plan.memory_mb = MEMORY_MB;
    }
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
    let is_over = Arc::new(AtomicBool::new(false));
    let mut bookers = Vec::new();
    for plan in &plans {
        for number in 0..BOOKERS {
            let (front, is_over) = (plan.front, Arc::clone(&is_over));
            let name = format!("book-{}-{number}", plan.name);
            bookers.push(thread::spawn(move || book(front, &name, &is_over)));
        }
    }
    let mut ends = [0; 2];
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for (number, plan) in plans.iter().enumerate() {
            for download in 0..DOWNLOADS {
                let id = format!("cert-{round}-{number}-{download}");
                let at = DOWNLOAD_INTERVAL * download as u32;
                let front = plan.front;
                clients.push(thread::spawn(move || {
                    thread::sleep(at);
                    let outcome = download_once(front, &id, has_trouble);
                    (id, outcome)
                }));
            }
        }
        let started = Instant::now();
        let mut peaks = [0.0_f64; 2];
        let mut down: [Option<Instant>; 2] = [None; 2];
        let mut ended_in = [0; 2];
        while !clients.iter().all(thread::JoinHandle::is_finished)
            && started.elapsed() < Duration::from_secs(24)
        {
            for (index, host) in hosts.iter_mut().enumerate() {
                if let Some(at) = down[index] {
                    if at.elapsed() >= RESTART_DELAY {
                        *host = Host::start(&plans[index], &seeds, BOUNDS)?;
                        down[index] = None;
                    }
                    continue;
                }
                let resident = host.resident_mb();
                peaks[index] = peaks[index].max(resident);
                // The platform kills a process that exceeds its memory.
                if resident > MEMORY_MB as f64 {
                    record.line(&format!(
                        "{} holds {resident:.0} MB of {MEMORY_MB} MB and is killed",
                        plans[index].name
                    ));
                    host.signal(host::SIGKILL);
                    ended_in[index] += 1;
                    down[index] = Some(Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        let mut outcomes = std::collections::BTreeMap::new();
        let ran = run_ids(&runs);
        for client in clients {
            let Ok((id, outcome)) = client.join() else {
                return Err(io::Error::other("a client failed"));
            };
            let has_run = ran.contains(&id);
            record.line(&format!(
                "{id}: sent; run by an instance: {has_run}; got {outcome}"
            ));
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            ends[index] += ended_in[index];
            if down[index].is_some() {
                *host = Host::start(&plans[index], &seeds, BOUNDS)?;
            }
            host.wait_ready(Duration::from_secs(10));
        }
        record.line(&format!(
            "round {round}: {DOWNLOADS} downloads at each host; most memory {:.0} and {:.0} MB; processes over their memory {ended_in:?}; clients got {outcomes:?}",
            peaks[0], peaks[1]
        ));
        thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!(
        "ends of processes, all without a disruption of their machines: h0 {}, h1 {}",
        ends[0], ends[1]
    ));
    is_over.store(true, Ordering::Relaxed);
    let (mut answered, mut broken_off) = (0, Vec::new());
    for booker in bookers {
        let (count, ids) = booker.join().unwrap_or_default();
        answered += count;
        broken_off.extend(ids);
    }
    let runs = runs.lock().unwrap();
    let lost = broken_off
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id));
    let lost: Vec<&String> = lost.collect();
    for run in runs.iter().filter(|run| run.id.starts_with("book-")) {
        let is_lost = broken_off.contains(&run.id);
        record.line(&format!(
            "{}: run; its connection ended without an answer: {is_lost}",
            run.id
        ));
    }
    record.line(&format!(
        "bookings: {answered} answered; sent on a kept connection, run by an instance and never answered: {} {lost:?}",
        lost.len()
    ));
    let is_fault = ends.iter().all(|count| *count >= ENDS_MAX);
    record.line(&format!(
        "Fault is broken: {is_fault}; LOST is broken: {}",
        lost.len() > LOST_MAX
    ));
    Ok(is_fault)
}

fn run_ids(runs: &Runs) -> HashSet<String> {
    let runs = runs.lock().unwrap();
    runs.iter().map(|run| run.id.clone()).collect()
}

/// Books one after the other on a kept connection. Returns how many bookings
/// were answered, and the ids of those that a kept connection ended without an
/// answer.
fn book(front: SocketAddr, name: &str, is_over: &AtomicBool) -> (usize, Vec<String>) {
    let (mut answered, mut broken_off) = (0, Vec::new());
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = client::open(front, client::RECEIVE_BYTES) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{name}-{number}");
            let sent = client::send(&mut stream, "POST", "/book/1", &id, Duration::from_secs(4));
            if sent.is_err() {
                break;
            }
            let answer = client::read_answer(&mut stream, f64::INFINITY);
            if !answer.is_complete() {
                if is_kept {
                    broken_off.push(id);
                }
                break;
            }
            answered += 1;
            let closes = answer
                .head
                .is_some_and(|head| head.get("connection") == Some("close"));
            if closes {
                break;
            }
            is_kept = true;
        }
    }
    (answered, broken_off)
}

fn download_once(front: SocketAddr, id: &str, is_slow: bool) -> String {
    let result = || -> io::Result<client::Answer> {
        let mut stream = client::open(front, client::RECEIVE_BYTES)?;
        client::send(&mut stream, "GET", "/certs/1", id, DEADLINE)?;
        let pace = match is_slow {
            true => ANSWER_BYTES as f64 / READ_TIME,
            false => f64::INFINITY,
        };
        Ok(client::read_answer(&mut stream, pace))
    };
    match result() {
        Ok(answer) if answer.status() == 200 && answer.is_complete() => "200, whole".to_owned(),
        Ok(answer) if answer.head.is_some() && answer.is_complete() => answer.status().to_string(),
        Ok(answer) if answer.head.is_some() => format!("{}, cut", answer.status()),
        Ok(_) => "connection closed without an answer".to_owned(),
        Err(err) => format!("{:?}", err.kind()),
    }
}
