use crate::MonotonicTime;

/// A state machine that takes events and returns actions.
///
/// Time never runs backwards between two calls. A machine whose next action
/// is due at a known time says so by [`Machine::next_wake`]; the caller then
/// passes a tick of the machine's own event type.
pub trait Machine {
    /// What happens to the machine.
    type Event;
    /// What the caller carries out.
    type Action;

    /// Takes one event and appends the actions that follow from it.
    fn apply(&mut self, now: MonotonicTime, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// When the machine wants a tick, if nothing happens before.
    fn next_wake(&self) -> Option<MonotonicTime> {
        None
    }
}
