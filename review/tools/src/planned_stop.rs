//! Hosts are stopped in a planned way, in turn, while instances work on long
//! requests whose bodies they read later.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, Record, Shape, ZONES, lock, look_up, next_id, request_head},
    http::{Connection, exchange},
    server::{Manner, now_ms},
};

const CLIENTS: usize = 18;

/// More than the socket buffers of a host and an instance hold together, and an
/// eighth of `maxBodyBytes`.
const REQUEST_BYTES: usize = 8 << 20;

/// The deadline of clients, which is the route's timeout too.
const DEADLINE: Duration = Duration::from_secs(5);

/// Hosts that are stopped, one after the other.
const STOPS: usize = 6;

/// Time from one stop to the next; a host has exited and started again by then.
const STOP_PERIOD: Duration = Duration::from_secs(9);

/// `graceS`, and the second after it that still belongs to the planned work.
const PLANNED_MS: u128 = 7_000;

const SHAPE: Shape = Shape {
    hosts_per_zone: 2,
    instances_per_zone: 3,
    work: Duration::from_millis(290),
    manner: Manner::ReadsLate,
    memory_mb: 260,
};

/// A request that got no answer of an instance.
struct Failure {
    id: String,
    host: SocketAddr,
    sent_ms: u128,
    ended_ms: u128,
    what: String,
}

#[derive(Default)]
struct Outcomes {
    served: usize,
    failures: Vec<Failure>,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(&SHAPE)?;
    record.line("all hosts are ready");
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let lookups: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.lookup).collect();
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let body = vec![b'u'; REQUEST_BYTES];
                let mut turn = number;
                while !is_over.load(Ordering::Relaxed) {
                    turn += 1;
                    send(&record, &outcomes, &lookups, zone, turn, &body);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    let mut stops: HashMap<SocketAddr, u128> = HashMap::new();
    let folder = fleet.folder().clone();
    for index in 0..STOPS {
        let next = Instant::now() + STOP_PERIOD;
        if has_trouble {
            let host = &mut fleet.hosts[index];
            record.line(&format!("{} gets SIGTERM", host.name));
            stops.insert(host.front, now_ms());
            host.stop(Duration::from_secs(6))?;
            record.line(&format!("{} has exited", host.name));
            host.start(&folder)?;
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    let arrivals = fleet.arrivals();
    for arrival in &arrivals {
        record.line(&format!(
            "instance {} at {}: {} {}",
            arrival.instance, arrival.at_ms, arrival.request, arrival.what
        ));
    }
    // When instances began to work on each request, and when they ended.
    let at = |id: &str, what: &str| {
        let found = arrivals.iter().rfind(|a| a.request == id && a.what == what);
        found.map(|arrival| arrival.at_ms)
    };
    let outcomes = lock(&outcomes);
    let mut lost = 0;
    for failure in &outcomes.failures {
        let Some(stopped_ms) = stops.get(&failure.host).copied() else {
            continue;
        };
        let is_planned =
            failure.ended_ms > stopped_ms && failure.ended_ms < stopped_ms + PLANNED_MS;
        let is_at_work = at(&failure.id, "runs").is_some_and(|ms| ms < failure.ended_ms)
            && at(&failure.id, "ended").is_none_or(|ms| ms >= failure.ended_ms);
        let spent = failure.ended_ms - failure.sent_ms;
        let is_in_time = spent + 200 < DEADLINE.as_millis();
        // The rule excuses what instances work on in the last sixth of the
        // grace period.
        let is_excused = failure.ended_ms >= stopped_ms + 5_000;
        if is_planned && is_at_work && is_in_time && !is_excused {
            lost += 1;
            record.line(&format!(
                "lost: {} sent at {}, {} at {}, {} ms after the SIGTERM, its instance at work",
                failure.id,
                failure.sent_ms,
                failure.what,
                failure.ended_ms,
                failure.ended_ms - stopped_ms
            ));
        }
    }
    record.line(&format!(
        "served {}, not served {}, broken off after a SIGTERM with the instance at work {lost}",
        outcomes.served,
        outcomes.failures.len()
    ));
    let total = outcomes.served + outcomes.failures.len();
    fleet.close();
    Ok(match lost {
        0 if total < 20 => Verdict::NotRun("too few requests were sent"),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn send(
    record: &Record,
    outcomes: &Mutex<Outcomes>,
    lookups: &[SocketAddr],
    zone: &str,
    turn: usize,
    body: &[u8],
) {
    let found = (0..lookups.len()).find_map(|step| {
        let addresses = look_up(lookups[(turn + step) % lookups.len()], zone).ok()?;
        addresses.get(turn % addresses.len().max(1)).copied()
    });
    let Some(host) = found else {
        std::thread::sleep(Duration::from_millis(100));
        return;
    };
    let Ok(mut connection) = Connection::open(host, Duration::from_secs(1)) else {
        std::thread::sleep(Duration::from_millis(100));
        return;
    };
    let id = next_id();
    let head = request_head("/book/1", &id, body.len(), DEADLINE);
    let sent_ms = now_ms();
    record.line(&format!("client: {id} sent to {host}"));
    let what = match exchange(&mut connection, &head, body, DEADLINE) {
        Ok(answer) if answer.is_signed => {
            record.line(&format!("client: {id} answered {}", answer.status));
            lock(outcomes).served += 1;
            return;
        }
        Ok(answer) if answer.status == 503 => {
            record.line(&format!("client: {id} refused with 503"));
            std::thread::sleep(Duration::from_millis(200));
            return;
        }
        Ok(answer) => format!("answered {}", answer.status),
        Err(err) => format!("not answered ({err})"),
    };
    let ended_ms = now_ms();
    record.line(&format!(
        "client: {id} {what} after {} ms",
        ended_ms - sent_ms
    ));
    lock(outcomes).failures.push(Failure {
        id,
        host,
        sent_ms,
        ended_ms,
        what,
    });
}
