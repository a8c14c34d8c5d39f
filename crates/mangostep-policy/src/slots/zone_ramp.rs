use std::time::Duration;

use mangostep_objects::ZoneState;

use crate::MonotonicTime;

/// Raises the capacity of an availability zone linearly after it returns to
/// service.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_objects::ZoneState;
/// use mangostep_policy::{MonotonicTime, ZoneRamp};
///
/// let second = |s| MonotonicTime::ZERO + Duration::from_secs(s);
/// let mut ramp = ZoneRamp::new(ZoneState::In);
/// assert_eq!(ramp.share(second(0)), 1.0);
/// ramp.set_state(second(1), ZoneState::Out, Duration::from_secs(10));
/// assert_eq!(ramp.share(second(2)), 0.0);
/// ramp.set_state(second(3), ZoneState::In, Duration::from_secs(10));
/// assert_eq!(ramp.share(second(8)), 0.5);
/// assert_eq!(ramp.share(second(13)), 1.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ZoneRamp {
    state: ZoneState,
    /// Start and length of the ramp after the latest return to service.
    returned: Option<(MonotonicTime, Duration)>,
}

impl ZoneRamp {
    /// Starts in `state`; a zone in service has its full capacity at once.
    pub fn new(state: ZoneState) -> Self {
        ZoneRamp {
            state,
            returned: None,
        }
    }

    /// Sets the state from `now` on.
    ///
    /// A return to service ramps up over `return_ramp`.
    pub fn set_state(&mut self, now: MonotonicTime, state: ZoneState, return_ramp: Duration) {
        if self.state == ZoneState::Out && state == ZoneState::In {
            self.returned = Some((now, return_ramp));
        }
        self.state = state;
    }

    /// Whether the zone is out of service.
    pub fn is_out(&self) -> bool {
        self.state == ZoneState::Out
    }

    /// The share of the zone's slots that may be used at `now`, 0 to 1.
    pub fn share(&self, now: MonotonicTime) -> f64 {
        match (self.state, self.returned) {
            (ZoneState::Out, _) => 0.0,
            (ZoneState::In, None) => 1.0,
            (ZoneState::In, Some((since, ramp))) if ramp.is_zero() || now >= since + ramp => 1.0,
            (ZoneState::In, Some((since, ramp))) => {
                now.since(since).as_secs_f64() / ramp.as_secs_f64()
            }
        }
    }
}
