//! Hosts that count the tokens of one workspace, whose messages are lost while
//! zones are cut off from each other, and which stop, freeze or die.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use mangostep_policy::{
    HomeReply, HomeRequest, HostRow, HostTable, HostTableSettings, LedgerRequest, LedgerSettings,
    PeerReport, TokenLedger, TokenReceipts, TokenVerdict, ZoneList, ZonePresence,
};

use crate::{at_ms, host_table::ready};

/// Length of a step of the model, in milliseconds.
const STEP_MS: u64 = 10;

/// Interval between the reports of a host, in milliseconds.
const REPORT_MS: u64 = 500;

/// Interval at which a host checks that it runs, in milliseconds.
const TICK_MS: u64 = 200;

/// Time until a request for a token to a silent home ends, in milliseconds.
const SILENCE_MS: u64 = 300;

/// Time for which a silent home is skipped, in milliseconds.
const SKIP_MS: u64 = 500;

/// Number of homes that are asked for one token.
const HOMES_MAX: usize = 2;

const BUCKET: &str = "north";

pub const WINDOW_MS: u64 = 5_000;

/// The limit of the workspace, and how much it sends.
#[derive(Clone, Copy)]
pub struct LimitLoad {
    pub rate_per_s: f64,
    pub burst: f64,
    /// Requests per second of all hosts together.
    pub sent_per_s: u64,
}

impl Default for LimitLoad {
    fn default() -> Self {
        LimitLoad {
            rate_per_s: 41.0,
            burst: 41.0,
            sent_per_s: 160,
        }
    }
}

impl LimitLoad {
    /// A large workspace. The excess that the operators allow is less than its
    /// burst, and than what it gets in a second.
    pub const LARGE: Self = LimitLoad {
        rate_per_s: 200.0,
        burst: 200.0,
        sent_per_s: 800,
    };

    /// Most requests within a window, by the operators' agreement.
    pub fn most_in_window(&self) -> f64 {
        let limit = self.rate_per_s * WINDOW_MS as f64 / 1_000.0 + self.burst;
        limit * 1.1 + 20.0
    }
}

enum Datagram {
    Report {
        name: String,
        zone: String,
        report: PeerReport,
        lists: Vec<ZoneList>,
        presences: Vec<ZonePresence>,
    },
    Presences {
        zone: String,
        presences: Vec<ZonePresence>,
    },
    /// A request whose sender has given up or will not get the response.
    LateRequest { from: usize },
}

struct ModelHost {
    row: HostRow,
    table: HostTable,
    ledger: TokenLedger,
    receipts: Option<TokenReceipts>,
    /// Homes that did not respond, and until when they are skipped.
    silent: HashMap<String, u64>,
    /// Datagrams that arrived while the host was frozen.
    queue: VecDeque<Datagram>,
    is_frozen: bool,
    is_down: bool,
    is_leaving: bool,
    report_offset_ms: u64,
    reports_at_once: bool,
}

/// A request that waits for a token.
struct WaitingRequest {
    host: usize,
    due_ms: u64,
    skipped: Vec<String>,
    asked: usize,
}

/// A fleet of hosts, by index. Hosts of the zones take turns.
pub struct LimitFleet {
    pub load: LimitLoad,
    hosts: Vec<ModelHost>,
    by_peer: BTreeMap<SocketAddr, usize>,
    waiting: Vec<WaitingRequest>,
    /// Hosts that callers use.
    pub senders: Vec<usize>,
    /// Share of the reports that are lost.
    pub lost_share: f64,
    random: SmallRng,
    /// Pairs of zones of which the first does not reach the second.
    pub cuts: BTreeSet<(&'static str, &'static str)>,
    /// Times at which tokens were granted, in milliseconds.
    pub granted_ms: Vec<u64>,
    pub now_ms: u64,
    next_id: u64,
}

pub const ZONES: [&str; 3] = ["a", "b", "c"];

fn row(index: usize) -> HostRow {
    let zone = ZONES[index % ZONES.len()];
    let last = u8::try_from(index).expect("few hosts");
    let address = |port| SocketAddr::from(([10, 0, 1, last], port));
    HostRow {
        name: format!("{zone}{index}"),
        region: "home".to_owned(),
        zone: zone.to_owned(),
        front: address(1),
        peer: address(2),
        copies: address(3),
        link_mbps: 10,
    }
}

impl LimitFleet {
    pub fn open(load: LimitLoad, hosts: usize) -> Self {
        let rows: Vec<HostRow> = (0..hosts).map(row).collect();
        let opened = |index: usize| ModelHost {
            table: known_table(index, &rows, 0),
            row: rows[index].clone(),
            ledger: TokenLedger::open(LedgerSettings::default()),
            receipts: None,
            silent: HashMap::new(),
            queue: VecDeque::new(),
            is_frozen: false,
            is_down: false,
            is_leaving: false,
            report_offset_ms: index as u64 * 70 % REPORT_MS,
            reports_at_once: false,
        };
        LimitFleet {
            load,
            hosts: (0..hosts).map(opened).collect(),
            by_peer: (0..hosts).map(|index| (rows[index].peer, index)).collect(),
            waiting: Vec::new(),
            senders: (0..hosts).collect(),
            lost_share: 0.0,
            random: SmallRng::seed_from_u64(7),
            cuts: BTreeSet::new(),
            granted_ms: Vec::new(),
            now_ms: 0,
            next_id: 0,
        }
    }

    /// Cuts a zone off from the others, or connects it again.
    pub fn cut_zone(&mut self, zone: &'static str, is_cut: bool) {
        self.cut_from(zone, is_cut);
        self.cut_to(zone, is_cut);
    }

    /// Loses the messages from a zone to the others.
    pub fn cut_from(&mut self, zone: &'static str, is_cut: bool) {
        for other in ZONES.into_iter().filter(|other| *other != zone) {
            match is_cut {
                true => self.cuts.insert((zone, other)),
                false => self.cuts.remove(&(zone, other)),
            };
        }
    }

    /// Loses the messages to a zone from the others.
    pub fn cut_to(&mut self, zone: &'static str, is_cut: bool) {
        for other in ZONES.into_iter().filter(|other| *other != zone) {
            match is_cut {
                true => self.cuts.insert((other, zone)),
                false => self.cuts.remove(&(other, zone)),
            };
        }
    }

    /// Index of the host that most hosts take for the limit home.
    pub fn home(&self) -> usize {
        let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
        let now = at_ms(self.now_ms);
        for host in self.hosts.iter().filter(|host| !host.is_down) {
            if let Some(home) = host.table.first_home(BUCKET, now) {
                *votes.entry(&home.name).or_default() += 1;
            }
        }
        let home = votes.into_iter().max_by_key(|(_, count)| *count);
        let (name, _) = home.expect("the hosts know homes");
        let is_home = |host: &ModelHost| host.row.name == name;
        self.hosts.iter().position(is_home).expect("known")
    }

    pub fn zone_of(&self, index: usize) -> &'static str {
        ZONES[index % ZONES.len()]
    }

    pub fn set_frozen(&mut self, index: usize, is_frozen: bool) {
        self.hosts[index].is_frozen = is_frozen;
    }

    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_down = true;
        self.waiting.retain(|request| request.host != index);
    }

    pub fn restart(&mut self, index: usize) {
        let rows: Vec<HostRow> = self.hosts.iter().map(|host| host.row.clone()).collect();
        let host = &mut self.hosts[index];
        host.table = known_table(index, &rows, self.now_ms);
        host.ledger = TokenLedger::open(LedgerSettings::default());
        (host.receipts, host.is_down, host.is_leaving) = (None, false, false);
        host.silent.clear();
        host.queue.clear();
        host.reports_at_once = true;
    }

    /// Announces that a host stops. It responds until it is killed.
    pub fn announce_stop(&mut self, index: usize) {
        self.hosts[index].is_leaving = true;
        self.hosts[index].reports_at_once = true;
    }

    /// Runs the model, with or without requests of the workspace.
    pub fn run(&mut self, duration_ms: u64, is_sending: bool) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.run_step(is_sending);
            self.now_ms += STEP_MS;
        }
    }

    fn run_step(&mut self, is_sending: bool) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_down || self.hosts[index].is_frozen {
                continue;
            }
            while let Some(datagram) = self.hosts[index].queue.pop_front() {
                self.receive(index, datagram);
            }
            let host = &mut self.hosts[index];
            if self.now_ms.is_multiple_of(TICK_MS) {
                host.ledger.record_running(at_ms(self.now_ms));
            }
            let is_due = self.now_ms % REPORT_MS / STEP_MS == host.report_offset_ms / STEP_MS;
            if is_due || std::mem::take(&mut host.reports_at_once) {
                self.report(index);
            }
        }
        if is_sending {
            let due = |ms: u64| ms * self.load.sent_per_s / 1_000;
            for number in due(self.now_ms)..due(self.now_ms + STEP_MS) {
                let turn = usize::try_from(number).expect("few requests");
                let host = self.senders[turn % self.senders.len()];
                if !self.hosts[host].is_down {
                    self.waiting.push(WaitingRequest {
                        host,
                        due_ms: self.now_ms,
                        skipped: Vec::new(),
                        asked: 0,
                    });
                }
            }
        }
        for request in std::mem::take(&mut self.waiting) {
            let is_due = request.due_ms <= self.now_ms && !self.hosts[request.host].is_frozen;
            match is_due {
                true => self.ask(request),
                false => self.waiting.push(request),
            }
        }
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        let zones = (self.zone_of(from), self.zone_of(to));
        !self.hosts[to].is_down && !self.cuts.contains(&zones)
    }

    fn report(&mut self, index: usize) {
        let now = at_ms(self.now_ms);
        let round = usize::try_from(self.now_ms / REPORT_MS).expect("short");
        let host = &mut self.hosts[index];
        let own = PeerReport {
            is_ready: !host.is_leaving,
            is_leaving: host.is_leaving,
            incarnation: 1,
            ..ready()
        };
        let report = host.table.begin_round(own, now).clone();
        let lists = match report.is_watcher {
            true => host.table.lists(now).cloned().collect(),
            false => Vec::new(),
        };
        let presences = host.table.zone_presences(now);
        let mut targets = host.table.report_targets(now);
        targets.extend(host.table.cross_zone_targets(round, now));
        let row = host.row.clone();
        for target in host.table.home_targets(now) {
            let target = self.by_peer[&target];
            if !self.random.random_bool(self.lost_share) && self.passes(index, target) {
                let datagram = Datagram::Presences {
                    zone: row.zone.clone(),
                    presences: presences.clone(),
                };
                self.deliver(target, datagram);
            }
        }
        for target in targets {
            let target = self.by_peer[&target];
            let is_lost = self.random.random_bool(self.lost_share);
            if is_lost || !self.passes(index, target) {
                continue;
            }
            let datagram = Datagram::Report {
                name: row.name.clone(),
                zone: row.zone.clone(),
                report: report.clone(),
                lists: lists.clone(),
                presences: presences.clone(),
            };
            self.deliver(target, datagram);
        }
    }

    fn deliver(&mut self, target: usize, datagram: Datagram) {
        match self.hosts[target].is_frozen {
            true => self.hosts[target].queue.push_back(datagram),
            false => self.receive(target, datagram),
        }
    }

    fn receive(&mut self, index: usize, datagram: Datagram) {
        let now = at_ms(self.now_ms);
        match datagram {
            Datagram::Report {
                name,
                zone,
                report,
                lists,
                presences,
            } => {
                let host = &mut self.hosts[index];
                let is_same_zone = zone == host.row.zone;
                let is_changed = host.table.record_report(&name, report, now) && is_same_zone;
                host.table.record_presences(&zone, &presences, now);
                let mut is_home_changed = false;
                for list in lists {
                    is_home_changed |= host.table.record_list(&name, list, now);
                }
                host.reports_at_once |= is_changed && host.table.computes_list(now);
                host.reports_at_once |= is_home_changed && host.table.own_report().is_watcher;
            }
            Datagram::Presences { zone, presences } => {
                let table = &mut self.hosts[index].table;
                table.record_presences(&zone, &presences, now);
            }
            Datagram::LateRequest { from } => {
                self.respond(from, index, &[], false);
            }
        }
    }

    /// Lets a home respond to a host's request.
    fn respond(
        &mut self,
        from: usize,
        home: usize,
        skipped: &[String],
        is_redirected: bool,
    ) -> HomeReply {
        let now = at_ms(self.now_ms);
        self.next_id += 1;
        let home_name = self.hosts[home].row.name.clone();
        let receipts = self.hosts[from].receipts.as_ref();
        let has_moved = receipts.is_some_and(|receipts| {
            let (last, at) = receipts.last_response();
            last != home_name && now.since(at) < Duration::from_millis(WINDOW_MS)
        });
        let skipped: Vec<&str> = skipped.iter().map(String::as_str).collect();
        let request = HomeRequest {
            token: LedgerRequest {
                has_moved,
                granted_elsewhere: receipts.map_or(0, |r| r.granted_elsewhere(&home_name)),
                ..LedgerRequest::open(
                    (from as u64, self.next_id),
                    BUCKET,
                    self.load.rate_per_s,
                    self.load.burst,
                )
            },
            zone: self.zone_of(from),
            skipped: &skipped,
            is_redirected,
        };
        let host = &mut self.hosts[home];
        host.ledger.respond(&mut host.table, request, now)
    }

    fn ask(&mut self, mut request: WaitingRequest) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[request.host];
        host.silent.retain(|_, until_ms| *until_ms > now_ms);
        let mut home = None;
        for row in host.table.token_homes(BUCKET, at_ms(now_ms)) {
            let is_reached = !host.silent.contains_key(&row.name)
                && host.table.is_zone_heard(&row.zone, at_ms(now_ms));
            if is_reached && !request.skipped.contains(&row.name) {
                home = Some(row.peer);
                break;
            }
            if !request.skipped.contains(&row.name) {
                request.skipped.push(row.name.clone());
            }
        }
        let Some(home) = home.filter(|_| request.asked < HOMES_MAX) else {
            return self.decide_alone(request.host);
        };
        let mut home = self.by_peer[&home];
        for is_redirected in [false, true] {
            if !self.reaches(request.host, home) {
                let name = self.hosts[home].row.name.clone();
                if self.hosts[home].is_frozen && self.passes(request.host, home) {
                    let late = Datagram::LateRequest { from: request.host };
                    self.hosts[home].queue.push_back(late);
                }
                let host = &mut self.hosts[request.host];
                host.silent
                    .insert(name.clone(), now_ms + SILENCE_MS + SKIP_MS);
                request.skipped.push(name);
                request.asked += 1;
                request.due_ms = now_ms + SILENCE_MS;
                self.waiting.push(request);
                return;
            }
            match self.respond(request.host, home, &request.skipped, is_redirected) {
                HomeReply::Decided(verdict) => {
                    self.record(request.host, home, verdict);
                    return;
                }
                HomeReply::Moved(name) => {
                    let row = self.hosts[request.host].table.row(&name).expect("known");
                    home = self.by_peer[&row.peer];
                }
            }
        }
    }

    fn reaches(&self, host: usize, home: usize) -> bool {
        host == home
            || (self.passes(host, home) && self.passes(home, host) && !self.hosts[home].is_frozen)
    }

    fn record(&mut self, host: usize, home: usize, verdict: TokenVerdict) {
        let now = at_ms(self.now_ms);
        let home = self.hosts[home].row.name.clone();
        let is_granted = verdict == TokenVerdict::Granted;
        let receipts = &mut self.hosts[host].receipts;
        let receipts = receipts.get_or_insert_with(|| TokenReceipts::open(&home, now));
        receipts.record(&home, is_granted, now);
        if is_granted {
            self.granted_ms.push(self.now_ms);
        }
    }

    fn decide_alone(&mut self, host: usize) {
        self.next_id += 1;
        let rate = self.load.rate_per_s / self.hosts.len() as f64;
        let request = LedgerRequest {
            is_alone: true,
            ..LedgerRequest::open((host as u64, self.next_id), "north alone", rate, 1.0)
        };
        let verdict = self.hosts[host].ledger.acquire(request, at_ms(self.now_ms));
        if verdict == TokenVerdict::Granted {
            self.granted_ms.push(self.now_ms);
        }
    }

    /// Share of the hosts that a host is in contact with, or from which it heard
    /// since a time.
    pub fn contact_share(&self, index: usize, since_ms: Option<u64>) -> f64 {
        let table = &self.hosts[index].table;
        table.contact_share(since_ms.map(at_ms), at_ms(self.now_ms))
    }

    /// Largest number of grants within a window.
    pub fn most_in_window(&self) -> usize {
        let starts = self.granted_ms.iter().enumerate();
        let counts = starts.map(|(first, start)| {
            let inside = self.granted_ms[first..].iter();
            inside.take_while(|at| **at < start + WINDOW_MS).count()
        });
        counts.max().unwrap_or_default()
    }

    /// Grants between two times.
    pub fn granted_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let inside = |at: &&u64| (from_ms..to_ms).contains(*at);
        self.granted_ms.iter().filter(inside).count()
    }
}

/// Table of a host that has read the rows of all hosts.
fn known_table(index: usize, rows: &[HostRow], now_ms: u64) -> HostTable {
    let settings = HostTableSettings::default();
    let mut table = HostTable::open(rows[index].clone(), settings, at_ms(now_ms));
    rows.iter().for_each(|row| table.put(row.clone()));
    table
}
