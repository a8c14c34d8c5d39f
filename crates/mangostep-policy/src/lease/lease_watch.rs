use std::collections::HashMap;

use crate::{
    MonotonicTime,
    lease::{LeaseRules, LeaseTimes, MemberSet},
};

/// What one host's row said at a reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRecord {
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
/// use mangostep_policy::{LeaseTimes, MemberSet, MonotonicTime, LeaseWatch};
///
/// let watch = LeaseWatch::new(LeaseTimes::default());
/// let now = MonotonicTime::from_micros(1);
/// assert!(!watch.has_lapsed(now, "h1", 7, &MemberSet::initial(["h1", "h2"])));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseWatch {
    times: LeaseTimes,
    rules: LeaseRules,
    hosts: HashMap<String, WatchedHost>,
    first_reading: Option<MonotonicTime>,
    last_reading: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct WatchedHost {
    record: LeaseRecord,
    present: bool,
    /// When this number of this incarnation was first read.
    number_since: MonotonicTime,
    /// When this incarnation, or the absence of the row, was first read.
    incarnation_since: MonotonicTime,
    /// Reading since which every other confirmed a new renewal.
    renewing_since: MonotonicTime,
}

impl LeaseWatch {
    /// A watch that has read nothing.
    pub fn new(times: LeaseTimes) -> Self {
        Self::with_rules(times, LeaseRules::default())
    }

    /// The same with some clauses switched off, for model checks.
    #[doc(hidden)]
    pub fn with_rules(times: LeaseTimes, rules: LeaseRules) -> Self {
        LeaseWatch {
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
    pub fn reset(&mut self) {
        self.hosts.clear();
        self.first_reading = None;
        self.last_reading = None;
    }

    /// Takes a reading of all host rows, asked at `asked`, answered at `now`.
    ///
    /// Returns whether it counted: a late answer does not, nor one that comes
    /// too soon after the reading before.
    pub fn add_reading(
        &mut self,
        asked: MonotonicTime,
        now: MonotonicTime,
        records: &[LeaseRecord],
    ) -> bool {
        if now.since(asked) > self.times.answer_limit {
            return false;
        }
        let gap = self.last_reading.map(|last| now.since(last));
        if gap.is_some_and(|gap| gap < self.times.reading_gap_min) {
            return false;
        }
        let is_late = gap.is_none_or(|gap| gap > self.times.reading_gap_max);
        for record in records {
            self.apply_record(now, record, is_late);
        }
        for (name, watched) in &mut self.hosts {
            let is_absent = !records.iter().any(|record| record.host == *name);
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

    fn apply_record(&mut self, now: MonotonicTime, record: &LeaseRecord, is_late: bool) {
        let Some(watched) = self.hosts.get_mut(&record.host) else {
            let watched = WatchedHost {
                record: record.clone(),
                present: true,
                number_since: now,
                incarnation_since: now,
                renewing_since: now,
            };
            self.hosts.insert(record.host.clone(), watched);
            return;
        };
        let is_same = watched.present && watched.record.incarnation == record.incarnation;
        let sign = if self.rules.count_confirmed_only {
            record.confirmed
        } else {
            record.number
        };
        let has_renewed = is_same && sign > watched.record.number;
        if is_late || !has_renewed {
            watched.renewing_since = now;
        }
        if !is_same {
            watched.incarnation_since = now;
        }
        if !is_same || watched.record.number != record.number {
            watched.number_since = now;
        }
        watched.present = true;
        watched.record = record.clone();
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
        let wait = if self.rules.takeover_waits_full_lease {
            self.times.takeover_wait()
        } else {
            self.times.reading_gap_min
        };
        now.since(since) >= wait && self.majority_is_renewing(now, members)
    }

    fn unchanged_since(&self, host: &str, incarnation: u64) -> Option<MonotonicTime> {
        let Some(watched) = self.hosts.get(host) else {
            return self.first_reading;
        };
        let is_same = watched.present && watched.record.incarnation == incarnation;
        Some(if is_same {
            watched.number_since
        } else {
            watched.incarnation_since
        })
    }

    /// Whether a majority of each set renewed for long enough.
    pub fn majority_is_renewing(&self, now: MonotonicTime, members: &MemberSet) -> bool {
        if !self.rules.takeover_needs_majority {
            return true;
        }
        let is_recent = self
            .last_reading
            .is_some_and(|last| now.since(last) <= self.times.answer_limit);
        let counted = if self.rules.earlier_sets_count {
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
    pub fn record(&self, host: &str) -> Option<&LeaseRecord> {
        let watched = self.hosts.get(host)?;
        watched.present.then_some(&watched.record)
    }

    /// What the latest reading said of all hosts.
    pub fn records(&self) -> impl Iterator<Item = &LeaseRecord> {
        self.hosts
            .values()
            .filter(|watched| watched.present)
            .map(|watched| &watched.record)
    }
}
