use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    BackendArrival,
    entry_fleet::EntryFleet,
    soak::{
        records::{CallerEnd, CallerRecord, Incident, SoakRecords},
        traffic::first_configuration,
    },
};

/// Time without disturbance after which the operators' bounds hold for a host.
const CONTACT: Duration = Duration::from_secs(3);

/// Time in which a withdrawn key must stop working and a leaving server must
/// get nothing more.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time from SIGTERM until the platform ends a process by force.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time on one machine between an event and its record.
const RECORDING: Duration = Duration::from_millis(150);

/// Time over which the requests of a workspace are counted, and how far it may
/// pass its limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
const LIMIT_OVERSHOOT: f64 = 0.1;
const LIMIT_SLACK: f64 = 20.0;

/// Time over which repeats are counted, and the repeats allowed.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 62.0;

/// Share of the requests that must be served once all faults are over; server
/// errors are none of the hosts'.
const CALM_SHARE: f64 = 0.97;

/// A promise that did not hold, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// Short name of the promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

pub(crate) struct CheckedSoak {
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) broken: Vec<BrokenPromise>,
}

/// Checks what callers and backend servers saw.
pub(crate) fn check(
    records: &SoakRecords,
    fleet: &EntryFleet,
    calm: Range<Instant>,
) -> CheckedSoak {
    let requests = records.requests();
    let arrivals = fleet.log.arrivals();
    let mut by_id: HashMap<&str, Vec<&BackendArrival>> = HashMap::new();
    for arrival in arrivals.iter() {
        by_id.entry(arrival.id()).or_default().push(arrival);
    }
    let incidents = records.incidents();
    let mut checker = SoakChecker {
        opened: records.opened,
        requests: &requests,
        arrivals: by_id,
        incidents: &incidents,
        broken: Vec::new(),
    };
    for request in checker.requests {
        checker.check_runs(request);
        checker.check_answer(request);
        checker.check_workspace(request);
        checker.check_key(request);
        checker.check_loss(request);
    }
    checker.check_leaving();
    checker.check_ends();
    checker.check_limits(&arrivals);
    checker.check_repeats(&arrivals);
    checker.check_calm(calm);
    let served = requests.iter().filter(|request| request.is_served());
    CheckedSoak {
        requests: requests.len(),
        served: served.count(),
        broken: checker.broken,
    }
}

impl CallerRecord {
    fn is_served(&self) -> bool {
        matches!(self.end, CallerEnd::Answer { status: 200, .. })
    }

    fn status(&self) -> Option<u16> {
        match self.end {
            CallerEnd::Answer { status, .. } => Some(status),
            _ => None,
        }
    }
}

struct SoakChecker<'r> {
    opened: Instant,
    requests: &'r [CallerRecord],
    arrivals: HashMap<&'r str, Vec<&'r BackendArrival>>,
    incidents: &'r [(Instant, Incident)],
    broken: Vec<BrokenPromise>,
}

impl SoakChecker<'_> {
    fn report(&mut self, promise: &'static str, at: Instant, seen: impl fmt::Display) {
        let seconds = at.saturating_duration_since(self.opened).as_secs_f64();
        let seen = format!("at {seconds:.3} s: {seen}");
        self.broken.push(BrokenPromise { promise, seen });
    }

    fn runs(&self, request: &CallerRecord) -> usize {
        let arrivals = self.arrivals.get(&*request.id);
        arrivals.map_or(0, |all| all.iter().filter(|a| a.has_run).count())
    }

    /// Whether neither a host nor the store was disturbed from `CONTACT`
    /// before a time span until its end.
    fn is_in_touch(&self, host: SocketAddr, span: Range<Instant>) -> bool {
        let from = span.start - CONTACT;
        let is_near = |at: &Instant| *at >= from && *at <= span.end;
        !self.incidents.iter().any(|(at, incident)| {
            let concerns = match incident {
                Incident::Store => true,
                Incident::Host(other) | Incident::EndedItself(other) => *other == host,
                _ => false,
            };
            concerns && is_near(at)
        }) && !self.is_disturbed(host, from)
    }

    /// Whether a disturbance that began before a time has not ended by then:
    /// they come in pairs.
    fn is_disturbed(&self, host: SocketAddr, time: Instant) -> bool {
        let count = |wanted: &dyn Fn(&Incident) -> bool| {
            let before = self.incidents.iter().filter(|(at, _)| *at < time);
            before.filter(|(_, incident)| wanted(incident)).count()
        };
        let begun = count(&|i| matches!(i, Incident::Note(text) if begins_for(text, host)));
        let ended = count(&|i| matches!(i, Incident::Note(text) if ends_for(text, host)));
        begun > ended
    }

    fn check_runs(&mut self, request: &CallerRecord) {
        let runs = self.runs(request);
        if request.is_repeatable {
            return;
        }
        if runs > 1 {
            self.report(
                "at most once",
                request.sent,
                format!("{} ran {runs} times", request.id),
            );
        }
        let promised = matches!(request.status(), Some(408 | 421 | 429 | 503));
        if promised && runs > 0 {
            let seen = format!("{} was told {:?} and ran", request.id, request.status());
            self.report("not run", request.ended, seen);
        }
    }

    fn check_answer(&mut self, request: &CallerRecord) {
        let CallerEnd::Answer {
            status,
            is_signed,
            is_own,
        } = request.end
        else {
            return;
        };
        if (200..300).contains(&status) && !is_signed {
            self.report(
                "whole answers",
                request.ended,
                format!("{} unsigned", request.id),
            );
        }
        if !is_own {
            let seen = format!("{} got another answer", request.id);
            self.report("whole answers", request.ended, seen);
        }
    }

    fn check_workspace(&mut self, request: &CallerRecord) {
        let arrivals = self.arrivals.get(&*request.id).cloned().unwrap_or_default();
        for arrival in arrivals {
            if arrival.head.header("x-tenant") != Some(&request.workspace) {
                let seen = format!("{} ran for another workspace", request.id);
                self.report("workspaces", arrival.at, seen);
            }
            if arrival.head.headers.contains_key("authorization") {
                let seen = format!("{} came with its key", request.id);
                self.report("keys", arrival.at, seen);
            }
        }
    }

    /// A key that was taken away stops working, and one that was given works.
    fn check_key(&mut self, request: &CallerRecord) {
        let revoked = self.incidents.iter().find_map(|(at, incident)| {
            matches!(incident, Incident::Revoked(key) if *key == request.key).then_some(*at)
        });
        let span = request.sent - IN_FORCE..request.ended;
        if !self.is_in_touch(request.host, span) {
            return;
        }
        let due = revoked.map(|at| at + IN_FORCE + RECORDING);
        if due.is_some_and(|due| request.sent > due) && self.runs(request) > 0 {
            let seen = format!("{} ran with a withdrawn key", request.id);
            self.report("withdrawn keys", request.sent, seen);
        }
        if revoked.is_none() && matches!(request.status(), Some(401 | 403 | 404)) {
            let seen = format!("{} was denied: {:?}", request.id, request.status());
            self.report("granted keys", request.sent, seen);
        }
    }

    /// A request that a server got is answered, unless its host is disturbed.
    fn check_loss(&mut self, request: &CallerRecord) {
        let is_lost = matches!(request.end, CallerEnd::Closed | CallerEnd::Unanswered);
        if !is_lost || !self.arrivals.contains_key(&*request.id) {
            return;
        }
        let span = request.sent..request.ended + RECORDING;
        if self.is_in_touch(request.host, span) {
            let seen = format!("{} at {}: {:?}", request.id, request.host, request.end);
            self.report("no request is cut", request.ended, seen);
        }
    }

    /// A server that left gets nothing more from hosts in touch.
    fn check_leaving(&mut self) {
        let mut late = Vec::new();
        for request in self.requests {
            for arrival in self.arrivals.get(&*request.id).into_iter().flatten() {
                let left = self.incidents.iter().find_map(|(at, incident)| {
                    matches!(incident, Incident::Left(id) if *id == arrival.server).then_some(*at)
                });
                let due = left.map(|at| at + IN_FORCE + RECORDING);
                let is_late = due.is_some_and(|due| arrival.at > due) && !arrival.is_misdirected;
                let span = arrival.at - IN_FORCE..arrival.at;
                if is_late && self.is_in_touch(request.host, span) {
                    late.push((arrival.at, format!("{} at {}", request.id, arrival.server)));
                }
            }
        }
        for (at, seen) in late {
            self.report("leaving servers", at, seen);
        }
    }

    fn check_ends(&mut self) {
        for (at, incident) in self.incidents {
            match incident {
                Incident::EndedItself(host) => {
                    self.report("no process ends by itself", *at, host);
                }
                Incident::Outlived(host) if self.is_in_touch(*host, *at - STOP_GRACE..*at) => {
                    self.report("planned stops end in time", *at, host);
                }
                _ => {}
            }
        }
    }

    /// No workspace runs more than its limit in any window.
    fn check_limits(&mut self, arrivals: &[BackendArrival]) {
        for workspace in first_configuration().workspaces {
            let is_own = |a: &&BackendArrival| a.head.header("x-tenant") == Some(&workspace.name);
            let mut seen = HashSet::new();
            let runs = arrivals.iter().filter(is_own).filter(|a| a.has_run);
            // Repeats are no further requests.
            let times: Vec<Instant> = runs.filter(|a| seen.insert(a.id())).map(|a| a.at).collect();
            let window = LIMIT_WINDOW.as_secs_f64();
            let limit = workspace.rate_per_s * window + workspace.burst;
            let most = limit * (1.0 + LIMIT_OVERSHOOT) + LIMIT_SLACK;
            if let Some((at, count)) = fullest_window(&times, LIMIT_WINDOW, most) {
                let seen = format!("{} ran {count}, {most:.1} allowed", workspace.name);
                self.report("limits", at, seen);
            }
        }
    }

    /// Repeats of a service stay within the budget in any window.
    fn check_repeats(&mut self, arrivals: &[BackendArrival]) {
        for service in super::SERVICES {
            let mut seen = HashSet::new();
            let own = arrivals.iter().filter(|arrival| arrival.service == service);
            let repeats: Vec<Instant> =
                own.filter(|a| !seen.insert(a.id())).map(|a| a.at).collect();
            let asked: Vec<Instant> = self
                .requests
                .iter()
                .filter(|request| request.service == service)
                .map(|request| request.sent)
                .collect();
            for start in &repeats {
                let inside = |at: &&Instant| **at >= *start && **at < *start + RETRY_WINDOW;
                let count = repeats.iter().filter(inside).count() as f64;
                let earlier = *start - RETRY_WINDOW;
                let before = |at: &&Instant| **at >= earlier && **at < *start;
                let requests = asked.iter().filter(inside).count();
                let requests = requests.max(asked.iter().filter(before).count()) as f64;
                let most = requests * RETRY_RATIO + RETRY_SLACK;
                if count > most {
                    let seen = format!("{service}: {count} repeats, {most:.1} allowed");
                    self.report("retry budget", *start, seen);
                    break;
                }
            }
        }
    }

    /// Once all faults are over, requests are served.
    fn check_calm(&mut self, calm: Range<Instant>) {
        let inside = |request: &&&CallerRecord| calm.contains(&request.sent);
        let asked: Vec<&CallerRecord> = self.requests.iter().filter(|r| inside(&r)).collect();
        // The tight workspace is refused beyond its limit.
        let owed = asked.iter().filter(|request| request.status() != Some(429));
        let owed: Vec<&&CallerRecord> = owed.collect();
        let served = owed.iter().filter(|request| request.is_served()).count();
        if (served as f64) < owed.len() as f64 * CALM_SHARE || owed.is_empty() {
            let seen = format!("{served} of {} served", owed.len());
            self.report("recovery", calm.start, seen);
        }
    }
}

/// Whether a note tells that a disturbance of a host begins.
fn begins_for(text: &str, host: SocketAddr) -> bool {
    concerns(text, "begins ", host)
}

fn ends_for(text: &str, host: SocketAddr) -> bool {
    concerns(text, "ends ", host)
}

fn concerns(text: &str, word: &str, host: SocketAddr) -> bool {
    let Some(fault) = text.strip_prefix(word) else {
        return false;
    };
    if fault.starts_with("RefuseCalls") || fault.starts_with("LoseAnswers") {
        return true;
    }
    fault.starts_with("KillAllHosts")
        || ["KillHost(", "PauseHost(", "CutStore("]
            .iter()
            .filter_map(|kind| fault.strip_prefix(kind))
            .filter_map(|rest| rest.split([',', ')']).next())
            .any(|index| index.parse().ok() == index_of(host))
}

/// The index of a host, from its loopback number.
fn index_of(host: SocketAddr) -> Option<usize> {
    match host {
        SocketAddr::V4(host) => Some(usize::from(host.ip().octets()[3]) - 1),
        SocketAddr::V6(_) => None,
    }
}

/// The first window that holds more events than allowed.
fn fullest_window(times: &[Instant], window: Duration, most: f64) -> Option<(Instant, usize)> {
    let mut first = 0;
    for (last, at) in times.iter().enumerate() {
        while *at - times[first] >= window {
            first += 1;
        }
        let count = last + 1 - first;
        if count as f64 > most {
            return Some((times[first], count));
        }
    }
    None
}
