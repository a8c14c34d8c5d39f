use crate::balance::BalanceSettings;

/// How likely a server is to fail, in steps that are coarse enough for the
/// load to decide among servers that are equally likely to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FailureClass {
    /// Recent requests succeeded.
    Sound,
    /// Too little is known, or the last request failed.
    Unproven,
    /// The server probably fails.
    Suspected,
}

impl FailureClass {
    /// Classifies a server by its failure probability and by its number of
    /// failures since the last success.
    pub(crate) fn of(chance: f64, streak: u32, settings: &BalanceSettings) -> Self {
        match chance {
            chance if chance > settings.unproven_chance => FailureClass::Suspected,
            chance if chance > settings.sound_chance || streak > 0 => FailureClass::Unproven,
            _ => FailureClass::Sound,
        }
    }

    /// Failure probability that counts for a server of the class.
    pub(crate) fn chance(self, chance: f64, settings: &BalanceSettings) -> f64 {
        match self {
            FailureClass::Sound => 0.0,
            FailureClass::Unproven => settings.unproven_chance,
            FailureClass::Suspected => chance,
        }
    }
}
