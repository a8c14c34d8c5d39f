use crate::MonotonicTime;

/// A state machine that takes events and returns actions.
///
/// The `now` of successive calls never decreases. A machine whose next action
/// is due at a known time returns it from [`Machine::next_wake`]; at that time
/// the caller passes the tick event of the machine's event type.
pub trait Machine {
    /// An input of the machine.
    type Event;
    /// An output of the machine, carried out by the caller.
    type Action;

    /// Processes one event and appends the resulting actions.
    fn apply(&mut self, now: MonotonicTime, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// The time of the next tick, unless another event comes first; `None` if
    /// no tick is needed.
    fn next_wake(&self) -> Option<MonotonicTime> {
        None
    }
}
