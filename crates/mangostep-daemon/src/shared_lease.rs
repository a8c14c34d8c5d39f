use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use mangostep_policy::{Confirmation, HostLease, LeaseTimes, MemberSet, Renewal, Standing};

use crate::prelude::*;

/// The host's lease, shared by the store thread, which renews it, and the
/// peer thread, which requests vouches for it.
///
/// Requests never take its lock. They read [`crate::context::HostStanding`],
/// which is updated whenever the lease changes.
#[derive(Debug)]
pub(crate) struct SharedLease {
    state: Mutex<LeaseState>,
}

#[derive(Debug)]
struct LeaseState {
    lease: HostLease,
    members: MemberSet,
    /// Resources that this host has released, with the epoch in which it held
    /// each of them.
    released: HashMap<String, u64>,
    /// Last reports of hosts whose lease is in doubt, by host name.
    doubt_reports: HashMap<String, DoubtReport>,
    /// Last published standing.
    published: Standing,
    /// Last published version of the member set.
    published_members: u64,
}

#[derive(Clone, Copy, Debug)]
struct DoubtReport {
    /// When this host sent the request that the report answers.
    sent: MonotonicTime,
    version: u64,
}

/// A member's answer to a vouch request.
#[derive(Clone, Debug)]
pub(crate) struct MemberAnswer {
    pub(crate) host: String,
    /// When this host sent the request.
    pub(crate) sent: MonotonicTime,
    /// Whether the member's own lease is in doubt, so that it vouches.
    pub(crate) in_doubt: bool,
    /// Version of the member's configuration; 0 for none.
    pub(crate) version: u64,
    /// Remaining time for which heads that the member read itself keep it
    /// fresh.
    pub(crate) fresh_for: Duration,
}

impl SharedLease {
    pub(crate) fn new(times: LeaseTimes, started: MonotonicTime) -> Self {
        let state = LeaseState {
            lease: HostLease::new(times, started),
            members: MemberSet::default(),
            released: HashMap::new(),
            doubt_reports: HashMap::new(),
            published: Standing::Lapsed,
            published_members: 0,
        };
        SharedLease {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn begin_renewal(&self, now: MonotonicTime) -> Option<Renewal> {
        self.lock().lease.begin_renewal(now)
    }

    pub(crate) fn next_renewal(&self) -> MonotonicTime {
        self.lock().lease.next_renewal()
    }

    /// Makes the next renewal due immediately.
    pub(crate) fn make_renewal_due(&self, now: MonotonicTime) {
        self.lock().lease.make_renewal_due(now);
    }

    pub(crate) fn abandon(&self, number: u64) {
        self.lock().lease.abandon(number);
    }

    /// Ends the lease permanently: another process has taken the host's row.
    pub(crate) fn end(&self, context: &HostContext) {
        let mut state = self.lock();
        state.lease.end();
        state.publish(context);
    }

    /// Confirms a renewal.
    ///
    /// Returns `None` without any change if the lease has lapsed and the
    /// host's view of the holders is older than the renewal.
    pub(crate) fn confirm(
        &self,
        context: &HostContext,
        number: u64,
        has_current_holders: bool,
    ) -> Option<Confirmation> {
        let mut state = self.lock();
        let now = context.clock.now();
        if state.lease.standing(now) == Standing::Lapsed && !has_current_holders {
            return None;
        }
        let confirmation = state.lease.confirm(now, number);
        state.publish(context);
        Some(confirmation)
    }

    /// Stores a member set unless a newer one is known. Returns whether the
    /// version is larger than the previous one.
    pub(crate) fn update_members(&self, members: &MemberSet) -> bool {
        let mut state = self.lock();
        let is_newer = members.version() > state.members.version();
        if members.version() >= state.members.version() {
            state.members = members.clone();
        }
        is_newer
    }

    pub(crate) fn members(&self) -> MemberSet {
        self.lock().members.clone()
    }

    pub(crate) fn has_missed_renewals(&self, now: MonotonicTime) -> bool {
        self.lock().lease.has_missed_renewals(now)
    }

    pub(crate) fn is_in_doubt(&self, now: MonotonicTime) -> bool {
        self.lock().lease.is_in_doubt(now)
    }

    pub(crate) fn standing(&self, now: MonotonicTime) -> Standing {
        self.lock().lease.standing(now)
    }

    /// Extends standing and freshness as a member's answer allows.
    pub(crate) fn record_answer(&self, context: &HostContext, answer: &MemberAnswer) {
        let mut state = self.lock();
        let now = context.clock.now();
        // A head that the member read keeps this host fresh too, provided that
        // this host has at least the same configuration version.
        if (1..=context.snapshot.load().version()).contains(&answer.version) {
            let until = answer.sent + answer.fresh_for;
            context.standing.extend_fresh_until(until);
        }
        if !answer.in_doubt {
            state.doubt_reports.remove(&answer.host);
            return;
        }
        state.lease.record_vouch(now, &answer.host, answer.sent);
        let report = DoubtReport {
            sent: answer.sent,
            version: answer.version,
        };
        state.doubt_reports.insert(answer.host.clone(), report);
        let LeaseState { lease, members, .. } = &mut *state;
        lease.extend_by_vouching(now, &context.settings.host, members);
        if let Some(until) = state.fresh_until(context, now) {
            context.standing.extend_fresh_until(until);
        }
        state.publish(context);
    }

    /// Publishes the standing, and records it if it has changed.
    pub(crate) fn publish_standing(&self, context: &HostContext) {
        self.lock().publish(context);
    }

    /// Records that a resource is released. This host must never act on it in
    /// that epoch again.
    pub(crate) fn record_release(&self, resource: &str, epoch: u64) {
        self.lock().released.insert(resource.to_owned(), epoch);
    }

    pub(crate) fn is_released(&self, resource: &str, epoch: u64) -> bool {
        self.lock().released.get(resource) == Some(&epoch)
    }
}

impl LeaseState {
    /// The time until which a majority of members in doubt confirms that there
    /// is no larger version.
    fn fresh_until(&self, context: &HostContext, now: MonotonicTime) -> Option<MonotonicTime> {
        let own_version = context.snapshot.load().version();
        if own_version == 0 {
            return None;
        }
        let mut sent_times: Vec<MonotonicTime> = Vec::new();
        for member in self.members.members() {
            if *member == context.settings.host {
                sent_times.extend(self.lease.is_in_doubt(now).then_some(now));
                continue;
            }
            let Some(report) = self.doubt_reports.get(member) else {
                continue;
            };
            // A host without a configuration does not know that there is no
            // larger version.
            if (1..=own_version).contains(&report.version) {
                sent_times.push(report.sent);
            }
        }
        sent_times.sort_unstable_by_key(|sent| std::cmp::Reverse(*sent));
        let oldest = *sent_times.get(self.members.majority() - 1)?;
        Some(oldest + self.lease.times().vouch)
    }

    fn publish(&mut self, context: &HostContext) {
        let now = context.clock.now();
        context.standing.set_held_until(self.lease.standing_end());
        let standing = self.lease.standing(now);
        let changed = standing != self.published;
        if !changed && self.members.version() == self.published_members {
            return;
        }
        self.published = standing;
        self.published_members = self.members.version();
        let name = match standing {
            Standing::Held => "lease-held",
            Standing::Vouched => "lease-vouched",
            Standing::Lapsed => "lease-lapsed",
        };
        let section = serde_json::json!({
            "standing": name,
            "member_set": self.members.version(),
            "is_member": self.members.contains(&context.settings.host),
        });
        context.status.set("lease", section);
        if changed {
            context.recorder.record(name, &[]);
            slog::info!(context.log, "standing changed"; "standing" => name);
        }
    }
}
