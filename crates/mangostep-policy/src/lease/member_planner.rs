use std::time::Duration;

use crate::{
    MonotonicTime,
    lease::{LeaseRecord, LeaseTimes, LeaseWatch, MemberSet},
};

/// Decides when the member set is created, changed or settled.
///
/// A set is settled once no host can still be using an earlier one.
///
/// # Example
///
/// ```
/// use mangostep_policy::{LeaseTimes, MemberPlanner, MemberSet, MonotonicTime, LeaseWatch};
///
/// let mut planner = MemberPlanner::default();
/// let watch = LeaseWatch::new(LeaseTimes::default());
/// let now = MonotonicTime::from_micros(1);
/// assert_eq!(planner.plan(now, &watch, None, &[]), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemberPlanner {
    live_hosts: Vec<String>,
    unchanged_since: Option<MonotonicTime>,
}

/// How long the live hosts must be unchanged before the initial set is
/// written.
const INITIAL_SET_STABILITY: Duration = Duration::from_millis(2_000);

/// Number of takeover waits after which a lapsed member is removed.
const DEAD_AFTER_TAKEOVER_WAITS: u32 = 3;

impl MemberPlanner {
    /// Returns the set to write now, if any, conditional on the current one
    /// being unchanged.
    ///
    /// `leaving` names the hosts that announce in their rows that they leave.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        watch: &LeaseWatch,
        current: Option<&MemberSet>,
        leaving: &[String],
    ) -> Option<MemberSet> {
        match current {
            Some(current) if !current.members().is_empty() => {
                self.unchanged_since = None;
                Self::plan_next(now, watch, current, leaving)
            }
            // The last host to leave cleanly writes an empty set.
            empty => self.plan_initial(now, watch, empty, leaving),
        }
    }

    fn plan_initial(
        &mut self,
        now: MonotonicTime,
        watch: &LeaseWatch,
        current: Option<&MemberSet>,
        leaving: &[String],
    ) -> Option<MemberSet> {
        let mut live: Vec<String> = watch
            .records()
            .filter(|record| watch.is_live(now, &record.host) && !leaving.contains(&record.host))
            .map(|record| record.host.clone())
            .collect();
        live.sort_unstable();
        if live != self.live_hosts {
            self.live_hosts = live;
            self.unchanged_since = Some(now);
            return None;
        }
        let since = *self.unchanged_since.get_or_insert(now);
        if self.live_hosts.is_empty() || now.since(since) < INITIAL_SET_STABILITY {
            return None;
        }
        let initial = MemberSet::initial(self.live_hosts.iter().map(String::as_str));
        Some(match current {
            Some(empty) => empty.with_changes(initial.members(), &[]).settled(),
            None => initial,
        })
    }

    fn plan_next(
        now: MonotonicTime,
        watch: &LeaseWatch,
        current: &MemberSet,
        leaving: &[String],
    ) -> Option<MemberSet> {
        if !watch.majority_is_renewing(now, current) {
            return None;
        }
        if !current.is_settled() {
            return Self::is_settled(now, watch, current).then(|| current.settled());
        }
        let joining: Vec<String> = watch
            .records()
            .filter(|record| Self::can_join(now, watch, current, leaving, record))
            .map(|record| record.host.clone())
            .collect();
        let dead: Vec<String> = current
            .members()
            .iter()
            .filter(|host| Self::is_dead(now, watch, current, host))
            .cloned()
            .collect();
        if joining.is_empty() && dead.is_empty() {
            return None;
        }
        Some(current.with_changes(&joining, &dead))
    }

    /// Whether every host of the earlier sets uses the current one or has
    /// lapsed.
    fn is_settled(now: MonotonicTime, watch: &LeaseWatch, current: &MemberSet) -> bool {
        let mut hosts = current.earlier_members();
        hosts.all(|host| {
            let record = watch.record(host);
            let uses_current = record.is_some_and(|record| record.member_set >= current.version());
            let incarnation = record.map_or(0, |record| record.incarnation);
            uses_current || watch.has_lapsed(now, host, incarnation, current)
        })
    }

    fn can_join(
        now: MonotonicTime,
        watch: &LeaseWatch,
        current: &MemberSet,
        leaving: &[String],
        record: &LeaseRecord,
    ) -> bool {
        !current.contains(&record.host)
            && !leaving.contains(&record.host)
            && watch.is_renewing(now, &record.host)
    }

    fn is_dead(now: MonotonicTime, watch: &LeaseWatch, current: &MemberSet, host: &str) -> bool {
        let incarnation = watch.record(host).map_or(0, |record| record.incarnation);
        let unchanged_min = Self::dead_after(watch.times());
        watch.has_lapsed(now, host, incarnation, current)
            && watch
                .unchanged_for(now, host)
                .is_none_or(|unchanged| unchanged >= unchanged_min)
    }

    fn dead_after(times: &LeaseTimes) -> Duration {
        times.takeover_wait() * DEAD_AFTER_TAKEOVER_WAITS
    }
}
