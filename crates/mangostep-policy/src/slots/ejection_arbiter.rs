use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::MonotonicTime;

/// Limits on the ejections of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArbiterSettings {
    /// Least number of backend servers in use over all availability zones.
    pub floor: usize,
    /// Longest duration of one grant.
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

/// Grants the ejections of one service over all its availability zones.
///
/// Ejections together with servers missing for other reasons never reduce the
/// servers in use below the floor. A grant expires, so that a crash of its slot
/// keeper leaves no server ejected. A new arbiter does not know the grants of
/// its predecessor, and grants nothing until they have expired.
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
    no_grants_before: MonotonicTime,
    servers: BTreeSet<String>,
    /// End of each granted ejection. It is kept while the server is missing
    /// from the list, since its slot keeper may read a different list.
    ejections: BTreeMap<String, MonotonicTime>,
}

impl EjectionArbiter {
    /// Creates the first arbiter of a service; it may grant at once.
    pub fn new(settings: ArbiterSettings) -> Self {
        EjectionArbiter {
            settings,
            no_grants_before: MonotonicTime::ZERO,
            servers: BTreeSet::new(),
            ejections: BTreeMap::new(),
        }
    }

    /// Creates an arbiter that takes over from one whose grants are unknown.
    ///
    /// It grants nothing for [`ArbiterSettings::hold_max`] from `now`.
    pub fn after_takeover(now: MonotonicTime, settings: ArbiterSettings) -> Self {
        EjectionArbiter {
            no_grants_before: now + settings.hold_max,
            ..EjectionArbiter::new(settings)
        }
    }

    /// Changes the floor; grants already made keep their ends.
    pub fn set_floor(&mut self, floor: usize) {
        self.settings.floor = floor;
    }

    /// Sets the names of the servers that could be in use: listed as live by
    /// the directory, in an availability zone that is in service.
    pub fn set_servers<'s>(&mut self, names: impl IntoIterator<Item = &'s str>) {
        self.servers = names.into_iter().map(str::to_owned).collect();
    }

    /// Grants or renews an ejection if the floor allows it.
    ///
    /// The ejection lasts for `hold` from `now`. A `hold` longer than
    /// [`ArbiterSettings::hold_max`] is not granted.
    pub fn eject(&mut self, now: MonotonicTime, server: &str, hold: Duration) -> bool {
        if now < self.no_grants_before || hold > self.settings.hold_max {
            return false;
        }
        self.ejections.retain(|_, end| *end > now);
        let servers = self.servers.iter();
        let in_use = servers
            .filter(|name| name.as_str() != server && !self.ejections.contains_key(*name))
            .count();
        if in_use < self.settings.floor || !self.servers.contains(server) {
            return false;
        }
        let end = self.ejections.entry(server.to_owned()).or_default();
        *end = (*end).max(now + hold);
        true
    }

    /// Number of servers that are ejected at `now`.
    pub fn ejected(&self, now: MonotonicTime) -> usize {
        self.ejections.values().filter(|end| **end > now).count()
    }
}
