use std::time::Duration;

use crate::{
    MonotonicTime,
    lease::{HostStamp, LeaseTimes, MemberSet, TakerWatch},
};

/// Decides when the member set is founded, changed or settled.
///
/// # Example
///
/// ```
/// use mangostep_policy::{LeaseTimes, MemberPlanner, MemberSet, MonotonicTime, TakerWatch};
///
/// let mut planner = MemberPlanner::default();
/// let watch = TakerWatch::new(LeaseTimes::default());
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
        watch: &TakerWatch,
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
        watch: &TakerWatch,
        present: Option<&MemberSet>,
        leaving: &[String],
    ) -> Option<MemberSet> {
        let mut live: Vec<String> = watch
            .stamps()
            .filter(|stamp| watch.is_live(now, &stamp.host) && !leaving.contains(&stamp.host))
            .map(|stamp| stamp.host.clone())
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
        let first = MemberSet::first(self.seen.iter().map(String::as_str));
        Some(match present {
            Some(empty) => empty.changed(first.members(), &[]).settled(),
            None => first,
        })
    }

    fn plan_next(
        now: MonotonicTime,
        watch: &TakerWatch,
        present: &MemberSet,
        leaving: &[String],
    ) -> Option<MemberSet> {
        if !watch.sees_majority(now, present) {
            return None;
        }
        if !present.is_settled() {
            return Self::is_settled(now, watch, present).then(|| present.settled());
        }
        let joining: Vec<String> = watch
            .stamps()
            .filter(|stamp| Self::joins(now, watch, present, leaving, stamp))
            .map(|stamp| stamp.host.clone())
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
        Some(present.changed(&joining, &dead))
    }

    /// Whether every host of the sets before goes by the present one or has
    /// lapsed.
    fn is_settled(now: MonotonicTime, watch: &TakerWatch, present: &MemberSet) -> bool {
        let mut hosts = present.hosts_before();
        hosts.all(|host| {
            let stamp = watch.stamp(host);
            let knows = stamp.is_some_and(|stamp| stamp.member_set >= present.version());
            let incarnation = stamp.map_or(0, |stamp| stamp.incarnation);
            knows || watch.has_lapsed(now, host, incarnation, present)
        })
    }

    fn joins(
        now: MonotonicTime,
        watch: &TakerWatch,
        present: &MemberSet,
        leaving: &[String],
        stamp: &HostStamp,
    ) -> bool {
        !present.contains(&stamp.host)
            && !leaving.contains(&stamp.host)
            && watch.is_renewing(now, &stamp.host)
    }

    fn is_dead(now: MonotonicTime, watch: &TakerWatch, present: &MemberSet, host: &str) -> bool {
        let incarnation = watch.stamp(host).map_or(0, |stamp| stamp.incarnation);
        let patience = Self::dead_after(watch.times());
        watch.has_lapsed(now, host, incarnation, present)
            && watch
                .unchanged_for(now, host)
                .is_none_or(|unchanged| unchanged >= patience)
    }

    fn dead_after(times: &LeaseTimes) -> Duration {
        times.take_wait() * DEAD_AFTER_LEASES
    }
}
