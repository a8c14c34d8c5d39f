use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    MonotonicTime,
    admission::{RANK_COUNT, RateMeter, WaitClaim},
};

new_key_type! {
    /// Key of a request in a [`WaitQueue`].
    pub struct WaitKey;
}

/// Settings of a [`WaitQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct WaitSettings {
    /// Maximum number of requests that wait.
    pub requests_max: usize,
    /// Maximum size of these requests in memory.
    pub bytes_max: u64,
    /// Time over which the requests of a workspace that were admitted count
    /// against it.
    pub usage_time: Duration,
}

impl Default for WaitSettings {
    fn default() -> Self {
        WaitSettings {
            requests_max: 128,
            bytes_max: 8 << 20,
            usage_time: Duration::from_secs(2),
        }
    }
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitRefusal {
    /// It would be admitted later than its target latency allows.
    TooLate,
    /// The queue is full of requests with a better claim.
    Full,
}

/// Requests of one service that wait on a host, without holding a server.
///
/// They are ordered by priority, then by the recent use of their workspaces,
/// then by time left. A workspace that sends many requests waits behind its
/// own ones, not in front of others.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    settings: WaitSettings,
    entries: SlotMap<WaitKey, WaitEntry<T>>,
    usage: HashMap<String, RateMeter>,
    /// Ranks that go first, because they got less than their part.
    starved: [bool; RANK_COUNT],
    bytes: u64,
    next_number: u64,
}

#[derive(Clone, Debug)]
struct WaitEntry<T> {
    claim: WaitClaim,
    number: u64,
    ticket: T,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue.
    pub fn open(settings: WaitSettings) -> Self {
        WaitQueue {
            settings,
            entries: SlotMap::with_key(),
            usage: HashMap::new(),
            starved: [false; RANK_COUNT],
            bytes: 0,
            next_number: 0,
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request of a workspace was sent to a server.
    pub fn record_use(&mut self, workspace: &str, now: MonotonicTime) {
        let usage_time = self.settings.usage_time;
        if !self.usage.contains_key(workspace) {
            // Workspaces without recent use are forgotten, so that the table
            // does not grow.
            let least = 1e-3;
            self.usage.retain(|_, meter| meter.rate(now) > least);
            let meter = RateMeter::open(usage_time);
            self.usage.insert(workspace.to_owned(), meter);
        }
        if let Some(meter) = self.usage.get_mut(workspace) {
            meter.add(now);
        }
    }

    /// Sets the ranks that go first, because they got less than their part of
    /// the room.
    pub fn set_starved(&mut self, starved: [bool; RANK_COUNT]) {
        self.starved = starved;
    }

    /// Requests of a workspace that were admitted within the usage time.
    fn usage_of(&self, workspace: &str, now: MonotonicTime) -> f64 {
        let meter = self.usage.get(workspace);
        meter.map_or(0.0, |meter| meter.rate(now)) * self.settings.usage_time.as_secs_f64()
    }

    /// Adds a request. `rate` is the rate at which this host admits requests.
    /// Returns its key, and the ticket of a request that gave up its place.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait for too long, or if all others have a
    /// better claim to the queue.
    pub fn push(
        &mut self,
        claim: WaitClaim,
        ticket: T,
        rate: f64,
        now: MonotonicTime,
    ) -> Result<(WaitKey, Option<T>), WaitRefusal> {
        if now + self.expected_wait(&claim, rate, now) > claim.admit_by {
            return Err(WaitRefusal::TooLate);
        }
        let is_full = self.entries.len() >= self.settings.requests_max
            || self.bytes + claim.bytes > self.settings.bytes_max;
        let mut evicted = None;
        if is_full {
            let worst = self.worst(now).ok_or(WaitRefusal::Full)?;
            let frees_enough = self.bytes - self.entries[worst].claim.bytes + claim.bytes
                <= self.settings.bytes_max;
            if !frees_enough || !self.has_better_claim(&claim, worst, now) {
                return Err(WaitRefusal::Full);
            }
            evicted = self.remove(worst);
        }
        self.bytes += claim.bytes;
        self.next_number += 1;
        let key = self.entries.insert(WaitEntry {
            claim,
            number: self.next_number,
            ticket,
        });
        Ok((key, evicted))
    }

    /// Removes a request and returns its ticket; `None` if it gave up its
    /// place before.
    pub fn remove(&mut self, key: WaitKey) -> Option<T> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.claim.bytes;
        Some(entry.ticket)
    }

    /// The request that is admitted next, and its ticket.
    pub fn first(&self, now: MonotonicTime) -> Option<(WaitKey, &T)> {
        let entries = self.entries.iter();
        let first = entries.min_by(|(_, first), (_, second)| self.compare(first, second, now));
        first.map(|(key, entry)| (key, &entry.ticket))
    }

    /// Whether a request that does not wait yet would be admitted next.
    pub fn would_be_first(&self, claim: &WaitClaim, now: MonotonicTime) -> bool {
        let Some((key, _)) = self.first(now) else {
            return true;
        };
        let first = &self.entries[key].claim;
        let order = self.compare_claims(claim, first, now);
        order == Ordering::Less
    }

    /// Whether a request that waits can still be admitted in time, at the
    /// given rate of admissions. `false` if it gave up its place.
    pub fn is_in_time(&self, key: WaitKey, rate: f64, now: MonotonicTime) -> bool {
        self.entries.get(key).is_some_and(|entry| {
            let claim = &entry.claim;
            let ahead = self.entries.values();
            let ahead = ahead.filter(|other| self.compare(other, entry, now) == Ordering::Less);
            now + wait_for(ahead.count(), rate) <= claim.admit_by
        })
    }

    /// Time until a new request with the given claim would be admitted.
    pub fn expected_wait(&self, claim: &WaitClaim, rate: f64, now: MonotonicTime) -> Duration {
        let urgency = claim.urgency();
        let mut ahead = 0;
        let mut same_rank: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in self.entries.values() {
            match entry.claim.urgency().cmp(&urgency) {
                Ordering::Less => ahead += 1,
                Ordering::Equal => *same_rank.entry(&entry.claim.workspace).or_default() += 1,
                Ordering::Greater => {}
            }
        }
        // The workspaces of one rank take turns from the least used on.
        let own_waiting = same_rank.get(claim.workspace.as_str()).copied();
        let turn = self.usage_of(&claim.workspace, now) + f64::from(own_waiting.unwrap_or(0));
        for (workspace, waiting) in same_rank {
            let turns = turn - self.usage_of(workspace, now);
            ahead += match workspace == claim.workspace {
                true => waiting as usize,
                false => turns.ceil().clamp(0.0, waiting.into()) as usize,
            };
        }
        wait_for(ahead, rate)
    }

    /// The request that gives up its place first: the last one of the
    /// workspace with the most use and requests in the least urgent rank.
    fn worst(&self, now: MonotonicTime) -> Option<WaitKey> {
        let urgency = self.entries.values().map(|entry| entry.claim.urgency());
        let urgency = urgency.max()?;
        let last_rank = || {
            let entries = self.entries.iter();
            entries.filter(move |(_, entry)| entry.claim.urgency() == urgency)
        };
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, entry) in last_rank() {
            *waiting.entry(&entry.claim.workspace).or_default() += 1;
        }
        let load = |(workspace, waiting): &(&str, u32)| {
            self.usage_of(workspace, now) + f64::from(*waiting)
        };
        let heaviest = waiting
            .into_iter()
            .max_by(|first, second| load(first).total_cmp(&load(second)));
        let (workspace, _) = heaviest?;
        let own = last_rank().filter(|(_, entry)| entry.claim.workspace == workspace);
        let last = own
            .max_by_key(|(_, entry)| (!entry.claim.is_return, entry.claim.admit_by, entry.number));
        last.map(|(key, _)| key)
    }

    fn has_better_claim(&self, claim: &WaitClaim, worst: WaitKey, now: MonotonicTime) -> bool {
        let other = &self.entries[worst].claim;
        let order = claim.urgency().cmp(&other.urgency());
        let waiting = |workspace: &str| {
            let entries = self.entries.values();
            let own = entries.filter(|entry| {
                entry.claim.workspace == workspace && entry.claim.urgency() == other.urgency()
            });
            own.count() as f64
        };
        let load = |workspace: &str| self.usage_of(workspace, now) + waiting(workspace);
        match order {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                claim.workspace != other.workspace
                    && load(&claim.workspace) + 1.0 < load(&other.workspace)
            }
        }
    }

    fn compare(&self, first: &WaitEntry<T>, second: &WaitEntry<T>, now: MonotonicTime) -> Ordering {
        self.compare_claims(&first.claim, &second.claim, now)
            .then(first.number.cmp(&second.number))
    }

    fn compare_claims(
        &self,
        first: &WaitClaim,
        second: &WaitClaim,
        now: MonotonicTime,
    ) -> Ordering {
        let usage = |claim: &WaitClaim| self.usage_of(&claim.workspace, now);
        let by_usage = || match first.workspace == second.workspace {
            true => Ordering::Equal,
            false => usage(first).total_cmp(&usage(second)),
        };
        let urgency = |claim: &WaitClaim| (!self.starved[claim.rank()], claim.urgency());
        urgency(first)
            .cmp(&urgency(second))
            .then_with(by_usage)
            .then(second.is_return.cmp(&first.is_return))
            .then(first.admit_by.cmp(&second.admit_by))
    }
}

/// Longest wait that is computed, for rates near zero.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Time until a request is admitted behind `ahead` others.
fn wait_for(ahead: usize, rate: f64) -> Duration {
    let seconds = ahead as f64 / rate.max(f64::EPSILON);
    Duration::from_secs_f64(seconds.min(WAIT_MAX.as_secs_f64()))
}
