use serde::{Deserialize, Serialize};

/// The hosts whose majorities count, with the sets that hosts may still go
/// by.
///
/// A change keeps the set before it until every host of it is known to go by
/// the new one or to have lapsed; until then a take needs a majority of each.
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
    /// The first set of a fleet.
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

    /// Grows by one with each change; 0 before the first set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The names of the hosts, sorted.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Whether a host belongs to the set.
    pub fn contains(&self, host: &str) -> bool {
        self.members.iter().any(|member| member == host)
    }

    /// The least number of hosts that is more than half.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The set itself and all sets that hosts may still go by.
    pub fn sets(&self) -> impl Iterator<Item = &[String]> {
        std::iter::once(self.members.as_slice()).chain(self.before.iter().map(Vec::as_slice))
    }

    /// Whether no host goes by an earlier set.
    pub fn is_settled(&self) -> bool {
        self.before.is_empty()
    }

    /// The hosts that may still go by an earlier set.
    pub fn earlier_members(&self) -> impl Iterator<Item = &str> {
        self.before.iter().flatten().map(String::as_str)
    }

    /// The next set, with hosts that join and hosts that leave.
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

    /// The same set once every host goes by it.
    pub fn settled(&self) -> Self {
        MemberSet {
            before: Vec::new(),
            ..self.clone()
        }
    }

    /// The next set without hosts that an operator declares dead for good.
    ///
    /// They count in no earlier set either, so the rest can go on although
    /// they were the majority. It is only safe when they really are dead.
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
