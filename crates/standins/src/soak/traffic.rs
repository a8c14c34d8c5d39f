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

/// Time for which a caller keeps the answer of a look-up; some keep it three
/// times as long.
const LOOKUP_KEEP: Duration = Duration::from_secs(2);

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time that a caller gives a request, in milliseconds.
const DEADLINE_MS: u32 = 1_500;

/// Time past the deadline after which a request counts as unanswered.
const LATE: Duration = Duration::from_millis(600);

/// The callers of a soak.
#[derive(Clone, Debug)]
pub(crate) struct TrafficSettings {
    pub(crate) callers: usize,
    pub(crate) seed: u64,
    /// Zone and addresses of each host.
    pub(crate) hosts: Vec<(String, EntryHostAddresses)>,
}

/// Callers that send until they are closed.
pub(crate) struct RunningTraffic {
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<()>>,
}

impl RunningTraffic {
    /// Lets every caller end its request and stops it.
    pub(crate) async fn close(self) {
        self.stop.send_replace(true);
        for caller in self.callers {
            // A caller that panicked has no more requests.
            let _ = caller.await;
        }
    }
}

/// The configuration that a soak begins with: a small workspace with a tight
/// limit and two others.
pub(crate) fn first_configuration() -> EntryConfiguration {
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
        ..Default::default()
    }
}

/// Starts the callers.
pub(crate) fn start(settings: &TrafficSettings, records: &SoakRecords) -> RunningTraffic {
    let workspaces = first_configuration().workspaces;
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
            known: Vec::new(),
            keep_until: Instant::now(),
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
    /// Addresses from the last look-up.
    known: Vec<SocketAddr>,
    keep_until: Instant,
    connection: Option<(SocketAddr, CallerConnection)>,
    sent: u64,
}

impl SoakCaller {
    async fn run(mut self, stopped: watch::Receiver<bool>) {
        while !*stopped.borrow() {
            self.request().await;
            let pause = Duration::from_millis(self.random.random_range(20..180));
            tokio::time::sleep(pause).await;
        }
    }

    /// Every third caller uses its open connection until the host ends it.
    fn is_loyal(&self) -> bool {
        self.number.is_multiple_of(3)
    }

    async fn request(&mut self) {
        if Instant::now() >= self.keep_until {
            self.refresh().await;
        }
        let (host, mut connection) = match self.connection.take() {
            Some((host, open)) if self.is_loyal() || self.known.contains(&host) => (host, Ok(open)),
            _ => {
                let Some(host) = self.choose() else {
                    return;
                };
                (host, CallerConnection::open(host, CONNECT_LIMIT).await)
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
        let ask = RequestSpec {
            method,
            path: &path,
            id: &id,
            key: &key,
            deadline_ms: DEADLINE_MS,
        };
        let sent = Instant::now();
        let (end, closes) = match &mut connection {
            Ok(open) => exchange(open, ask).await,
            Err(_) => (CallerEnd::Unsent, true),
        };
        if end == CallerEnd::Unsent || end == CallerEnd::Closed {
            self.known.retain(|known| *known != host);
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

    /// Asks up to three hosts where to connect, those of the own zone first.
    async fn refresh(&mut self) {
        let mut hosts: Vec<SocketAddr> = Vec::new();
        let near = self.hosts.iter().filter(|(zone, _)| *zone == self.zone);
        hosts.extend(near.map(|(_, addresses)| addresses.lookup));
        let far = self.hosts.iter().filter(|(zone, _)| *zone != self.zone);
        hosts.extend(far.map(|(_, addresses)| addresses.lookup));
        for host in hosts.into_iter().take(3) {
            if let Ok(addresses) = look_up(host, &self.zone).await
                && !addresses.is_empty()
            {
                self.known = addresses;
                break;
            }
        }
        let factor = if self.number.is_multiple_of(5) { 3 } else { 1 };
        self.keep_until = Instant::now() + LOOKUP_KEEP * factor;
    }

    fn choose(&mut self) -> Option<SocketAddr> {
        let count = self.known.len().max(1);
        let chosen = self.known.get(self.random.random_range(0..count)).copied();
        if chosen.is_none() {
            // All known hosts failed; the next request asks anew.
            self.keep_until = Instant::now();
        }
        chosen
    }
}

/// Sends a request on an open connection; tells whether that is of no more
/// use.
async fn exchange(open: &mut CallerConnection, ask: RequestSpec<'_>) -> (CallerEnd, bool) {
    if open.send(ask).await.is_err() {
        return (CallerEnd::Unsent, true);
    }
    let limit = Duration::from_millis(DEADLINE_MS.into()) + LATE;
    match open.read(limit).await {
        Ok(answer) => {
            let is_own = answer.status != 200
                || (answer.id.as_deref() == Some(ask.id)
                    && answer.body == format!("body of {}", ask.id));
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
