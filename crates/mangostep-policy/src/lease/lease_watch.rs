use std::collections::HashMap;

use crate::{
    MonotonicTime,
    lease::{LeaseRules, LeaseTimes, MemberSet},
};

/// The lease fields of one host's row, as of a reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the host.
    pub host: String,
    /// Identifies the process that wrote the row, by its start.
    pub incarnation: u64,
    /// Number of the renewal that wrote the row.
    pub number: u64,
    /// Number of the latest renewal that the process knew to be confirmed.
    pub confirmed: u64,
    /// Version of the member set that the process was using.
    pub member_set: u64,
}

/// Detects from readings of all host rows that a holder has certainly lapsed.
///
/// The old holder has lapsed if its row was unchanged for the length of the
/// lease and if, throughout the duration of vouching, a majority of every
/// member set in use confirmed a renewal between any two readings. The hosts
/// of that majority were not in doubt, so no majority vouched for the holder.
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
    /// When this renewal number of this incarnation was first read.
    number_since: MonotonicTime,
    /// When this incarnation, or the absence of the row, was first read.
    incarnation_since: MonotonicTime,
    /// Time of the reading since which every later one has shown a newly
    /// confirmed renewal.
    renewing_since: MonotonicTime,
}

impl LeaseWatch {
    /// Creates a watch without readings; it reports no host as lapsed.
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

    /// The durations with which the watch was created.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }

    /// Discards all readings.
    pub fn reset(&mut self) {
        self.hosts.clear();
        self.first_reading = None;
        self.last_reading = None;
    }

    /// Adds a reading of all host rows, requested at `sent` and received at
    /// `now`.
    ///
    /// Returns whether the reading counts. It does not if the response
    /// exceeds the answer limit or follows the previous reading too soon.
    pub fn add_reading(
        &mut self,
        sent: MonotonicTime,
        now: MonotonicTime,
        records: &[LeaseRecord],
    ) -> bool {
        if now.since(sent) > self.times.answer_limit {
            return false;
        }
        let gap = self.last_reading.map(|last| now.since(last));
        if gap.is_some_and(|gap| gap < self.times.reading_gap_min) {
            return false;
        }
        let is_after_long_gap = gap.is_none_or(|gap| gap > self.times.reading_gap_max);
        for record in records {
            self.apply_record(now, record, is_after_long_gap);
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

    fn apply_record(&mut self, now: MonotonicTime, record: &LeaseRecord, is_after_long_gap: bool) {
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
        let renewed_number = if self.rules.count_confirmed_only {
            record.confirmed
        } else {
            record.number
        };
        let has_renewed = is_same && renewed_number > watched.record.number;
        if is_after_long_gap || !has_renewed {
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

    /// Whether a process that once wrote a host's row has certainly lapsed.
    ///
    /// Errs on the side of `false`: without enough readings, or without a
    /// renewing majority, the process counts as running.
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

    /// Whether a majority of each member set has been renewing for
    /// [`LeaseTimes::majority_wait`] and the latest reading is recent.
    pub fn majority_is_renewing(&self, now: MonotonicTime, members: &MemberSet) -> bool {
        if !self.rules.takeover_needs_majority {
            return true;
        }
        let is_recent = self
            .last_reading
            .is_some_and(|last| now.since(last) <= self.times.answer_limit);
        let set_count = if self.rules.earlier_sets_count {
            usize::MAX
        } else {
            1
        };
        is_recent
            && members.sets().take(set_count).all(|set| {
                let renewing = set.iter().filter(|host| self.is_renewing(now, host));
                renewing.count() > set.len() / 2
            })
    }

    /// Whether each reading of the last [`LeaseTimes::majority_wait`] showed a
    /// newly confirmed renewal of a host.
    pub fn is_renewing(&self, now: MonotonicTime, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|watched| {
            watched.present && now.since(watched.renewing_since) >= self.times.majority_wait()
        })
    }

    /// Whether a host's row is present and has changed within twice the
    /// longest gap between readings.
    ///
    /// That period is meant to cover the answer limit, one gap and the
    /// renewal interval.
    pub fn is_live(&self, now: MonotonicTime, host: &str) -> bool {
        let unchanged_max = self.times.reading_gap_max * 2;
        self.hosts.get(host).is_some_and(|watched| {
            watched.present && now.since(watched.number_since) <= unchanged_max
        })
    }

    /// How long a host's row, or its absence, has been observed unchanged;
    /// `None` for a host that no reading has shown.
    pub fn unchanged_for(&self, now: MonotonicTime, host: &str) -> Option<std::time::Duration> {
        let watched = self.hosts.get(host)?;
        Some(now.since(watched.number_since))
    }

    /// The record of a host in the latest reading; `None` if it had no row.
    pub fn record(&self, host: &str) -> Option<&LeaseRecord> {
        let watched = self.hosts.get(host)?;
        watched.present.then_some(&watched.record)
    }

    /// The records of all hosts in the latest reading, in no fixed order.
    pub fn records(&self) -> impl Iterator<Item = &LeaseRecord> {
        self.hosts
            .values()
            .filter(|watched| watched.present)
            .map(|watched| &watched.record)
    }
}
