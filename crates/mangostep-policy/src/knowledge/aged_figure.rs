use std::time::Duration;

use crate::{MonotonicTime, PeerKey};

/// Origin of an [`AgedFigure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FigureSource {
    /// This host observed the value itself.
    Own,
    /// A peer host reported the value.
    Peer(PeerKey),
    /// The value was read from the platform's store.
    Store,
    /// A backend server stated the value about itself.
    Server,
}

/// Ages that decide what a figure may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeBounds {
    /// Age up to which the value is used as it is.
    pub fresh: Duration,
    /// Age from which on the value is treated as unknown.
    pub expired: Duration,
}

/// Classification of a figure by its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FigureAge {
    /// The value is used as it is.
    Fresh,
    /// The value is corrected for what has probably happened since.
    Old,
    /// The value is unknown.
    Expired,
}

/// A value that a host acts on, with the time at which it was true.
///
/// Hosts decide on information that is late and may be wrong. The type keeps
/// the age next to the value, so that each decision states the age up to which
/// it relies on the value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedFigure<T> {
    value: T,
    observed: MonotonicTime,
    source: FigureSource,
}

impl<T> AgedFigure<T> {
    /// Creates a figure that was true at `observed`.
    pub fn new(value: T, observed: MonotonicTime, source: FigureSource) -> Self {
        AgedFigure {
            value,
            observed,
            source,
        }
    }

    /// The value, whatever its age.
    pub fn value(&self) -> &T {
        &self.value
    }

    /// When the value was true.
    pub fn observed(&self) -> MonotonicTime {
        self.observed
    }

    /// Where the value is from.
    pub fn source(&self) -> FigureSource {
        self.source
    }

    /// Time since the value was true.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.observed)
    }

    /// Classifies the figure by its age.
    pub fn classify(&self, bounds: AgeBounds, now: MonotonicTime) -> FigureAge {
        match self.age(now) {
            age if age <= bounds.fresh => FigureAge::Fresh,
            age if age < bounds.expired => FigureAge::Old,
            _ => FigureAge::Expired,
        }
    }

    /// The value, unless it has expired.
    pub fn unless_expired(&self, bounds: AgeBounds, now: MonotonicTime) -> Option<&T> {
        (self.classify(bounds, now) != FigureAge::Expired).then_some(&self.value)
    }

    /// Replaces the figure by another one that was true later. Returns whether
    /// it was replaced.
    pub fn update(&mut self, other: Self) -> bool {
        let is_later = other.observed > self.observed;
        if is_later {
            *self = other;
        }
        is_later
    }
}

impl AgedFigure<f64> {
    /// The value after it has decayed exponentially to `resting` with the given
    /// time constant.
    pub fn decayed(&self, resting: f64, time_constant: Duration, now: MonotonicTime) -> f64 {
        let decays = self.age(now).as_secs_f64() / time_constant.as_secs_f64();
        resting + (self.value - resting) * (-decays).exp()
    }
}
