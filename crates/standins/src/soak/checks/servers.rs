//! What reaches backend servers that leave, are cold, or state something about
//! themselves.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{
    BackendArrival,
    soak::{
        checks::{
            PROPAGATION_LIMIT, RECORDING_DELAY, SoakChecker, UNDISTURBED_BEFORE,
            first_excess_window,
        },
        records::Incident,
        traffic::{COLD_RATE_PER_S, COLD_TIME},
    },
};

/// Window over which the requests to a server with a stated limit are counted.
const STATED_LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor by which a server may get more than it states in a window.
const STATED_LIMIT_OVERSHOOT: f64 = 1.5;

/// Additional requests to such a server in a window.
const STATED_LIMIT_SLACK: f64 = 5.0;

/// Time from a stated wait until it binds the host.
const WAIT_REACTION_TIME: Duration = Duration::from_millis(500);

/// Requests that a host may send to a server during a stated wait.
const WAIT_CROSSINGS_MAX: usize = 2;

/// Window over which the requests to a cold server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Factor by which a cold server may get more than it can handle in a window.
const COLD_OVERSHOOT: f64 = 1.5;

/// Additional requests to a cold server in a window.
const COLD_SLACK: f64 = 5.0;

impl SoakChecker<'_> {
    /// A drained server receives no more requests from undisturbed hosts.
    pub(super) fn check_drained_servers(&mut self) {
        let mut late = Vec::new();
        for request in self.requests {
            for arrival in self.arrivals.get(&*request.id).into_iter().flatten() {
                let left = self.incidents.iter().find_map(|(at, incident)| {
                    matches!(incident, Incident::Left(id) if *id == arrival.server).then_some(*at)
                });
                let due = left.map(|at| at + PROPAGATION_LIMIT + RECORDING_DELAY);
                let is_late = due.is_some_and(|due| arrival.at > due) && !arrival.is_misdirected;
                let span = arrival.at - PROPAGATION_LIMIT..arrival.at;
                if is_late && self.is_undisturbed(request.host, span) {
                    late.push((arrival.at, format!("{} at {}", request.id, arrival.server)));
                }
            }
        }
        for (at, observed) in late {
            self.report("leaving servers", at, observed);
        }
    }

    /// Servers get no more than they state that they take.
    pub(super) fn check_statements(&mut self) {
        for (at, incident) in self.incidents {
            match incident {
                Incident::Limited(server, Some(rate)) => self.check_limited(*at, server, *rate),
                Incident::Leaving(server) => self.check_leaving(*at, server),
                Incident::Waits(server, Some(wait)) => self.check_waits(*at, server, *wait),
                Incident::Cold(server) => self.check_cold(*at, server),
                _ => {}
            }
        }
    }

    /// Arrivals at a server from `from` on, with the hosts that sent them, in
    /// order. Empty if a fault of the server's link may have lost its answers,
    /// so that hosts don't know what it states.
    fn arrivals_since(&self, server: &str, from: Instant) -> Vec<(&BackendArrival, SocketAddr)> {
        if self.has_link_fault(server, from - UNDISTURBED_BEFORE) {
            return Vec::new();
        }
        let mut found: Vec<(&BackendArrival, SocketAddr)> = Vec::new();
        for request in self.requests {
            let arrivals = self.arrivals.get(&*request.id).into_iter().flatten();
            let own = arrivals.filter(|a| a.server == server && !a.is_misdirected && a.at >= from);
            found.extend(own.map(|arrival| (*arrival, request.host)));
        }
        found.sort_by_key(|(arrival, _)| arrival.at);
        found
    }

    /// Whether the link to a server was cut, silenced or reset later than `from`.
    fn has_link_fault(&self, server: &str, from: Instant) -> bool {
        let index = server.split('-').nth(1).unwrap_or_default();
        let kinds = ["CutServer", "SilenceServer", "ResetServer"];
        let faults = kinds.map(|kind| format!("begins {kind}({index}"));
        self.incidents.iter().any(|(at, incident)| {
            let Incident::Note(text) = incident else {
                return false;
            };
            let is_fault = |fault: &String| {
                let rest = text.strip_prefix(fault.as_str());
                rest.is_some_and(|rest| rest.starts_with([',', ')']))
            };
            *at >= from && faults.iter().any(is_fault)
        })
    }

    /// When an incident that `ends` matches follows; the end of time without one.
    fn end_of(&self, from: Instant, ends: impl Fn(&Incident) -> bool) -> Option<Instant> {
        let mut later = self.incidents.iter().filter(|(at, _)| *at > from);
        later
            .find(|(_, incident)| ends(incident))
            .map(|(at, _)| *at)
    }

    fn check_limited(&mut self, from: Instant, server: &str, rate: f64) {
        let end = self.end_of(
            from,
            |i| matches!(i, Incident::Limited(id, _) | Incident::Left(id) if id == server),
        );
        let arrivals = self.arrivals_since(server, from);
        let Some((first, _)) = arrivals.first() else {
            return;
        };
        let binds = first.at + UNDISTURBED_BEFORE;
        let times: Vec<Instant> = arrivals
            .iter()
            .filter(|(arrival, host)| {
                let at = arrival.at;
                let is_within = at >= binds && end.is_none_or(|end| at < end);
                is_within && self.is_undisturbed(*host, at..at)
            })
            .map(|(arrival, _)| arrival.at)
            .collect();
        let window = STATED_LIMIT_WINDOW;
        let allowed = rate * window.as_secs_f64() * STATED_LIMIT_OVERSHOOT + STATED_LIMIT_SLACK;
        if let Some((at, count)) = first_excess_window(&times, window, allowed) {
            let observed = format!("{server} states {rate:.2}: {count} of {allowed:.1}");
            self.report("stated limits", at, observed);
        }
    }

    /// A cold server gets no more than it can handle, also from hosts that no
    /// longer reach the store.
    fn check_cold(&mut self, from: Instant, server: &str) {
        let arrivals = self.requests.iter().flat_map(|request| {
            let arrivals = self.arrivals.get(&*request.id);
            arrivals.into_iter().flatten()
        });
        let cold = from + PROPAGATION_LIMIT + RECORDING_DELAY..from + COLD_TIME;
        let own = arrivals.filter(|a| a.server == server && !a.is_misdirected);
        let mut times: Vec<Instant> = own.map(|arrival| arrival.at).collect();
        times.retain(|at| cold.contains(at));
        times.sort();
        let allowed = COLD_RATE_PER_S * COLD_OVERSHOOT + COLD_SLACK;
        if let Some((at, count)) = first_excess_window(&times, COLD_WINDOW, allowed) {
            let observed = format!("{server}: {count} of {allowed:.1}");
            self.report("cold servers", at, observed);
        }
    }

    fn check_leaving(&mut self, from: Instant, server: &str) {
        let arrivals = self.arrivals_since(server, from);
        let Some((first, _)) = arrivals.first() else {
            return;
        };
        let due = first.at + PROPAGATION_LIMIT + RECORDING_DELAY;
        let late: Vec<(Instant, SocketAddr)> = arrivals
            .iter()
            .map(|(arrival, host)| (arrival.at, *host))
            .collect();
        for (at, host) in late {
            if at > due && self.is_undisturbed(host, at - PROPAGATION_LIMIT..at) {
                let observed = format!("{server} states that it leaves; from {host}");
                self.report("leaving servers", at, observed);
            }
        }
    }

    /// A host that was told a wait sends at most a few requests that crossed the
    /// answer.
    fn check_waits(&mut self, from: Instant, server: &str, wait: Duration) {
        let end = self.end_of(
            from,
            |i| matches!(i, Incident::Waits(id, _) if id == server),
        );
        let arrivals = self.arrivals_since(server, from);
        let mut broken = Vec::new();
        for (told, host) in arrivals.iter().filter(|(a, _)| a.states_wait) {
            // An answer is written some time after the arrival.
            if end.is_some_and(|end| told.at + RECORDING_DELAY >= end) {
                continue;
            }
            let span = told.at + WAIT_REACTION_TIME..told.at + wait;
            let within = arrivals.iter().filter(|(arrival, sender)| {
                let at = arrival.at;
                sender == host && span.contains(&at) && self.is_undisturbed(*host, told.at..at)
            });
            let count = within.count();
            if count > WAIT_CROSSINGS_MAX {
                let observed = format!("{server} stated {wait:?}: {count} from {host}");
                broken.push((told.at, observed));
            }
        }
        for (at, observed) in broken {
            self.report("stated waits", at, observed);
        }
    }
}
