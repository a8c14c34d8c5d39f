//! The software versions of a service's servers during a roll-out.

use std::time::Duration;

use crate::{
    Exposure, MonotonicTime, VersionGate, VersionSide,
    dispatch::{ChoiceRequest, ServerKey, ServerPool, server_pool::ServerRecord},
};

/// Belief from which on a server counts as suspected: its failures say more
/// about the server than about its version.
const SUSPECTED_BELIEF: f64 = 0.5;

/// Share of suspected servers of a version from which on their failures are
/// those of the version.
const SUSPECTED_SHARE_MAX: f64 = 0.6;

/// Age of the last outcome from which on the state of a server is not known.
/// Servers fail for seconds.
const OUTCOME_TTL: Duration = Duration::from_secs(1);

/// What hosts knew of a server before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// It succeeded shortly before.
    Succeeding,
    /// Its state was not known.
    Untried,
    /// It failed shortly before.
    Suspected,
}

impl ServerPool {
    /// Limits the requests to one software version of a service, until
    /// [`ServerPool::remove_gate`].
    pub fn put_gate(&mut self, service: &str, gate: VersionGate) {
        self.gates.insert(service.to_owned(), gate);
    }

    /// Ends the limit of a service.
    pub fn remove_gate(&mut self, service: &str) {
        self.gates.remove(service);
    }

    /// Applies another exposure to a service's gate. Returns whether it differs
    /// from the last.
    pub fn set_exposure(&mut self, service: &str, exposure: Exposure) -> bool {
        let gate = self.gates.get_mut(service);
        gate.is_some_and(|gate| gate.set_exposure(exposure))
    }

    /// The gate of a service that moves to another version.
    pub fn gate(&self, service: &str) -> Option<&VersionGate> {
        self.gates.get(service)
    }

    /// Whether a server runs the version that its service moves to. `None`
    /// without a roll-out.
    pub fn is_target(&self, key: ServerKey) -> Option<bool> {
        let entry = self.entry(key)?;
        let gate = self.gates.get(&entry.service)?;
        Some(gate.is_on(VersionSide::New, &entry.version))
    }

    /// Whether a server of the version that a service moves to accepts requests.
    pub fn has_target(&self, service: &str, now: MonotonicTime) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut targets = keys.filter(|key| self.is_target(**key) == Some(true));
        targets.any(|key| self.accepts_work(*key, now))
    }

    /// This host's requests in flight at the old version of a service.
    pub fn old_in_flight(&self, service: &str) -> u32 {
        let keys = self.by_service.get(service).into_iter().flatten();
        let old = keys.filter(|key| self.is_target(**key) == Some(false));
        old.map(|key| self.own_in_flight(*key)).sum()
    }

    /// What is known of a server to which a request is sent now. If most servers
    /// of a version are suspected, that is the version's fault, and they count as
    /// untried.
    pub fn standing(&self, key: ServerKey, now: MonotonicTime) -> ServerStanding {
        let Some(record) = self.servers.get(key) else {
            return ServerStanding::Suspected;
        };
        if !self.is_suspected(record, now) {
            let belief = record.evidence.belief(&self.settings.evidence, now);
            let last = record.evidence.last_outcome();
            let is_recent = last.is_some_and(|at| now.since(at) < OUTCOME_TTL);
            return match is_recent && belief < self.settings.likely_healthy_belief {
                true => ServerStanding::Succeeding,
                false => ServerStanding::Untried,
            };
        }
        let keys = self.by_service.get(&record.entry.service);
        let others = keys.into_iter().flatten();
        let (mut suspected, mut all) = (0_u32, 0_u32);
        for other in others.filter_map(|key| self.servers.get(*key)) {
            if other.entry.version == record.entry.version {
                all += 1;
                suspected += u32::from(self.is_suspected(other, now));
            }
        }
        match f64::from(suspected) > f64::from(all) * SUSPECTED_SHARE_MAX {
            true => ServerStanding::Untried,
            false => ServerStanding::Suspected,
        }
    }

    fn is_suspected(&self, record: &ServerRecord, now: MonotonicTime) -> bool {
        let shared = record.evidence.belief(&self.settings.evidence, now);
        let own = record.own_path.belief(&self.settings.own_path, now);
        shared.max(own) >= SUSPECTED_BELIEF
    }

    /// Versions whose servers a request is offered to, in order.
    pub(super) fn version_sides(
        &self,
        request: ChoiceRequest<'_>,
    ) -> (VersionSide, Option<VersionSide>) {
        match self.gates.get(request.service) {
            Some(gate) => gate.sides(!request.tried.is_empty()),
            None => (VersionSide::Any, None),
        }
    }

    pub(super) fn is_on_side(&self, key: ServerKey, side: VersionSide) -> bool {
        if side == VersionSide::Any {
            return true;
        }
        let Some(entry) = self.entry(key) else {
            return false;
        };
        let gate = self.gates.get(&entry.service);
        gate.is_none_or(|gate| gate.is_on(side, &entry.version))
    }
}
