use serde::{Deserialize, Serialize};

/// The hosts whose majorities count, with the earlier sets that hosts may
/// still be using.
///
/// A change retains the previous set until each of its hosts is known to use
/// the new set or to have lapsed. Until then a takeover needs a majority of
/// each set.
///
/// # Example
///
/// ```
/// use mangostep_policy::MemberSet;
///
/// let initial = MemberSet::initial(["h1", "h2", "h3"]);
/// let next = initial.with_changes(&["h4".to_owned()], &["h1".to_owned()]);
/// assert_eq!(next.members(), ["h2", "h3", "h4"]);
/// assert_eq!(next.sets().count(), 2);
/// assert_eq!(next.settled().sets().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSet {
    version: u64,
    members: Vec<String>,
    before: Vec<Vec<String>>,
}

impl MemberSet {
    /// Creates the initial set of a fleet, version 1, from names in any order;
    /// duplicates are removed.
    pub fn initial<'h>(hosts: impl IntoIterator<Item = &'h str>) -> Self {
        let mut members: Vec<String> = hosts.into_iter().map(str::to_owned).collect();
        members.sort_unstable();
        members.dedup();
        MemberSet {
            version: 1,
            members,
            before: Vec::new(),
        }
    }

    /// The version, which grows by one with each change; 0 before the initial
    /// set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The host names of the current set, sorted.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Whether a host belongs to the current set.
    pub fn contains(&self, host: &str) -> bool {
        self.members.iter().any(|member| member == host)
    }

    /// The smallest number of hosts that is more than half of the current
    /// set.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The current set, then the earlier sets that hosts may still be using.
    pub fn sets(&self) -> impl Iterator<Item = &[String]> {
        std::iter::once(self.members.as_slice()).chain(self.before.iter().map(Vec::as_slice))
    }

    /// Whether no host can still be using an earlier set.
    pub fn is_settled(&self) -> bool {
        self.before.is_empty()
    }

    /// The hosts of the earlier sets that may still be in use.
    ///
    /// A host that belongs to several of them is yielded once for each.
    pub fn earlier_members(&self) -> impl Iterator<Item = &str> {
        self.before.iter().flatten().map(String::as_str)
    }

    /// Returns the next set, with hosts added and removed.
    ///
    /// The current set is retained as an earlier one. A host named in both
    /// lists is removed.
    pub fn with_changes(&self, joining: &[String], leaving: &[String]) -> Self {
        let mut before = self.before.clone();
        before.push(self.members.clone());
        let mut members: Vec<String> = self
            .members
            .iter()
            .chain(joining)
            .filter(|host| !leaving.contains(host))
            .cloned()
            .collect();
        members.sort_unstable();
        members.dedup();
        MemberSet {
            version: self.version + 1,
            members,
            before,
        }
    }

    /// Returns the same set, of the same version, without earlier sets.
    ///
    /// This is safe once every host of those sets uses this set or has
    /// lapsed.
    pub fn settled(&self) -> Self {
        MemberSet {
            before: Vec::new(),
            ..self.clone()
        }
    }

    /// Returns the next set without hosts that an operator declares
    /// permanently dead.
    ///
    /// They are removed from the earlier sets too, so the remaining hosts can
    /// continue even if the dead hosts were the majority. This is safe only
    /// if those hosts are in fact dead.
    pub fn without_dead(&self, dead: &[String]) -> Self {
        let keep = |set: &Vec<String>| -> Vec<String> {
            set.iter()
                .filter(|host| !dead.contains(host))
                .cloned()
                .collect()
        };
        let mut before: Vec<Vec<String>> = self.before.iter().map(keep).collect();
        before.retain(|set| !set.is_empty());
        MemberSet {
            version: self.version + 1,
            members: keep(&self.members),
            before,
        }
    }
}
