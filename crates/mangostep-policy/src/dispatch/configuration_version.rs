use std::cmp::Ordering;

/// Version of an operator's configuration that a host read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationVersion {
    /// Era of the store in which the configuration was read.
    pub era: u64,
    /// Number that the operator gave the configuration.
    pub number: u64,
}

impl ConfigurationVersion {
    /// Whether a configuration is put in force in place of `in_force`.
    ///
    /// Within an era, numbers increase. In a new era, the operator may write a
    /// configuration again under any number. `is_outdated` states that the store
    /// has lost a later write of the row and has not been written to since: such
    /// a row is in force only if its number is larger.
    pub fn replaces(&self, in_force: Self, is_outdated: bool) -> bool {
        match self.era.cmp(&in_force.era) {
            Ordering::Less => false,
            Ordering::Equal => self.number > in_force.number,
            Ordering::Greater => !is_outdated || self.number > in_force.number,
        }
    }
}
