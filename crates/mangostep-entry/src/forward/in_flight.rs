use std::cell::Cell;

use mangostep_policy::{ServerKey, ServerPool, ServerSignal, SignalScope};

use crate::{
    clock,
    forward::waiting::wake_next,
    peers,
    prelude::*,
    suspicion::{SuspicionCause, log_suspicion_change},
};

/// An in-flight request at a backend server. It counts from the time when it
/// is sent until it ends, even if the caller disconnects earlier.
pub(crate) struct InFlightRequest {
    context: Rc<HostContext>,
    key: ServerKey,
    sent: MonotonicTime,
    /// Peers that are notified of the start and of the end.
    scope: SignalScope,
    /// Whether the request exceeded the stall time, which was reported then.
    has_stalled: Cell<bool>,
    is_reported: bool,
}

impl InFlightRequest {
    pub(crate) fn open(context: &Rc<HostContext>, key: ServerKey) -> Self {
        let now = clock::now();
        let mut pool = context.pool.borrow_mut();
        pool.start(key, now);
        let scope = pool.signal_scope(key, &context.settings.zone, now);
        drop(pool);
        peers::send_signal(context, key, None, now, scope);
        InFlightRequest {
            context: Rc::clone(context),
            key,
            sent: now,
            scope,
            has_stalled: Cell::new(false),
            is_reported: false,
        }
    }

    /// Reports that the request takes much longer than usual.
    pub(crate) fn record_stall(&self) {
        let now = clock::now();
        self.has_stalled.set(true);
        let mut pool = self.context.pool.borrow_mut();
        self.record_outcome(&mut pool, ServerSignal::Stall, now);
        drop(pool);
        let signal = Some(ServerSignal::Stall);
        peers::send_signal(&self.context, self.key, signal, self.sent, self.scope);
    }

    fn record_outcome(&self, pool: &mut ServerPool, signal: ServerSignal, now: MonotonicTime) {
        let change = pool.record_own_outcome(self.key, signal, self.sent, now);
        let cause = SuspicionCause {
            signal,
            age: now.since(self.sent),
            seen_by: &self.context.settings.host,
        };
        log_suspicion_change(&self.context, pool, self.key, change, &cause);
    }

    /// Ends the request with the evidence that it gave about the server.
    pub(crate) fn close(mut self, signal: ServerSignal) {
        self.record_end(signal);
    }

    fn record_end(&mut self, signal: ServerSignal) {
        self.is_reported = true;
        // A stalled request that fails was reported as a stall already. Each
        // request counts as one piece of evidence.
        let signal = match signal {
            ServerSignal::Failure if self.has_stalled.get() => ServerSignal::Nothing,
            signal => signal,
        };
        let mut pool = self.context.pool.borrow_mut();
        pool.finish(self.key);
        self.record_outcome(&mut pool, signal, clock::now());
        drop(pool);
        peers::send_signal(&self.context, self.key, Some(signal), self.sent, self.scope);
        wake_next(&self.context, self.key);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.is_reported {
            self.record_end(ServerSignal::Nothing);
        }
    }
}
