use std::{net::SocketAddr, time::Duration};

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    tokio::{sync::watch, task::JoinHandle, time::Instant},
};

use crate::{
    CallerConnection, RequestSpec,
    entry_fleet::{EntryConfiguration, EntryHostAddresses, EntryWorkspace, look_up},
    soak::{
        SERVICES,
        records::{CallerEnd, CallerRecord, SoakRecords},
    },
};

/// Time for which a caller caches the answer of a lookup. Every fifth caller
/// caches it three times as long.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Deadline of a request, relative to its start.
const DEADLINE_MS: u32 = 1_500;

/// Time after the deadline at which a request counts as unanswered.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(600);

/// Settings of the callers of a soak.
#[derive(Clone, Debug)]
pub(crate) struct TrafficSettings {
    pub(crate) callers: usize,
    pub(crate) seed: u64,
    /// Availability zone and addresses of each host.
    pub(crate) hosts: Vec<(String, EntryHostAddresses)>,
}

/// Callers that send requests until [`RunningTraffic::close`].
pub(crate) struct RunningTraffic {
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<()>>,
}

impl RunningTraffic {
    /// Stops the callers; each finishes its current request first.
    pub(crate) async fn close(self) {
        self.stop.send_replace(true);
        for caller in self.callers {
            // A caller that panicked sends no more requests either.
            let _ = caller.await;
        }
    }
}

/// The configuration at the start of a soak: a small workspace with a tight rate
/// limit, and two larger ones.
/// Requests per second that a backend server can handle in cold start.
pub(crate) const COLD_RATE_PER_S: f64 = 1.0;

/// Duration of a cold start.
pub(crate) const COLD_TIME: Duration = Duration::from_secs(6);

pub(crate) fn initial_configuration() -> EntryConfiguration {
    let workspace = |name: &str, rate_per_s| EntryWorkspace {
        name: name.to_owned(),
        keys: vec![format!("{name}-key-0")],
        rate_per_s,
        burst: rate_per_s,
    };
    EntryConfiguration {
        workspaces: vec![
            workspace("north", 400.0),
            workspace("south", 400.0),
            workspace("tight", 15.0),
        ],
        cold_rate_per_s: Some(COLD_RATE_PER_S),
        cold_time: COLD_TIME,
        ..Default::default()
    }
}

/// Starts the callers.
pub(crate) fn start(settings: &TrafficSettings, records: &SoakRecords) -> RunningTraffic {
    let workspaces = initial_configuration().workspaces;
    *records.keys() = workspaces
        .iter()
        .map(|workspace| (workspace.name.clone(), workspace.keys[0].clone()))
        .collect();
    let (stop, stopped) = watch::channel(false);
    let callers = (0..settings.callers).map(|number| {
        let caller = SoakCaller {
            number,
            zone: settings.hosts[number % settings.hosts.len()].0.clone(),
            hosts: settings.hosts.clone(),
            records: records.clone(),
            random: SmallRng::seed_from_u64(settings.seed ^ (number as u64) << 32),
            known_hosts: Vec::new(),
            lookup_expiry: Instant::now(),
            connection: None,
            sent: 0,
        };
        tokio::spawn(caller.run(stopped.clone()))
    });
    RunningTraffic {
        callers: callers.collect(),
        stop,
    }
}

struct SoakCaller {
    number: usize,
    zone: String,
    hosts: Vec<(String, EntryHostAddresses)>,
    records: SoakRecords,
    random: SmallRng,
    /// Addresses from the last lookup, without those that failed since.
    known_hosts: Vec<SocketAddr>,
    lookup_expiry: Instant,
    connection: Option<(SocketAddr, CallerConnection)>,
    sent: u64,
}

impl SoakCaller {
    async fn run(mut self, stopped: watch::Receiver<bool>) {
        while !*stopped.borrow() {
            self.send_request().await;
            let pause = Duration::from_millis(self.random.random_range(20..180));
            tokio::time::sleep(pause).await;
        }
    }

    /// Whether the caller keeps its connection until the host closes it, even if
    /// the last lookup no longer lists the host. Every third caller does.
    fn reuses_connection(&self) -> bool {
        self.number.is_multiple_of(3)
    }

    async fn send_request(&mut self) {
        if Instant::now() >= self.lookup_expiry {
            self.refresh_lookup().await;
        }
        let (host, mut connection) = match self.connection.take() {
            Some((host, open)) if self.reuses_connection() || self.known_hosts.contains(&host) => {
                (host, Ok(open))
            }
            _ => {
                let Some(host) = self.choose_host() else {
                    return;
                };
                (host, CallerConnection::open(host, CONNECT_TIMEOUT).await)
            }
        };
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let (workspace, key) = {
            let keys = self.records.keys();
            keys[self.number % keys.len()].clone()
        };
        let service = SERVICES[usize::from(self.random.random_bool(0.25))];
        let is_repeatable = service == SERVICES[0] && self.random.random_bool(0.4);
        let (method, path) = match is_repeatable {
            true => ("GET", format!("/look-{service}/1")),
            false => ("POST", format!("/book-{service}/1")),
        };
        let spec = RequestSpec {
            method,
            path: &path,
            id: &id,
            key: &key,
            deadline_ms: DEADLINE_MS,
        };
        let sent = Instant::now();
        let (end, closes) = match &mut connection {
            Ok(open) => exchange(open, spec).await,
            Err(_) => (CallerEnd::Unsent, true),
        };
        if end == CallerEnd::Unsent || end == CallerEnd::Closed {
            self.known_hosts.retain(|known| *known != host);
        }
        if !closes && let Ok(open) = connection {
            self.connection = Some((host, open));
        }
        let record = CallerRecord {
            id,
            workspace,
            key,
            service,
            is_repeatable,
            host,
            sent,
            ended: Instant::now(),
            end,
        };
        self.records.requests().push(record);
    }

    /// Looks up the addresses to connect to. Tries up to three hosts, those of
    /// the caller's own zone first.
    async fn refresh_lookup(&mut self) {
        let mut hosts: Vec<SocketAddr> = Vec::new();
        let near = self.hosts.iter().filter(|(zone, _)| *zone == self.zone);
        hosts.extend(near.map(|(_, addresses)| addresses.lookup));
        let far = self.hosts.iter().filter(|(zone, _)| *zone != self.zone);
        hosts.extend(far.map(|(_, addresses)| addresses.lookup));
        for host in hosts.into_iter().take(3) {
            if let Ok(addresses) = look_up(host, &self.zone).await
                && !addresses.is_empty()
            {
                self.known_hosts = addresses;
                break;
            }
        }
        let factor = if self.number.is_multiple_of(5) { 3 } else { 1 };
        self.lookup_expiry = Instant::now() + LOOKUP_TTL * factor;
    }

    fn choose_host(&mut self) -> Option<SocketAddr> {
        let count = self.known_hosts.len().max(1);
        let chosen = self
            .known_hosts
            .get(self.random.random_range(0..count))
            .copied();
        if chosen.is_none() {
            // All known hosts failed; the next request does a new lookup.
            self.lookup_expiry = Instant::now();
        }
        chosen
    }
}

/// Sends a request on an open connection. Returns how it ended, and whether the
/// connection must not be used again.
async fn exchange(connection: &mut CallerConnection, spec: RequestSpec<'_>) -> (CallerEnd, bool) {
    if connection.send(spec).await.is_err() {
        return (CallerEnd::Unsent, true);
    }
    let limit = Duration::from_millis(DEADLINE_MS.into()) + ANSWER_TOLERANCE;
    match connection.read(limit).await {
        Ok(answer) => {
            let is_own = answer.status != 200
                || (answer.id.as_deref() == Some(spec.id)
                    && answer.body == format!("body of {}", spec.id));
            let end = CallerEnd::Answer {
                status: answer.status,
                is_signed: answer.is_signed,
                is_own,
            };
            (end, answer.closes)
        }
        Err(err) if err.kind() == std::io::ErrorKind::TimedOut => (CallerEnd::Unanswered, true),
        Err(_) => (CallerEnd::Closed, true),
    }
}
