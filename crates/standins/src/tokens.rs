//! Collects from the hosts' timelines when tokens were taken, and checks every
//! time window against a rate and a burst.

use std::collections::HashMap;

use {mangostep_telemetry::TimelineEvent, serde::Deserialize};

use crate::{StandinError, fleet::HostHandle};

/// One token in the unit of the exact integer arithmetic: millionths of a token
/// per second, times microseconds.
const TOKEN_UNITS: i128 = 1_000_000_000_000;
const MICROS_PER_S: i128 = 1_000_000;

/// Log of the tokens that limit homes took for one rate limit.
///
/// The hosts must run with the setting `record_tokens`. They store a bounded
/// number of events, so call [`TokenLog::read`] often while tokens are taken.
#[derive(Debug)]
pub struct TokenLog {
    name: String,
    /// Sequence number of the last event read, by host and incarnation.
    last_read: HashMap<(String, u64), u64>,
    taken_us: Vec<u64>,
    missed: u64,
}

/// A page of a host's timeline.
#[derive(Debug, Deserialize)]
struct TimelinePage {
    host: String,
    incarnation: u64,
    missed: u64,
    events: Vec<TimelineEvent>,
}

impl TokenLog {
    /// Creates an empty log for the rate limit of a workspace.
    pub fn of_workspace(workspace: &str) -> Self {
        TokenLog::for_name(format!("w:{workspace}"))
    }

    /// Creates an empty log for the rate limit of an open route.
    pub fn of_route(route: &str) -> Self {
        TokenLog::for_name(format!("r:{route}"))
    }

    fn for_name(name: String) -> Self {
        TokenLog {
            name,
            last_read: HashMap::new(),
            taken_us: Vec::new(),
            missed: 0,
        }
    }

    /// Reads the events that a host recorded since the last read.
    ///
    /// # Errors
    ///
    /// Fails when the host gives no valid answer within 2 s.
    pub async fn read(
        &mut self,
        http: &reqwest::Client,
        host: &HostHandle,
    ) -> Result<(), StandinError> {
        let operator = host.addresses().operator;
        let failed = |err| StandinError::new("read events", host.name(), err);
        // A restarted host numbers its events from 1 again.
        let since = self
            .last_read
            .iter()
            .filter(|((name, _), _)| name == host.name())
            .map(|(_, last)| *last)
            .max()
            .unwrap_or(0);
        let mut page = fetch(http, operator, since).await.map_err(failed)?;
        let key = (page.host.clone(), page.incarnation);
        if since > 0 && !self.last_read.contains_key(&key) {
            page = fetch(http, operator, 0).await.map_err(failed)?;
            self.last_read.retain(|(name, _), _| name != host.name());
        }
        self.missed += page.missed;
        for event in &page.events {
            self.record(event);
        }
        let last = page.events.last().map_or(since, |event| event.sequence);
        self.last_read.insert((page.host, page.incarnation), last);
        Ok(())
    }

    fn record(&mut self, event: &TimelineEvent) {
        let is_own = event.fields.get("name") == Some(&self.name);
        if event.name != "tokens-taken" || !is_own {
            return;
        }
        let number = |field| event.fields.get(field).and_then(|text| text.parse().ok());
        if let (Some(at), Some(tokens)) = (number("at_us"), number("tokens")) {
            for _ in 0..tokens {
                self.taken_us.push(at);
            }
        }
    }

    /// Sorted times at which tokens were taken, in microseconds of the machine's
    /// clock, with one entry per token.
    pub fn taken_us(&self) -> Vec<u64> {
        let mut taken = self.taken_us.clone();
        taken.sort_unstable();
        taken
    }

    /// Number of events that hosts dropped before they were read.
    pub fn missed(&self) -> u64 {
        self.missed
    }
}

async fn fetch(
    http: &reqwest::Client,
    operator: std::net::SocketAddr,
    since: u64,
) -> Result<TimelinePage, reqwest::Error> {
    let url = format!("http://{operator}/events?since={since}");
    let limit = std::time::Duration::from_secs(2);
    http.get(url).timeout(limit).send().await?.json().await
}

/// A rate and a burst in millionths of a token, for exact checks.
#[derive(Clone, Copy, Debug)]
pub struct WindowLimit {
    /// Rate, in millionths of a token per second.
    pub rate_micro_per_s: u64,
    /// Burst, in millionths of a token.
    pub burst_micro: u64,
}

impl WindowLimit {
    /// Largest number of tokens by which any window exceeds rate x window + burst;
    /// zero or negative when all windows are within the limit.
    ///
    /// The times must be sorted. The comparison uses exact integer arithmetic.
    pub fn excess(&self, taken_us: &[u64]) -> f64 {
        let rate = i128::from(self.rate_micro_per_s);
        let burst = i128::from(self.burst_micro) * MICROS_PER_S;
        let mut least = i128::MAX;
        let mut most = i128::MIN;
        for (index, at) in taken_us.iter().enumerate() {
            let refilled = rate * i128::from(*at);
            let before = index as i128 * TOKEN_UNITS - refilled;
            least = least.min(before);
            most = most.max(before + TOKEN_UNITS - least);
        }
        if taken_us.is_empty() {
            return f64::NEG_INFINITY;
        }
        (most - burst) as f64 / TOKEN_UNITS as f64
    }
}

impl WindowLimit {
    /// Whether each request, due at the given times, would get a token from a
    /// single token bucket for the whole fleet. The bucket starts full.
    ///
    /// The times must be sorted.
    pub fn admissible(&self, due_us: &[u64]) -> Vec<bool> {
        let rate = i128::from(self.rate_micro_per_s);
        let burst = i128::from(self.burst_micro) * MICROS_PER_S;
        let mut units = burst;
        let mut last = due_us.first().copied().unwrap_or(0);
        let mut admitted = Vec::with_capacity(due_us.len());
        for at in due_us {
            units = burst.min(units + rate * i128::from(at - last));
            last = *at;
            let is_admitted = units >= TOKEN_UNITS;
            if is_admitted {
                units -= TOKEN_UNITS;
            }
            admitted.push(is_admitted);
        }
        admitted
    }
}

/// Maximum number of tokens in any window of the given length, both ends
/// included.
///
/// The times must be sorted.
///
/// # Example
///
/// ```
/// use standins::tokens::max_in_window;
///
/// assert_eq!(max_in_window(&[0, 10, 20, 1_000_005], 1_000_000), 3);
/// ```
pub fn max_in_window(taken_us: &[u64], window_us: u64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in taken_us.iter().enumerate() {
        while at - taken_us[first] > window_us {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}
