use std::collections::HashMap;

use crate::{
    MonotonicTime,
    lease::{LeaseRules, LeaseTimes, MemberSet},
};

/// What one host's row said at a reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostStamp {
    /// Name of the host.
    pub host: String,
    /// Start of the process that wrote the row.
    pub incarnation: u64,
    /// Number of the renewal that wrote it.
    pub number: u64,
    /// Latest renewal that the process knew to be confirmed.
    pub confirmed: u64,
    /// Version of the member set that the process went by.
    pub member_set: u64,
}

/// Tells from readings of all host rows whether a holder has surely lapsed.
///
/// The old holder has lapsed when its row was unchanged for the length of
/// the lease and, through the time that vouching lasts, a majority of every
/// set that hosts may go by confirmed a renewal between any two readings:
/// those were not in doubt, so no majority vouched for the holder.
///
/// # Example
///
/// ```
/// use mangostep_policy::{LeaseTimes, MemberSet, MonotonicTime, TakerWatch};
///
/// let watch = TakerWatch::new(LeaseTimes::default());
/// let now = MonotonicTime::from_micros(1);
/// assert!(!watch.has_lapsed(now, "h1", 7, &MemberSet::first(["h1", "h2"])));
/// ```
#[derive(Clone, Debug)]
pub struct TakerWatch {
    times: LeaseTimes,
    rules: LeaseRules,
    hosts: HashMap<String, WatchedHost>,
    first_reading: Option<MonotonicTime>,
    last_reading: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct WatchedHost {
    stamp: HostStamp,
    present: bool,
    /// When this number of this incarnation was first read.
    number_since: MonotonicTime,
    /// When this incarnation, or the absence of the row, was first read.
    incarnation_since: MonotonicTime,
    /// Reading since which every other confirmed a new renewal.
    renewing_since: MonotonicTime,
}

impl TakerWatch {
    /// A watch that has read nothing.
    pub fn new(times: LeaseTimes) -> Self {
        Self::with_rules(times, LeaseRules::default())
    }

    /// The same with some clauses switched off, for model checks.
    #[doc(hidden)]
    pub fn with_rules(times: LeaseTimes, rules: LeaseRules) -> Self {
        TakerWatch {
            times,
            rules,
            hosts: HashMap::new(),
            first_reading: None,
            last_reading: None,
        }
    }

    /// The times that the watch goes by.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }

    /// Forgets all readings.
    pub fn restart(&mut self) {
        self.hosts.clear();
        self.first_reading = None;
        self.last_reading = None;
    }

    /// Takes a reading of all host rows, asked at `asked`, answered at `now`.
    ///
    /// Returns whether it counted: a late answer does not, nor one that comes
    /// too soon after the reading before.
    pub fn read(&mut self, asked: MonotonicTime, now: MonotonicTime, stamps: &[HostStamp]) -> bool {
        if now.since(asked) > self.times.answer_limit {
            return false;
        }
        let gap = self.last_reading.map(|last| now.since(last));
        if gap.is_some_and(|gap| gap < self.times.reading_gap_min) {
            return false;
        }
        let is_late = gap.is_none_or(|gap| gap > self.times.reading_gap_max);
        for stamp in stamps {
            self.take_stamp(now, stamp, is_late);
        }
        for (name, watched) in &mut self.hosts {
            let is_absent = !stamps.iter().any(|stamp| stamp.host == *name);
            if is_absent && watched.present {
                watched.present = false;
                watched.number_since = now;
                watched.incarnation_since = now;
            }
            if is_absent {
                watched.renewing_since = now;
            }
        }
        self.first_reading.get_or_insert(now);
        self.last_reading = Some(now);
        true
    }

    fn take_stamp(&mut self, now: MonotonicTime, stamp: &HostStamp, is_late: bool) {
        let Some(watched) = self.hosts.get_mut(&stamp.host) else {
            let watched = WatchedHost {
                stamp: stamp.clone(),
                present: true,
                number_since: now,
                incarnation_since: now,
                renewing_since: now,
            };
            self.hosts.insert(stamp.host.clone(), watched);
            return;
        };
        let is_same = watched.present && watched.stamp.incarnation == stamp.incarnation;
        let sign = if self.rules.confirmed_renewal {
            stamp.confirmed
        } else {
            stamp.number
        };
        let has_renewed = is_same && sign > watched.stamp.number;
        if is_late || !has_renewed {
            watched.renewing_since = now;
        }
        if !is_same {
            watched.incarnation_since = now;
        }
        if !is_same || watched.stamp.number != stamp.number {
            watched.number_since = now;
        }
        watched.present = true;
        watched.stamp = stamp.clone();
    }

    /// Whether a process that once wrote a host's row has surely lapsed.
    pub fn has_lapsed(
        &self,
        now: MonotonicTime,
        host: &str,
        incarnation: u64,
        members: &MemberSet,
    ) -> bool {
        let Some(since) = self.unchanged_since(host, incarnation) else {
            return false;
        };
        let wait = if self.rules.full_wait {
            self.times.take_wait()
        } else {
            self.times.reading_gap_min
        };
        now.since(since) >= wait && self.sees_majority(now, members)
    }

    fn unchanged_since(&self, host: &str, incarnation: u64) -> Option<MonotonicTime> {
        let Some(watched) = self.hosts.get(host) else {
            return self.first_reading;
        };
        let is_same = watched.present && watched.stamp.incarnation == incarnation;
        Some(if is_same {
            watched.number_since
        } else {
            watched.incarnation_since
        })
    }

    /// Whether a majority of each set renewed for long enough.
    pub fn sees_majority(&self, now: MonotonicTime, members: &MemberSet) -> bool {
        if !self.rules.take_majority {
            return true;
        }
        let is_recent = self
            .last_reading
            .is_some_and(|last| now.since(last) <= self.times.answer_limit);
        let counted = if self.rules.sets_before {
            usize::MAX
        } else {
            1
        };
        is_recent
            && members.sets().take(counted).all(|set| {
                let renewing = set.iter().filter(|host| self.is_renewing(now, host));
                renewing.count() > set.len() / 2
            })
    }

    /// Whether a host confirmed new renewals at each reading for long enough.
    pub fn is_renewing(&self, now: MonotonicTime, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|watched| {
            watched.present && now.since(watched.renewing_since) >= self.times.majority_wait()
        })
    }

    /// Whether a host's row changed within the answer limit, the longest gap
    /// of readings and the time between renewals.
    pub fn is_live(&self, now: MonotonicTime, host: &str) -> bool {
        let patience = self.times.reading_gap_max * 2;
        self.hosts
            .get(host)
            .is_some_and(|watched| watched.present && now.since(watched.number_since) <= patience)
    }

    /// How long a host's present row, or its absence, was seen unchanged.
    pub fn unchanged_for(&self, now: MonotonicTime, host: &str) -> Option<std::time::Duration> {
        let watched = self.hosts.get(host)?;
        Some(now.since(watched.number_since))
    }

    /// What the latest reading said of a host.
    pub fn stamp(&self, host: &str) -> Option<&HostStamp> {
        let watched = self.hosts.get(host)?;
        watched.present.then_some(&watched.stamp)
    }

    /// What the latest reading said of all hosts.
    pub fn stamps(&self) -> impl Iterator<Item = &HostStamp> {
        self.hosts
            .values()
            .filter(|watched| watched.present)
            .map(|watched| &watched.stamp)
    }
}
