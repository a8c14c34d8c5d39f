use std::cell::Cell;

use mangostep_policy::{ServerKey, ServerPool, ServerSignal, SignalScope};

use crate::{
    belief::{ShiftCause, log_shift},
    clock, peers,
    prelude::*,
};

/// A request at a backend server, counted from its sending to its end, also
/// when the caller leaves midway.
pub(crate) struct RunningRequest {
    context: Rc<HostContext>,
    key: ServerKey,
    sent: MonotonicTime,
    /// The hosts that learn of it.
    reach: SignalScope,
    /// Whether it took too long, which was told then.
    has_stalled: Cell<bool>,
    is_told: bool,
}

impl RunningRequest {
    pub(crate) fn open(context: &Rc<HostContext>, key: ServerKey) -> Self {
        let now = clock::now();
        let mut pool = context.pool.borrow_mut();
        pool.start(key, now);
        let reach = pool.signal_scope(key, &context.settings.zone, now);
        drop(pool);
        peers::tell_signal(context, key, None, now, reach);
        RunningRequest {
            context: Rc::clone(context),
            key,
            sent: now,
            reach,
            has_stalled: Cell::new(false),
            is_told: false,
        }
    }

    /// Takes note that the request should have ended by now.
    pub(crate) fn note_stall(&self) {
        let now = clock::now();
        self.has_stalled.set(true);
        let mut pool = self.context.pool.borrow_mut();
        self.note(&mut pool, ServerSignal::Stall, now);
        drop(pool);
        let signal = Some(ServerSignal::Stall);
        peers::tell_signal(&self.context, self.key, signal, self.sent, self.reach);
    }

    fn note(&self, pool: &mut ServerPool, signal: ServerSignal, now: MonotonicTime) {
        let shift = pool.record_own_outcome(self.key, signal, self.sent, now);
        let cause = ShiftCause {
            signal,
            age: now.since(self.sent),
            seen_by: &self.context.settings.host,
        };
        log_shift(&self.context, pool, self.key, shift, &cause);
    }

    /// Ends the request with what it showed of the server.
    pub(crate) fn close(mut self, signal: ServerSignal) {
        self.end(signal);
    }

    fn end(&mut self, signal: ServerSignal) {
        self.is_told = true;
        // One request is one piece of evidence.
        let signal = match signal {
            ServerSignal::Failure if self.has_stalled.get() => ServerSignal::Nothing,
            signal => signal,
        };
        let mut pool = self.context.pool.borrow_mut();
        pool.finish(self.key);
        self.note(&mut pool, signal, clock::now());
        drop(pool);
        peers::tell_signal(&self.context, self.key, Some(signal), self.sent, self.reach);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.is_told {
            self.end(ServerSignal::Nothing);
        }
    }
}
