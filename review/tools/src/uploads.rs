//! More clients than usual send long bodies at once. The platform kills a
//! process whose memory exceeds `memoryMb`.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, Record, Shape, ZONES, lock, look_up, next_id, request_head},
    http::{Connection, exchange},
    server::Manner,
};

/// Clients of each zone that book on connections that they keep.
const BOOKERS: usize = 4;

const BOOKING_DEADLINE: Duration = Duration::from_secs(2);

/// Uploads at once in one zone on a usual day, and times as many in a burst.
const USUAL_UPLOADS: usize = 3;
const BURST: f64 = 1.7;

/// Less than `maxBodyBytes`, which is 64 MiB.
const UPLOAD_BYTES: usize = 50 << 20;

/// Pieces in which a client sends its upload, and the pause after each.
const PIECES: usize = 50;
const PIECE_PAUSE: Duration = Duration::from_millis(25);

const UPLOAD_DEADLINE: Duration = Duration::from_secs(5);

/// Bursts in each zone, and the time from one to the next.
const BURSTS: usize = 3;
const BURST_PERIOD: Duration = Duration::from_secs(8);

/// The platform's `memoryMb`, as MiB.
const MEMORY_MB: u64 = 260;

/// Time until the platform starts a killed process again.
const RESTART: Duration = Duration::from_secs(1);

const SHAPE: Shape = Shape {
    hosts_per_zone: 1,
    instances_per_zone: 4,
    work: Duration::from_millis(290),
    manner: Manner::Whole,
    memory_mb: MEMORY_MB,
};

#[derive(Default)]
struct Counts {
    booked: AtomicUsize,
    /// Bookings whose kept connection ended without an answer, by request id,
    /// with the zone of the client.
    cut: Mutex<HashMap<String, &'static str>>,
    uploaded: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(&SHAPE)?;
    record.line("all hosts are ready");
    let counts = Arc::new(Counts::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for host in &fleet.hosts {
        let zone = ZONES.into_iter().find(|zone| *zone == host.zone);
        let (zone, lookup) = (zone.expect("hosts have known zones"), host.lookup);
        for _ in 0..BOOKERS {
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            let is_over = Arc::clone(&is_over);
            clients.push(std::thread::spawn(move || {
                book(&record, &counts, lookup, zone, &is_over);
            }));
        }
        let uploads = match has_trouble {
            true => (USUAL_UPLOADS as f64 * BURST) as usize,
            false => USUAL_UPLOADS,
        };
        for _ in 0..uploads {
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            clients.push(std::thread::spawn(move || {
                for _ in 0..BURSTS {
                    let started = Instant::now();
                    std::thread::sleep(Duration::from_secs(3));
                    upload(&record, &counts, lookup, zone);
                    std::thread::sleep(BURST_PERIOD.saturating_sub(started.elapsed()));
                }
            }));
        }
    }
    let end = Instant::now() + BURST_PERIOD * BURSTS as u32;
    let (kills, peak) = watch_memory(record, &mut fleet, end)?;
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
    let cut = lock(&counts.cut).clone();
    let mut lost: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.what == "runs") {
        if let Some(zone) = cut.get(&arrival.request) {
            *lost.entry(zone).or_default() += 1;
        }
    }
    let most = lost.values().copied().max().unwrap_or(0);
    let booked = counts.booked.load(Ordering::Relaxed);
    record.line(&format!(
        "booked {booked}, uploaded {}; hosts killed for their memory {kills} times, most memory \
         {peak} MiB of {MEMORY_MB}; bookings that ran and whose kept connection ended without an \
         answer, by zone: {lost:?}",
        counts.uploaded.load(Ordering::Relaxed)
    ));
    fleet.close();
    Ok(match most {
        0..=3 if booked < 100 => Verdict::NotRun("too few requests were served"),
        0..=3 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Kills each host whose memory exceeds the limit and starts it again, as the
/// platform does. Returns how often, and the largest memory of a host in MiB.
fn watch_memory(record: &Record, fleet: &mut Fleet, end: Instant) -> io::Result<(usize, u64)> {
    let (mut kills, mut peak) = (0, 0);
    let mut starts: HashMap<String, Instant> = HashMap::new();
    let folder = fleet.folder().clone();
    while Instant::now() < end {
        for host in &mut fleet.hosts {
            let used = host
                .process
                .as_ref()
                .map_or(0, |process| memory_mb(process.id()));
            peak = peak.max(used);
            if used > MEMORY_MB {
                record.line(&format!("{} uses {used} MiB and is killed", host.name));
                host.process = None;
                kills += 1;
                starts.insert(host.name.clone(), Instant::now() + RESTART);
            }
            if starts
                .get(&host.name)
                .is_some_and(|at| Instant::now() >= *at)
            {
                starts.remove(&host.name);
                host.start(&folder)?;
                record.line(&format!("{} starts again", host.name));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok((kills, peak))
}

/// Resident memory of a process in MiB; 0 once it has ended.
fn memory_mb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) >> 10
}

fn connect(lookup: SocketAddr, zone: &str) -> io::Result<Connection> {
    let addresses = look_up(lookup, zone)?;
    let address = addresses.first().copied().ok_or(io::ErrorKind::NotFound)?;
    Connection::open(address, Duration::from_secs(1))
}

fn book(
    record: &Record,
    counts: &Counts,
    lookup: SocketAddr,
    zone: &'static str,
    is_over: &AtomicBool,
) {
    let mut kept: Option<Connection> = None;
    while !is_over.load(Ordering::Relaxed) {
        let is_kept = kept.is_some();
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => connect(lookup, zone),
        };
        let Ok(mut connection) = connection else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = next_id();
        let head = request_head("/book/1", &id, 300, BOOKING_DEADLINE);
        record.line(&format!("client: booking {id} sent by a client of {zone}"));
        match exchange(&mut connection, &head, &[b'b'; 300], BOOKING_DEADLINE) {
            Ok(answer) => {
                record.line(&format!("client: booking {id} answered {}", answer.status));
                counts
                    .booked
                    .fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
                kept = Some(connection).filter(|_| !answer.closes);
            }
            Err(err) => {
                record.line(&format!(
                    "client: booking {id} not answered, kept connection {is_kept}: {err}"
                ));
                let is_cut = !matches!(
                    err.kind(),
                    io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
                );
                if is_kept && is_cut {
                    lock(&counts.cut).insert(id, zone);
                }
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn upload(record: &Record, counts: &Counts, lookup: SocketAddr, zone: &str) {
    let id = next_id();
    let head = request_head("/book/1", &id, UPLOAD_BYTES, UPLOAD_DEADLINE);
    let piece = vec![b'u'; UPLOAD_BYTES / PIECES];
    record.line(&format!("client: upload {id} sent by a client of {zone}"));
    let sent = connect(lookup, zone).and_then(|mut connection| {
        connection.stream.set_write_timeout(Some(UPLOAD_DEADLINE))?;
        connection.stream.write_all(head.as_bytes())?;
        for _ in 1..PIECES {
            connection.stream.write_all(&piece)?;
            std::thread::sleep(PIECE_PAUSE);
        }
        exchange(&mut connection, "", &piece, UPLOAD_DEADLINE)
    });
    match sent {
        Ok(answer) => {
            record.line(&format!("client: upload {id} answered {}", answer.status));
            counts
                .uploaded
                .fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
        }
        Err(err) => record.line(&format!("client: upload {id} not answered: {err}")),
    }
}
