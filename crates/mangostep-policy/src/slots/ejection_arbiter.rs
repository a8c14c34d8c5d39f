use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::MonotonicTime;

/// How far ejections may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArbiterSettings {
    /// Backend servers that stay in use, over all availability zones.
    pub floor: usize,
    /// Longest time that one grant holds.
    pub hold_max: Duration,
}

impl Default for ArbiterSettings {
    fn default() -> Self {
        ArbiterSettings {
            floor: 1,
            hold_max: Duration::from_secs(30),
        }
    }
}

/// Grants ejections of one service over all its availability zones.
///
/// Ejections and servers that are gone for other reasons together never take
/// the servers in use below the floor. A grant ends by itself, so a slot
/// keeper that dies takes no server with it. A new arbiter does not know what
/// the one before it granted, and grants nothing until that has run out.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{EjectionArbiter, ArbiterSettings, MonotonicTime};
///
/// let settings = ArbiterSettings { floor: 2, ..Default::default() };
/// let mut arbiter = EjectionArbiter::new(settings);
/// let now = MonotonicTime::ZERO;
/// arbiter.set_servers(["s1", "s2", "s3"]);
/// let hold = Duration::from_secs(5);
/// assert!(arbiter.eject(now, "s1", hold));
/// assert!(!arbiter.eject(now, "s2", hold));
/// assert!(arbiter.eject(now + hold, "s2", hold));
/// ```
#[derive(Clone, Debug)]
pub struct EjectionArbiter {
    settings: ArbiterSettings,
    grants_from: MonotonicTime,
    servers: BTreeSet<String>,
    /// Ends of ejections. One outlives its server's absence from the list,
    /// since its keeper may read another list.
    ejections: BTreeMap<String, MonotonicTime>,
}

impl EjectionArbiter {
    /// Opens the first arbiter of a service.
    pub fn new(settings: ArbiterSettings) -> Self {
        EjectionArbiter {
            settings,
            grants_from: MonotonicTime::ZERO,
            servers: BTreeSet::new(),
            ejections: BTreeMap::new(),
        }
    }

    /// Opens an arbiter that follows one whose grants are unknown.
    pub fn after_takeover(now: MonotonicTime, settings: ArbiterSettings) -> Self {
        EjectionArbiter {
            grants_from: now + settings.hold_max,
            ..EjectionArbiter::new(settings)
        }
    }

    /// Takes over a new floor.
    pub fn set_floor(&mut self, floor: usize) {
        self.settings.floor = floor;
    }

    /// Takes over the names of the servers that could be in use: live by the
    /// directory, in an availability zone that takes work.
    pub fn set_servers<'s>(&mut self, names: impl IntoIterator<Item = &'s str>) {
        self.servers = names.into_iter().map(str::to_owned).collect();
    }

    /// Grants one ejection, or the renewal of one, if the floor allows it.
    ///
    /// It holds for `hold`, at most [`ArbiterSettings::hold_max`], from `now`.
    pub fn eject(&mut self, now: MonotonicTime, server: &str, hold: Duration) -> bool {
        if now < self.grants_from || hold > self.settings.hold_max {
            return false;
        }
        self.ejections.retain(|_, end| *end > now);
        let others = self.servers.iter();
        let in_use = others
            .filter(|name| name.as_str() != server && !self.ejections.contains_key(*name))
            .count();
        if in_use < self.settings.floor || !self.servers.contains(server) {
            return false;
        }
        let end = self.ejections.entry(server.to_owned()).or_default();
        *end = (*end).max(now + hold);
        true
    }

    /// Servers that are ejected at `now`.
    pub fn ejected(&self, now: MonotonicTime) -> usize {
        self.ejections.values().filter(|end| **end > now).count()
    }
}
