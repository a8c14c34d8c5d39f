use crate::rollout::RolloutStep;

/// Servers of a service by their software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// Servers of any version.
    Any,
    /// Servers of any version but the target.
    Old,
    /// Servers of the target version.
    New,
}

/// What a host applies of a [`RolloutStep`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exposure {
    /// The new version gets this share of the requests.
    Share(f64),
    /// The new version gets what it can take, the old one the rest.
    Preferred,
    /// Only the new version gets requests.
    Only,
}

impl Exposure {
    /// The exposure of a step that is recent enough.
    pub fn of(step: RolloutStep) -> Self {
        match step {
            RolloutStep::Held | RolloutStep::Trial(_) | RolloutStep::RolledBack => {
                Exposure::Share(step.share())
            }
            RolloutStep::Full => Exposure::Preferred,
            RolloutStep::Draining | RolloutStep::Completed => Exposure::Only,
        }
    }
}

/// Largest credit, so that requests that the new version could not take are not
/// made up for.
const CREDIT_MAX: f64 = 1.0;

/// Limits the requests of one host to the new version of a service.
///
/// Each request adds the share to the host's credit, each request to the new
/// version takes one. So the host keeps the share of its own requests whatever
/// the others do.
#[derive(Clone, Debug)]
pub struct VersionGate {
    target: String,
    exposure: Exposure,
    credit: f64,
    old_sent: u64,
    new_sent: u64,
}

impl VersionGate {
    /// Creates a gate that sends nothing to the target. `phase` is a random
    /// number from 0 to 1, by which the hosts' first requests to the new version
    /// are spread.
    pub fn open(target: &str, phase: f64) -> Self {
        VersionGate {
            target: target.to_owned(),
            exposure: Exposure::Share(0.0),
            credit: -phase.clamp(0.0, 1.0),
            old_sent: 0,
            new_sent: 0,
        }
    }

    /// Software version that the service moves to.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Applies another exposure. Returns whether it differs from the last.
    pub fn set_exposure(&mut self, exposure: Exposure) -> bool {
        std::mem::replace(&mut self.exposure, exposure) != exposure
    }

    /// Requests sent to the old and to the new version.
    pub fn sent(&self) -> (u64, u64) {
        (self.old_sent, self.new_sent)
    }

    /// Records that a request is sent to a server of the given version.
    pub fn record_start(&mut self, version: &str) {
        let is_new = version == self.target;
        if let Exposure::Share(share) = self.exposure {
            self.credit = (self.credit + share).min(CREDIT_MAX);
            if is_new {
                self.credit -= 1.0;
            }
        }
        match is_new {
            true => self.new_sent += 1,
            false => self.old_sent += 1,
        }
    }

    /// Servers that a request is offered to, the first ones first.
    ///
    /// A repeated request goes to the old version as long as the new one is on
    /// trial.
    pub fn sides(&self, is_repeat: bool) -> (VersionSide, Option<VersionSide>) {
        match self.exposure {
            Exposure::Share(share) if share > 0.0 && self.credit >= 0.0 && !is_repeat => {
                (VersionSide::New, Some(VersionSide::Old))
            }
            Exposure::Share(_) => (VersionSide::Old, None),
            Exposure::Preferred => (VersionSide::New, Some(VersionSide::Old)),
            Exposure::Only => (VersionSide::New, None),
        }
    }

    /// Whether a server of the given version belongs to a side.
    pub fn is_on(&self, side: VersionSide, version: &str) -> bool {
        match side {
            VersionSide::Any => true,
            VersionSide::Old => version != self.target,
            VersionSide::New => version == self.target,
        }
    }
}
