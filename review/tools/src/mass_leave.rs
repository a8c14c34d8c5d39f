//! Instances leave in a planned way, several at once, by the removal of their
//! entries.

use std::{
    collections::HashSet,
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
    server::{Manner, now_ms},
};

const CLIENTS: usize = 44;

/// Time from one request of a client to its next.
const CLIENT_PERIOD: Duration = Duration::from_millis(700);

const DEADLINE: Duration = Duration::from_secs(2);

/// Instances that leave: two planned removals of a fifth each.
const LEAVING: usize = 6;

/// `drainS`, in milliseconds.
const DRAIN_MS: u128 = 2_000;

/// Time for which an instance that leaves serves on.
const SERVES_ON: Duration = Duration::from_secs(6);

const SHAPE: Shape = Shape {
    hosts_per_zone: 2,
    instances_per_zone: 5,
    work: Duration::from_millis(290),
    manner: Manner::Whole,
    memory_mb: 260,
};

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(&SHAPE)?;
    record.line("all hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let host = fleet.hosts.iter().find(|host| host.zone == zone);
            let lookup = host.expect("each zone has a host").lookup;
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
            std::thread::spawn(move || {
                std::thread::sleep(CLIENT_PERIOD * number as u32 / CLIENTS as u32);
                let mut client = Client {
                    lookup,
                    zone,
                    turn: number,
                    addresses: Vec::new(),
                    asked: None,
                    connection: None,
                };
                while !is_over.load(Ordering::Relaxed) {
                    let started = Instant::now();
                    sent.fetch_add(1, Ordering::Relaxed);
                    if client.send(&record) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    std::thread::sleep(CLIENT_PERIOD.saturating_sub(started.elapsed()));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(10));
    // The same number of each zone, spread over the order of their starts.
    let leaving: Vec<String> = (0..LEAVING)
        .map(|number| fleet.instances[number % 3 * 5 + number / 3].id.clone())
        .collect();
    let mut removed_ms = 0;
    if has_trouble {
        removed_ms = fleet.remove_entries(&leaving);
        record.line(&format!(
            "the store has removed the entries of {} by {removed_ms}",
            leaving.join(" ")
        ));
    }
    std::thread::sleep(SERVES_ON);
    if has_trouble {
        fleet
            .instances
            .retain(|instance| !leaving.contains(&instance.id));
        record.line("the instances that left have ended");
    }
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    let gone: HashSet<&String> = leaving.iter().collect();
    let mut late = 0;
    for arrival in fleet.arrivals() {
        let is_late = removed_ms > 0
            && gone.contains(&arrival.instance)
            && arrival.at_ms > removed_ms + DRAIN_MS
            && arrival.what == "runs";
        late += usize::from(is_late);
        record.line(&format!(
            "instance {} at {}: {} {}{}",
            arrival.instance,
            arrival.at_ms,
            arrival.request,
            arrival.what,
            match is_late {
                true => format!(", {} ms after its removal", arrival.at_ms - removed_ms),
                false => String::new(),
            }
        ));
    }
    let (served, sent) = (served.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    record.line(&format!(
        "{} ms: sent {sent}, served {served}; reached instances later than {DRAIN_MS} ms after \
         the store had removed them: {late}",
        now_ms()
    ));
    fleet.close();
    Ok(match late {
        0 if served * 2 < sent => Verdict::NotRun("too few requests were served"),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

struct Client {
    lookup: std::net::SocketAddr,
    zone: &'static str,
    turn: usize,
    addresses: Vec<std::net::SocketAddr>,
    asked: Option<Instant>,
    connection: Option<Connection>,
}

impl Client {
    /// Sends one request, and returns whether it was served.
    fn send(&mut self, record: &Record) -> bool {
        if self
            .asked
            .is_none_or(|at| at.elapsed() > Duration::from_secs(2))
            && let Ok(addresses) = look_up(self.lookup, self.zone)
        {
            self.addresses = addresses;
            self.asked = Some(Instant::now());
        }
        let id = next_id();
        let head = request_head("/book/1", &id, 300, DEADLINE);
        record.line(&format!("client: {id} sent"));
        match self.try_send(&head) {
            Ok(status) => {
                record.line(&format!("client: {id} answered {status}"));
                status == 200
            }
            Err(err) => {
                self.connection = None;
                record.line(&format!("client: {id} not answered: {err}"));
                false
            }
        }
    }

    fn try_send(&mut self, head: &str) -> io::Result<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                self.turn += 1;
                let count = self.addresses.len().max(1);
                let address = self.addresses.get(self.turn % count);
                let address = address.copied().ok_or(io::ErrorKind::NotFound)?;
                Connection::open(address, Duration::from_secs(1))?
            }
        };
        let answer = exchange(&mut connection, head, &[b'b'; 300], DEADLINE)?;
        if !answer.closes {
            self.connection = Some(connection);
        }
        Ok(answer.status)
    }
}
