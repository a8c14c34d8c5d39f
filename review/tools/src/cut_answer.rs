//! Instances crash while they answer long requests early and without a length.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, Record, Shape, ZONES, look_up, next_id, request_head},
    http::{Connection, exchange},
    server::{Manner, answer_body},
};

const CLIENTS: usize = 15;

/// More than the socket buffers of a host and an instance hold together, and a
/// sixteenth of `maxBodyBytes`.
const REQUEST_BYTES: usize = 4 << 20;

const DEADLINE: Duration = Duration::from_secs(5);

const CRASHES: usize = 8;

/// Time for which a crashed instance is down.
const DOWN: Duration = Duration::from_millis(4_500);

const SHAPE: Shape = Shape {
    hosts_per_zone: 1,
    instances_per_zone: 3,
    work: Duration::from_millis(290),
    manner: Manner::Early,
    memory_mb: 260,
};

#[derive(Default)]
struct Counts {
    whole: AtomicUsize,
    partial: AtomicUsize,
    other: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(&SHAPE)?;
    record.line("all hosts are ready");
    let counts = Arc::new(Counts::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let host = fleet.hosts.iter().find(|host| host.zone == zone);
            let lookup = host.expect("each zone has a host").lookup;
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let body = vec![b'u'; REQUEST_BYTES];
                while !is_over.load(Ordering::Relaxed) {
                    send(&record, &counts, lookup, zone, &body);
                }
            })
        })
        .collect();
    for _ in 0..CRASHES {
        std::thread::sleep(Duration::from_secs(1));
        if !has_trouble {
            std::thread::sleep(DOWN);
            continue;
        }
        let Some(busy) = busy_instance(&fleet) else {
            return Ok(Verdict::NotRun("no instance works"));
        };
        let zone = fleet.instances[busy].zone.clone();
        let id = fleet.crash_instance(busy);
        record.line(&format!("instance {id} crashes"));
        std::thread::sleep(DOWN);
        fleet.start_instance(&zone, &SHAPE)?;
        record.line(&format!("an instance of {zone} starts"));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    for arrival in fleet.arrivals() {
        record.line(&format!(
            "instance {} at {}: {} {}",
            arrival.instance, arrival.at_ms, arrival.request, arrival.what
        ));
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (whole, partial, other) = (
        count(&counts.whole),
        count(&counts.partial),
        count(&counts.other),
    );
    record.line(&format!(
        "answered 200 with the whole body: {whole}; 200 with a part of it: {partial}; \
         otherwise: {other}"
    ));
    fleet.close();
    Ok(match (partial, whole) {
        (0, 0..100) => Verdict::NotRun("too few requests were served"),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Waits until an instance works on two requests, or takes one that works on
/// one after a while.
fn busy_instance(fleet: &Fleet) -> Option<usize> {
    let end = Instant::now() + Duration::from_secs(2);
    loop {
        let running = (0..fleet.instances.len()).map(|index| (fleet.running(index), index));
        let (count, index) = running.max()?;
        if count >= 2 {
            return Some(index);
        }
        if Instant::now() > end {
            return (count > 0).then_some(index);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn send(record: &Record, counts: &Counts, lookup: std::net::SocketAddr, zone: &str, body: &[u8]) {
    let id = next_id();
    let head = request_head("/book/1", &id, body.len(), DEADLINE);
    let answer = look_up(lookup, zone).and_then(|addresses| {
        let address = addresses.first().copied().ok_or(io::ErrorKind::NotFound)?;
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        record.line(&format!("client: {id} sent to {address}"));
        exchange(&mut connection, &head, body, DEADLINE)
    });
    let counter = match answer {
        Ok(answer) if answer.status == 200 => {
            let wanted = answer_body(&id);
            let (got, all) = (answer.body.len(), wanted.len());
            record.line(&format!(
                "client: {id} answered 200, signed {}, {got} of {all} bytes",
                answer.is_signed
            ));
            match answer.body == wanted {
                true => &counts.whole,
                false => &counts.partial,
            }
        }
        Ok(answer) => {
            record.line(&format!("client: {id} answered {}", answer.status));
            &counts.other
        }
        Err(err) => {
            record.line(&format!("client: {id} not answered: {err}"));
            &counts.other
        }
    };
    counter.fetch_add(1, Ordering::Relaxed);
}
