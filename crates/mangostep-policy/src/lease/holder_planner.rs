use crate::rendezvous_order;

/// A live host that is eligible to hold resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveHost {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Identifies the host's process, by its start.
    pub incarnation: u64,
    /// Availability zone of the host.
    pub zone: String,
}

/// Decides which host should hold which resource.
///
/// Hosts that see the same live hosts reach the same decisions. A shard has
/// three homes, each in its own availability zone; with fewer than three
/// zones, the other homes are further hosts of any zone.
///
/// # Example
///
/// ```
/// use mangostep_policy::{HolderPlanner, LiveHost};
///
/// let host = |name: &str, zone: &str| LiveHost {
///     name: name.into(),
///     incarnation: 1,
///     zone: zone.into(),
/// };
/// let live = [host("h1", "a"), host("h2", "b"), host("h3", "c")];
/// let planner = HolderPlanner::new(&live);
/// let homes = planner.shard_homes(7);
/// assert_eq!(homes.map(|home| home.unwrap().zone.as_str()), ["a", "b", "c"]);
/// assert_eq!(planner.cell_keeper("ledger", "b").unwrap().name, "h2");
/// ```
#[derive(Clone, Debug)]
pub struct HolderPlanner<'h> {
    live: &'h [LiveHost],
    zones: Vec<&'h str>,
}

/// Number of shards over which workspaces are distributed.
pub const SHARD_COUNT: u16 = 64;

/// Number of limit homes of one shard.
pub const HOMES_PER_SHARD: usize = 3;

impl<'h> HolderPlanner<'h> {
    /// Creates a planner over the hosts that are currently live.
    pub fn new(live: &'h [LiveHost]) -> Self {
        let mut zones: Vec<&str> = live.iter().map(|host| host.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        HolderPlanner { live, zones }
    }

    /// The host that should hold a resource.
    ///
    /// Resource names are `shard/<n>/<k>` and `cell/<service>/<zone>`. Returns
    /// `None` for a name of another kind, or if no host is live.
    pub fn holder(&self, resource: &str) -> Option<&'h LiveHost> {
        let mut parts = resource.split('/');
        match (parts.next()?, parts.next()?, parts.next()?) {
            ("shard", shard, home) => {
                let home: usize = home.parse().ok()?;
                *self.shard_homes(shard.parse().ok()?).get(home)?
            }
            ("cell", service, zone) => self.cell_keeper(service, zone),
            _ => None,
        }
    }

    /// The homes of a shard, all `None` if no host is live.
    ///
    /// Homes are distinct hosts unless fewer than three hosts are live.
    pub fn shard_homes(&self, shard: u16) -> [Option<&'h LiveHost>; HOMES_PER_SHARD] {
        let zones = self.shard_zones(shard);
        let mut homes: [Option<&LiveHost>; HOMES_PER_SHARD] = [None; HOMES_PER_SHARD];
        for home in 0..HOMES_PER_SHARD {
            let resource = shard_name(shard, home);
            let is_free = |host: &LiveHost| !homes.iter().flatten().any(|h| h.name == host.name);
            let in_zone = |host: &LiveHost| zones.get(home).is_some_and(|zone| host.zone == *zone);
            homes[home] = self
                .first_eligible(&resource, |host| in_zone(host) && is_free(host))
                .or_else(|| self.first_eligible(&resource, is_free))
                .or_else(|| self.first_eligible(&resource, |_| true));
        }
        homes
    }

    fn shard_zones(&self, shard: u16) -> Vec<&'h str> {
        if self.zones.len() <= HOMES_PER_SHARD {
            return self.zones.clone();
        }
        let mut zones = rendezvous_order(&format!("shard/{shard}"), self.zones.iter().copied());
        zones.truncate(HOMES_PER_SHARD);
        zones.sort_unstable();
        zones
    }

    /// The slot keeper of a service's cell in an availability zone.
    ///
    /// It is a host of that zone, or of any zone if that zone has none.
    pub fn cell_keeper(&self, service: &str, zone: &str) -> Option<&'h LiveHost> {
        let resource = cell_name(service, zone);
        self.first_eligible(&resource, |host| host.zone == zone)
            .or_else(|| self.first_eligible(&resource, |_| true))
    }

    fn first_eligible(
        &self,
        resource: &str,
        is_eligible: impl Fn(&LiveHost) -> bool,
    ) -> Option<&'h LiveHost> {
        let eligible = self.live.iter().filter(|host| is_eligible(host));
        let order = rendezvous_order(resource, eligible.map(|host| host.name.as_str()));
        let name = order.first()?;
        self.live.iter().find(|host| host.name == *name)
    }
}

/// The resource name of one home of a shard.
pub fn shard_name(shard: u16, home: usize) -> String {
    format!("shard/{shard}/{home}")
}

/// The resource name of a service's cell in an availability zone.
pub fn cell_name(service: &str, zone: &str) -> String {
    format!("cell/{service}/{zone}")
}
