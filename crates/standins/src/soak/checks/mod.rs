//! Checks the records of a soak against the guarantees.

mod servers;

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
        traffic::initial_configuration,
    },
};

/// Time without a disturbance of a host or of the store after which the bounds
/// agreed with the operators apply to the host.
const UNDISTURBED_BEFORE: Duration = Duration::from_secs(3);

/// Time in which a revoked key must stop working and a draining server must
/// stop receiving requests.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time from SIGTERM until the platform kills a process.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);

/// Allowance for the delay between an event and its record on one machine.
const RECORDING_DELAY: Duration = Duration::from_millis(150);

/// Window over which the requests of a workspace are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);

/// Overshoot allowed beyond a rate limit, as a share of the limit.
const LIMIT_OVERSHOOT: f64 = 0.1;

/// Additional requests allowed beyond a rate limit in a window.
const LIMIT_SLACK: f64 = 20.0;

/// Window over which the retries of a service are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Retry budget: retries allowed per request.
const RETRY_RATIO: f64 = 0.2;

/// Retry budget: additional retries allowed in a window.
const RETRY_SLACK: f64 = 62.0;

/// Minimum share of requests served once all faults are over; errors of backend
/// servers are not caused by the hosts.
const MIN_SERVED_SHARE: f64 = 0.97;

/// A violation of one of the guarantees that a soak checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeViolation {
    /// Short name of the guarantee, such as `at most once`.
    pub guarantee: &'static str,
    /// Time since the start of the soak, and the evidence of the violation.
    pub observed: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.observed)
    }
}

/// Result of the checks over the records of a whole soak.
pub(crate) struct SoakOutcome {
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) violations: Vec<GuaranteeViolation>,
}

/// Checks the records of callers and backend servers against the guarantees.
pub(crate) fn check(
    records: &SoakRecords,
    fleet: &EntryFleet,
    fault_free: Range<Instant>,
) -> SoakOutcome {
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
        violations: Vec::new(),
    };
    for request in checker.requests {
        checker.check_runs(request);
        checker.check_answer(request);
        checker.check_workspace(request);
        checker.check_key(request);
        checker.check_lost_answer(request);
    }
    checker.check_drained_servers();
    checker.check_statements();
    checker.check_process_exits();
    checker.check_limits(&arrivals);
    checker.check_retries(&arrivals);
    checker.check_recovery(fault_free);
    let served = requests.iter().filter(|request| request.is_served());
    SoakOutcome {
        requests: requests.len(),
        served: served.count(),
        violations: checker.violations,
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
    violations: Vec<GuaranteeViolation>,
}

impl SoakChecker<'_> {
    fn report(&mut self, guarantee: &'static str, at: Instant, observed: impl fmt::Display) {
        let seconds = at.saturating_duration_since(self.opened).as_secs_f64();
        let observed = format!("at {seconds:.3} s: {observed}");
        self.violations.push(GuaranteeViolation {
            guarantee,
            observed,
        });
    }

    fn runs(&self, request: &CallerRecord) -> usize {
        let arrivals = self.arrivals.get(&*request.id);
        arrivals.map_or(0, |all| all.iter().filter(|a| a.has_run).count())
    }

    /// Whether neither the host nor the store was disturbed during a time span or
    /// in the `UNDISTURBED_BEFORE` before it.
    fn is_undisturbed(&self, host: SocketAddr, span: Range<Instant>) -> bool {
        let from = span.start - UNDISTURBED_BEFORE;
        let is_near = |at: &Instant| *at >= from && *at <= span.end;
        !self.incidents.iter().any(|(at, incident)| {
            let concerns = match incident {
                Incident::Store => true,
                Incident::Host(other) | Incident::EndedItself(other) => *other == host,
                _ => false,
            };
            concerns && is_near(at)
        }) && !self.has_open_disturbance(host, from)
    }

    /// Whether a disturbance of the host that began before `time` was still active
    /// then. Each disturbance has a note for its beginning and one for its end.
    fn has_open_disturbance(&self, host: SocketAddr, time: Instant) -> bool {
        let count = |wanted: &dyn Fn(&Incident) -> bool| {
            let before = self.incidents.iter().filter(|(at, _)| *at < time);
            before.filter(|(_, incident)| wanted(incident)).count()
        };
        let begun = count(&|i| matches!(i, Incident::Note(text) if begins_fault_on(text, host)));
        let ended = count(&|i| matches!(i, Incident::Note(text) if ends_fault_on(text, host)));
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
            let observed = format!("{} was told {:?} and ran", request.id, request.status());
            self.report("not run", request.ended, observed);
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
            let observed = format!("{} got another answer", request.id);
            self.report("whole answers", request.ended, observed);
        }
    }

    fn check_workspace(&mut self, request: &CallerRecord) {
        let arrivals = self.arrivals.get(&*request.id).cloned().unwrap_or_default();
        for arrival in arrivals {
            if arrival.head.header("x-tenant") != Some(&request.workspace) {
                let observed = format!("{} ran for another workspace", request.id);
                self.report("workspaces", arrival.at, observed);
            }
            if arrival.head.headers.contains_key("authorization") {
                let observed = format!("{} came with its key", request.id);
                self.report("keys", arrival.at, observed);
            }
        }
    }

    /// Revoked keys stop working in time, and granted keys work.
    fn check_key(&mut self, request: &CallerRecord) {
        let revoked = self.incidents.iter().find_map(|(at, incident)| {
            matches!(incident, Incident::Revoked(key) if *key == request.key).then_some(*at)
        });
        let span = request.sent - PROPAGATION_LIMIT..request.ended;
        if !self.is_undisturbed(request.host, span) {
            return;
        }
        let due = revoked.map(|at| at + PROPAGATION_LIMIT + RECORDING_DELAY);
        if due.is_some_and(|due| request.sent > due) && self.runs(request) > 0 {
            let observed = format!("{} ran with a withdrawn key", request.id);
            self.report("withdrawn keys", request.sent, observed);
        }
        if revoked.is_none() && matches!(request.status(), Some(401 | 403 | 404)) {
            let observed = format!("{} was denied: {:?}", request.id, request.status());
            self.report("granted keys", request.sent, observed);
        }
    }

    /// A request that reached a server is answered unless its host was disturbed.
    fn check_lost_answer(&mut self, request: &CallerRecord) {
        let is_lost = matches!(request.end, CallerEnd::Closed | CallerEnd::Unanswered);
        if !is_lost || !self.arrivals.contains_key(&*request.id) {
            return;
        }
        let span = request.sent..request.ended + RECORDING_DELAY;
        if self.is_undisturbed(request.host, span) {
            let observed = format!("{} at {}: {:?}", request.id, request.host, request.end);
            self.report("no request is cut", request.ended, observed);
        }
    }

    fn check_process_exits(&mut self) {
        for (at, incident) in self.incidents {
            match incident {
                Incident::EndedItself(host) => {
                    self.report("no process ends by itself", *at, host);
                }
                Incident::Outlived(host) if self.is_undisturbed(*host, *at - STOP_GRACE..*at) => {
                    self.report("planned stops end in time", *at, host);
                }
                _ => {}
            }
        }
    }

    /// No workspace exceeds its rate limit in any window.
    fn check_limits(&mut self, arrivals: &[BackendArrival]) {
        for workspace in initial_configuration().workspaces {
            let is_own = |a: &&BackendArrival| a.head.header("x-tenant") == Some(&workspace.name);
            let mut ids = HashSet::new();
            let runs = arrivals.iter().filter(is_own).filter(|a| a.has_run);
            // A retry counts as the same request.
            let times: Vec<Instant> = runs.filter(|a| ids.insert(a.id())).map(|a| a.at).collect();
            let window = LIMIT_WINDOW.as_secs_f64();
            let limit = workspace.rate_per_s * window + workspace.burst;
            let allowed = limit * (1.0 + LIMIT_OVERSHOOT) + LIMIT_SLACK;
            if let Some((at, count)) = first_excess_window(&times, LIMIT_WINDOW, allowed) {
                let observed = format!("{} ran {count}, {allowed:.1} allowed", workspace.name);
                self.report("limits", at, observed);
            }
        }
    }

    /// Retries of a service stay within the retry budget in any window.
    fn check_retries(&mut self, arrivals: &[BackendArrival]) {
        for service in super::SERVICES {
            let mut ids = HashSet::new();
            let own = arrivals.iter().filter(|arrival| arrival.service == service);
            let retries: Vec<Instant> = own.filter(|a| !ids.insert(a.id())).map(|a| a.at).collect();
            let sent: Vec<Instant> = self
                .requests
                .iter()
                .filter(|request| request.service == service)
                .map(|request| request.sent)
                .collect();
            for start in &retries {
                let inside = |at: &&Instant| **at >= *start && **at < *start + RETRY_WINDOW;
                let count = retries.iter().filter(inside).count() as f64;
                let earlier = *start - RETRY_WINDOW;
                let before = |at: &&Instant| **at >= earlier && **at < *start;
                let requests = sent.iter().filter(inside).count();
                let requests = requests.max(sent.iter().filter(before).count()) as f64;
                let allowed = requests * RETRY_RATIO + RETRY_SLACK;
                if count > allowed {
                    let observed = format!("{service}: {count} repeats, {allowed:.1} allowed");
                    self.report("retry budget", *start, observed);
                    break;
                }
            }
        }
    }

    /// Once all faults are over, requests are served.
    fn check_recovery(&mut self, fault_free: Range<Instant>) {
        let inside = |request: &&&CallerRecord| fault_free.contains(&request.sent);
        let sent: Vec<&CallerRecord> = self.requests.iter().filter(|r| inside(&r)).collect();
        // Refusals of the workspace `tight` beyond its rate limit are expected.
        let expected = sent.iter().filter(|request| request.status() != Some(429));
        let expected: Vec<&&CallerRecord> = expected.collect();
        let served = expected
            .iter()
            .filter(|request| request.is_served())
            .count();
        if (served as f64) < expected.len() as f64 * MIN_SERVED_SHARE || expected.is_empty() {
            let observed = format!("{served} of {} served", expected.len());
            self.report("recovery", fault_free.start, observed);
        }
    }
}

/// Whether a note records the beginning of a disturbance of a host.
fn begins_fault_on(text: &str, host: SocketAddr) -> bool {
    note_concerns(text, "begins ", host)
}

fn ends_fault_on(text: &str, host: SocketAddr) -> bool {
    note_concerns(text, "ends ", host)
}

fn note_concerns(text: &str, word: &str, host: SocketAddr) -> bool {
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
            .any(|index| index.parse().ok() == host_index(host))
}

/// Index of a host in the fleet, derived from the last octet of its loopback
/// address.
fn host_index(host: SocketAddr) -> Option<usize> {
    match host {
        SocketAddr::V4(host) => Some(usize::from(host.ip().octets()[3]) - 1),
        SocketAddr::V6(_) => None,
    }
}

/// Finds the first window with more events than allowed.
fn first_excess_window(
    times: &[Instant],
    window: Duration,
    allowed: f64,
) -> Option<(Instant, usize)> {
    let mut first = 0;
    for (last, at) in times.iter().enumerate() {
        while *at - times[first] >= window {
            first += 1;
        }
        let count = last + 1 - first;
        if count as f64 > allowed {
            return Some((times[first], count));
        }
    }
    None
}
