use std::time::Duration;

use crate::{
    MonotonicTime,
    lease::{LeaseRecord, LeaseTimes, LeaseWatch, MemberSet},
};

/// Decides when the member set is founded, changed or settled.
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
    seen: Vec<String>,
    settled_since: Option<MonotonicTime>,
}

/// How long no host row must come or go before the first set is written.
const FIRST_SET_QUIET: Duration = Duration::from_millis(2_000);

/// Lease lengths after which a lapsed member is taken out.
const DEAD_AFTER_LEASES: u32 = 3;

impl MemberPlanner {
    /// The set to be written now, conditional on the present one, if any.
    ///
    /// `leaving` names the hosts whose rows say that they leave.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        watch: &LeaseWatch,
        present: Option<&MemberSet>,
        leaving: &[String],
    ) -> Option<MemberSet> {
        match present {
            Some(present) if !present.members().is_empty() => {
                self.settled_since = None;
                Self::plan_next(now, watch, present, leaving)
            }
            // An empty set is what the last host to leave cleanly wrote.
            other => self.plan_first(now, watch, other, leaving),
        }
    }

    fn plan_first(
        &mut self,
        now: MonotonicTime,
        watch: &LeaseWatch,
        present: Option<&MemberSet>,
        leaving: &[String],
    ) -> Option<MemberSet> {
        let mut live: Vec<String> = watch
            .records()
            .filter(|record| watch.is_live(now, &record.host) && !leaving.contains(&record.host))
            .map(|record| record.host.clone())
            .collect();
        live.sort_unstable();
        if live != self.seen {
            self.seen = live;
            self.settled_since = Some(now);
            return None;
        }
        let since = *self.settled_since.get_or_insert(now);
        if self.seen.is_empty() || now.since(since) < FIRST_SET_QUIET {
            return None;
        }
        let first = MemberSet::initial(self.seen.iter().map(String::as_str));
        Some(match present {
            Some(empty) => empty.with_changes(first.members(), &[]).settled(),
            None => first,
        })
    }

    fn plan_next(
        now: MonotonicTime,
        watch: &LeaseWatch,
        present: &MemberSet,
        leaving: &[String],
    ) -> Option<MemberSet> {
        if !watch.majority_is_renewing(now, present) {
            return None;
        }
        if !present.is_settled() {
            return Self::is_settled(now, watch, present).then(|| present.settled());
        }
        let joining: Vec<String> = watch
            .records()
            .filter(|record| Self::joins(now, watch, present, leaving, record))
            .map(|record| record.host.clone())
            .collect();
        let dead: Vec<String> = present
            .members()
            .iter()
            .filter(|host| Self::is_dead(now, watch, present, host))
            .cloned()
            .collect();
        if joining.is_empty() && dead.is_empty() {
            return None;
        }
        Some(present.with_changes(&joining, &dead))
    }

    /// Whether every host of the sets before goes by the present one or has
    /// lapsed.
    fn is_settled(now: MonotonicTime, watch: &LeaseWatch, present: &MemberSet) -> bool {
        let mut hosts = present.earlier_members();
        hosts.all(|host| {
            let record = watch.record(host);
            let knows = record.is_some_and(|record| record.member_set >= present.version());
            let incarnation = record.map_or(0, |record| record.incarnation);
            knows || watch.has_lapsed(now, host, incarnation, present)
        })
    }

    fn joins(
        now: MonotonicTime,
        watch: &LeaseWatch,
        present: &MemberSet,
        leaving: &[String],
        record: &LeaseRecord,
    ) -> bool {
        !present.contains(&record.host)
            && !leaving.contains(&record.host)
            && watch.is_renewing(now, &record.host)
    }

    fn is_dead(now: MonotonicTime, watch: &LeaseWatch, present: &MemberSet, host: &str) -> bool {
        let incarnation = watch.record(host).map_or(0, |record| record.incarnation);
        let patience = Self::dead_after(watch.times());
        watch.has_lapsed(now, host, incarnation, present)
            && watch
                .unchanged_for(now, host)
                .is_none_or(|unchanged| unchanged >= patience)
    }

    fn dead_after(times: &LeaseTimes) -> Duration {
        times.takeover_wait() * DEAD_AFTER_LEASES
    }
}
