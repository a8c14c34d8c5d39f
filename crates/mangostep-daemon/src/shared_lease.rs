use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use mangostep_policy::{Confirmation, HostLease, LeaseTimes, MemberSet, Renewal, Standing};

use crate::prelude::*;

/// The host's lease, shared by the store thread, which renews it, and the
/// peer thread, which has it vouched for.
///
/// Nothing on the path of a request takes its lock: requests read
/// [`crate::context::HostStanding`], which this keeps up to date.
#[derive(Debug)]
pub(crate) struct SharedLease {
    state: Mutex<LeaseState>,
}

#[derive(Debug)]
struct LeaseState {
    lease: HostLease,
    members: MemberSet,
    /// Resources that this host gave away, by the epoch it held them under.
    given: HashMap<String, u64>,
    /// What the hosts said that are in doubt, by their names.
    doubters: HashMap<String, Doubter>,
    shown: Standing,
    /// Version of the member set that operators are shown.
    shown_members: u64,
}

#[derive(Clone, Copy, Debug)]
struct Doubter {
    asked: MonotonicTime,
    version: u64,
}

/// What a member answered to a request to vouch.
#[derive(Clone, Debug)]
pub(crate) struct MemberAnswer {
    pub(crate) host: String,
    pub(crate) asked: MonotonicTime,
    pub(crate) in_doubt: bool,
    pub(crate) version: u64,
    /// How long a head that the member read itself keeps it fresh.
    pub(crate) fresh_for: Duration,
}

impl SharedLease {
    pub(crate) fn new(times: LeaseTimes, started: MonotonicTime) -> Self {
        let state = LeaseState {
            lease: HostLease::new(times, started),
            members: MemberSet::default(),
            given: HashMap::new(),
            doubters: HashMap::new(),
            shown: Standing::Lapsed,
            shown_members: 0,
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

    /// Makes the next renewal due at once.
    pub(crate) fn hasten(&self, now: MonotonicTime) {
        self.lock().lease.make_renewal_due(now);
    }

    pub(crate) fn abandon(&self, number: u64) {
        self.lock().lease.abandon(number);
    }

    /// Ends the lease for good: another process has the host's row.
    pub(crate) fn end(&self, context: &HostContext) {
        let mut state = self.lock();
        state.lease.end();
        state.show(context);
    }

    /// Confirms a renewal.
    ///
    /// Returns nothing, and changes nothing, when the host has lapsed and its
    /// view of the holders is older than the renewal.
    pub(crate) fn confirm(
        &self,
        context: &HostContext,
        number: u64,
        holders_are_current: bool,
    ) -> Option<Confirmation> {
        let mut state = self.lock();
        let now = context.clock.now();
        if state.lease.standing(now) == Standing::Lapsed && !holders_are_current {
            return None;
        }
        let confirmation = state.lease.confirm(now, number);
        state.show(context);
        Some(confirmation)
    }

    /// Takes note of a member set; older ones are passed over.
    pub(crate) fn learn_members(&self, members: &MemberSet) -> bool {
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

    pub(crate) fn is_unsure(&self, now: MonotonicTime) -> bool {
        self.lock().lease.has_missed_renewals(now)
    }

    pub(crate) fn is_in_doubt(&self, now: MonotonicTime) -> bool {
        self.lock().lease.is_in_doubt(now)
    }

    pub(crate) fn standing(&self, now: MonotonicTime) -> Standing {
        self.lock().lease.standing(now)
    }

    /// Takes a member's answer and extends standing and freshness by it.
    pub(crate) fn take_answer(&self, context: &HostContext, answer: &MemberAnswer) {
        let mut state = self.lock();
        let now = context.clock.now();
        // What the member read is as good as if this host had read it.
        if (1..=context.snapshot.load().version()).contains(&answer.version) {
            let until = answer.asked + answer.fresh_for;
            context.standing.extend_fresh_until(until);
        }
        if !answer.in_doubt {
            state.doubters.remove(&answer.host);
            return;
        }
        state.lease.record_vouch(now, &answer.host, answer.asked);
        let doubter = Doubter {
            asked: answer.asked,
            version: answer.version,
        };
        state.doubters.insert(answer.host.clone(), doubter);
        let LeaseState { lease, members, .. } = &mut *state;
        lease.extend_by_vouching(now, &context.settings.host, members);
        if let Some(until) = state.fresh_until(context, now) {
            context.standing.extend_fresh_until(until);
        }
        state.show(context);
    }

    /// Records a change of standing since the last look.
    pub(crate) fn look(&self, context: &HostContext) {
        self.lock().show(context);
    }

    /// Notes that a resource is given away; it is never acted on again under
    /// that epoch.
    pub(crate) fn give(&self, resource: &str, epoch: u64) {
        self.lock().given.insert(resource.to_owned(), epoch);
    }

    pub(crate) fn is_given(&self, resource: &str, epoch: u64) -> bool {
        self.lock().given.get(resource) == Some(&epoch)
    }
}

impl LeaseState {
    /// Until when a majority of members in doubt knows no larger version.
    fn fresh_until(&self, context: &HostContext, now: MonotonicTime) -> Option<MonotonicTime> {
        let own_version = context.snapshot.load().version();
        if own_version == 0 {
            return None;
        }
        let mut askings: Vec<MonotonicTime> = Vec::new();
        for member in self.members.members() {
            if *member == context.settings.host {
                askings.extend(self.lease.is_in_doubt(now).then_some(now));
                continue;
            }
            let Some(doubter) = self.doubters.get(member) else {
                continue;
            };
            // A host without a configuration cannot say that none is larger.
            if (1..=own_version).contains(&doubter.version) {
                askings.push(doubter.asked);
            }
        }
        askings.sort_unstable_by_key(|asked| std::cmp::Reverse(*asked));
        let oldest = *askings.get(self.members.majority() - 1)?;
        Some(oldest + self.lease.times().vouch)
    }

    fn show(&mut self, context: &HostContext) {
        let now = context.clock.now();
        context.standing.set_held_until(self.lease.standing_end());
        let standing = self.lease.standing(now);
        let changed = standing != self.shown;
        if !changed && self.members.version() == self.shown_members {
            return;
        }
        self.shown = standing;
        self.shown_members = self.members.version();
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
